"""HTTP stand-in for an order desk, an upstream whose calls have effects.

The desk records every call that it executes in a ledger, so that tests can
count how often a request was executed.
"""

import asyncio
import dataclasses
import json
import pathlib
import typing

from tornado import web

DEFAULT_BODY_BYTES = 1024
WRITE_BYTES = 4096


@dataclasses.dataclass(frozen=True)
class Order:
    """One executed call, as the ledger stores it."""

    request_id: str
    method: str
    path: str
    body: str
    headers: dict[str, str]


class Desk:
    """Ledger of executed orders.

    A repeated request is executed again: the desk does not deduplicate.
    """

    def __init__(
        self,
        delay_seconds: float,
        ledger_path: pathlib.Path | None = None,
    ) -> None:
        self.delay_seconds = delay_seconds
        self.ledger_path = ledger_path
        self.ledger: list[Order] = []
        if ledger_path is not None and ledger_path.exists():
            self.ledger = read_ledger(ledger_path)

    def record(self, order: Order) -> int:
        """Append an order to the ledger and its file, and return its number."""
        self.ledger.append(order)
        if self.ledger_path is not None:
            with self.ledger_path.open('a') as ledger_file:
                ledger_file.write(f'{json.dumps(dataclasses.asdict(order))}\n')
        return len(self.ledger)


def read_ledger(path: pathlib.Path) -> list[Order]:
    """Return the orders in a ledger file, or an empty list without a file."""
    lines = path.read_text().splitlines() if path.exists() else []
    return [Order(**json.loads(line)) for line in lines]


class OrderHandler(web.RequestHandler):
    """Execute orders posted to any path without a handler of its own."""

    def initialize(self, desk: Desk) -> None:
        """Bind the handler to its desk."""
        self.desk = desk

    def get(self) -> None:
        """Return the number of executed orders."""
        self.finish({'orders': len(self.desk.ledger)})

    async def post(self) -> None:
        """Execute an order and answer with its number.

        JSON fields of the body control the answer: `delay_seconds` delays it,
        `after` with the value `close` closes the connection instead.
        """
        order = Order(
            request_id=self.request.headers.get('X-Request-Id', ''),
            method=str(self.request.method),
            path=str(self.request.uri),
            body=self.request.body.decode(),
            headers=dict(self.request.headers),
        )
        order_number = self.desk.record(order)
        fields = _json_fields(order.body)
        delay = float(fields.get('delay_seconds', self.desk.delay_seconds))
        await asyncio.sleep(delay)
        if fields.get('after') == 'close':
            self.detach().close()
            return
        self.set_status(201)
        self.finish({'order': order_number, 'request_id': order.request_id})


class PartsHandler(web.RequestHandler):
    """Send a long response body, complete or truncated."""

    async def get(self) -> None:
        """Send the first `sent` bytes of a body of `bytes` bytes.

        A truncated body ends with a closed connection. `framed=no` omits the
        Content-Length header.
        """
        total_bytes = int(self.get_argument('bytes', str(DEFAULT_BODY_BYTES)))
        sent_bytes = int(self.get_argument('sent', str(total_bytes)))
        if self.get_argument('framed', 'yes') == 'yes':
            self.set_header('Content-Length', str(total_bytes))
        self.set_header('Content-Type', 'application/octet-stream')
        for offset in range(0, sent_bytes, WRITE_BYTES):
            self.write(b'p' * min(WRITE_BYTES, sent_bytes - offset))
            await self.flush()
        if sent_bytes < total_bytes:
            self.detach().close()


class LedgerHandler(web.RequestHandler):
    """Serve the ledger."""

    def initialize(self, desk: Desk) -> None:
        """Bind the handler to its desk."""
        self.desk = desk

    def get(self) -> None:
        """Return every executed order, oldest first."""
        lines = [dataclasses.asdict(order) for order in self.desk.ledger]
        self.finish({'ledger': lines})


def _json_fields(body: str) -> dict[str, typing.Any]:
    try:
        fields = json.loads(body)
    except ValueError:
        return {}
    return fields if isinstance(fields, dict) else {}


def application(desk: Desk) -> web.Application:
    """Return the desk's HTTP application."""
    handler_arguments = {'desk': desk}
    return web.Application(
        [
            ('/ledger', LedgerHandler, handler_arguments),
            ('/orders/parts', PartsHandler),
            ('/.*', OrderHandler, handler_arguments),
        ],
    )
