"""Stand in for an order desk that keeps a ledger of what it ran."""

import asyncio
import dataclasses
import json
import pathlib
import typing

from tornado import web

DEFAULT_BYTES = 1024
PART_BYTES = 4096


@dataclasses.dataclass(frozen=True)
class Order:
    """Record one call that the desk ran."""

    request_id: str
    method: str
    path: str
    body: str
    headers: dict[str, str]


class Desk:
    """Run orders, each time it is asked to."""

    def __init__(
        self,
        delay_seconds: float,
        path: pathlib.Path | None = None,
    ) -> None:
        self.delay_seconds = delay_seconds
        self.path = path
        self.ledger: list[Order] = []
        if path is not None and path.exists():
            self.ledger = read_ledger(path)

    def record(self, order: Order) -> int:
        """Write an order down, in the file too, and return its number."""
        self.ledger.append(order)
        if self.path is not None:
            with self.path.open('a') as lines:
                lines.write(f'{json.dumps(dataclasses.asdict(order))}\n')
        return len(self.ledger)


def read_ledger(path: pathlib.Path) -> list[Order]:
    """Return the orders that a desk has written to a file."""
    lines = path.read_text().splitlines() if path.exists() else []
    return [Order(**json.loads(line)) for line in lines]


class OrderHandler(web.RequestHandler):
    """Run any call below `/orders`."""

    def initialize(self, desk: Desk) -> None:
        """Take the desk."""
        self.desk = desk

    def get(self) -> None:
        """Show how many orders were run."""
        self.finish({'orders': len(self.desk.ledger)})

    async def post(self) -> None:
        """Run an order; its field `after` names a fault that follows."""
        order = Order(
            request_id=self.request.headers.get('X-Request-Id', ''),
            method=str(self.request.method),
            path=str(self.request.uri),
            body=self.request.body.decode(),
            headers=dict(self.request.headers),
        )
        number = self.desk.record(order)
        asked = _fields(order.body)
        delay = float(asked.get('delay_seconds', self.desk.delay_seconds))
        await asyncio.sleep(delay)
        if asked.get('after') == 'close':
            self.detach().close()
            return
        self.set_status(201)
        self.finish({'order': number, 'request_id': order.request_id})


class PartsHandler(web.RequestHandler):
    """Answer with a long body, whole or broken off."""

    async def get(self) -> None:
        """Send `bytes`, but only the first `sent` of them."""
        wanted = int(self.get_argument('bytes', str(DEFAULT_BYTES)))
        sent = int(self.get_argument('sent', str(wanted)))
        if self.get_argument('framed', 'yes') == 'yes':
            self.set_header('Content-Length', str(wanted))
        self.set_header('Content-Type', 'application/octet-stream')
        for offset in range(0, sent, PART_BYTES):
            self.write(b'p' * min(PART_BYTES, sent - offset))
            await self.flush()
        if sent < wanted:
            self.detach().close()


class LedgerHandler(web.RequestHandler):
    """Show what the desk ran."""

    def initialize(self, desk: Desk) -> None:
        """Take the desk."""
        self.desk = desk

    def get(self) -> None:
        """Return the ledger."""
        lines = [dataclasses.asdict(order) for order in self.desk.ledger]
        self.finish({'ledger': lines})


def _fields(body: str) -> dict[str, typing.Any]:
    try:
        fields = json.loads(body)
    except ValueError:
        return {}
    return fields if isinstance(fields, dict) else {}


def application(desk: Desk) -> web.Application:
    """Return the desk's HTTP application."""
    shared = {'desk': desk}
    return web.Application(
        [
            ('/ledger', LedgerHandler, shared),
            ('/orders/parts', PartsHandler),
            ('/.*', OrderHandler, shared),
        ],
    )
