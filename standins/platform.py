"""Stand in for the platform: it takes upstream orders and usage reports.

It only writes down what it receives: an order starts and stops nothing.
"""

import asyncio
import dataclasses
import http
import json
import random
import time
import typing

from tornado import web


@dataclasses.dataclass(frozen=True)
class ResponseSettings:
    """Set how the platform answers."""

    delay_seconds: float = 0
    # Shares of the messages that are written down but answered with an error,
    # or not answered at all.
    error_share: float = 0
    lost_share: float = 0
    seed: int = 0


@dataclasses.dataclass(frozen=True)
class ReceivedMessage:
    """Record one message that the platform received."""

    at: float
    path: str
    idempotency_key: str
    sender: str
    fencing: int
    body: str
    content: dict[str, typing.Any]
    # The HTTP status of the answer; 0 if it was lost.
    answered: int


class Platform:
    """Write down everything it receives, and from whom."""

    def __init__(self, manners: ResponseSettings) -> None:
        self.manners = manners
        self.rng = random.Random(manners.seed)
        self.ledger: list[ReceivedMessage] = []

    def answer_status(self) -> int:
        """Choose how the next message is answered."""
        drawn = self.rng.random()
        if drawn < self.manners.lost_share:
            return 0
        if drawn < self.manners.lost_share + self.manners.error_share:
            return int(http.HTTPStatus.INTERNAL_SERVER_ERROR)
        return int(http.HTTPStatus.ACCEPTED)


class MessageHandler(web.RequestHandler):
    """Take an order or a report."""

    def initialize(self, platform: Platform) -> None:
        """Take the platform."""
        self.platform = platform

    async def post(self) -> None:
        """Write the message down, then answer as the manners say."""
        headers = self.request.headers
        status = self.platform.answer_status()
        self.platform.ledger.append(
            ReceivedMessage(
                at=time.monotonic(),
                path=self.request.path,
                idempotency_key=headers.get('Idempotency-Key', ''),
                sender=headers.get('X-Sender', ''),
                fencing=int(headers.get('X-Fencing', '0')),
                body=self.request.body.decode(),
                content=json.loads(self.request.body),
                answered=status,
            ),
        )
        await asyncio.sleep(self.platform.manners.delay_seconds)
        if status:
            self.set_status(status)
            self.finish({'accepted': status == http.HTTPStatus.ACCEPTED})
        else:
            self.detach().close()


class LedgerHandler(web.RequestHandler):
    """Show what the platform received."""

    def initialize(self, platform: Platform) -> None:
        """Take the platform."""
        self.platform = platform

    def get(self) -> None:
        """Return the ledger."""
        lines = [dataclasses.asdict(line) for line in self.platform.ledger]
        self.finish({'ledger': lines})


def application(platform: Platform) -> web.Application:
    """Return the platform's HTTP application."""
    shared = {'platform': platform}
    return web.Application(
        [
            ('/v1/upstreams/orders', MessageHandler, shared),
            ('/v1/usage/windows', MessageHandler, shared),
            ('/ledger', LedgerHandler, shared),
        ],
    )
