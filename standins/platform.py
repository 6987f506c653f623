"""HTTP stand-in for the platform that receives orders and usage reports.

It only records messages: an order neither starts nor stops an upstream.
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
    """Delay and failure rates of the platform's responses."""

    delay_seconds: float = 0
    # Shares (0 to 1) of the messages that are recorded but answered with an
    # error, or not answered at all.
    error_share: float = 0
    lost_share: float = 0
    seed: int = 0


@dataclasses.dataclass(frozen=True)
class ReceivedMessage:
    """One received message, as the ledger stores it."""

    # Monotonic seconds.
    at: float
    path: str
    idempotency_key: str
    sender: str
    fencing: int
    body: str
    content: dict[str, typing.Any]
    # HTTP status of the response; 0 when no response was sent.
    answered: int


class Platform:
    """Ledger of received messages, and the choice of their responses."""

    def __init__(self, settings: ResponseSettings) -> None:
        self.settings = settings
        self.rng = random.Random(settings.seed)
        self.ledger: list[ReceivedMessage] = []

    def next_status(self) -> int:
        """Sample the status of the next response; 0 means no response."""
        sampled = self.rng.random()
        if sampled < self.settings.lost_share:
            return 0
        if sampled < self.settings.lost_share + self.settings.error_share:
            return int(http.HTTPStatus.INTERNAL_SERVER_ERROR)
        return int(http.HTTPStatus.ACCEPTED)


class MessageHandler(web.RequestHandler):
    """Receive an upstream order or a usage report."""

    def initialize(self, platform: Platform) -> None:
        """Bind the handler to its platform."""
        self.platform = platform

    async def post(self) -> None:
        """Record the message, then answer, fail or close the connection."""
        headers = self.request.headers
        status = self.platform.next_status()
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
        await asyncio.sleep(self.platform.settings.delay_seconds)
        if status:
            self.set_status(status)
            self.finish({'accepted': status == http.HTTPStatus.ACCEPTED})
        else:
            self.detach().close()


class LedgerHandler(web.RequestHandler):
    """Serve the ledger."""

    def initialize(self, platform: Platform) -> None:
        """Bind the handler to its platform."""
        self.platform = platform

    def get(self) -> None:
        """Return every received message, oldest first."""
        lines = [dataclasses.asdict(line) for line in self.platform.ledger]
        self.finish({'ledger': lines})


def application(platform: Platform) -> web.Application:
    """Return the platform's HTTP application."""
    handler_arguments = {'platform': platform}
    return web.Application(
        [
            ('/v1/upstreams/orders', MessageHandler, handler_arguments),
            ('/v1/usage/windows', MessageHandler, handler_arguments),
            ('/ledger', LedgerHandler, handler_arguments),
        ],
    )
