"""Track whether an entry takes requests, and how many it still answers."""

import asyncio
import typing


class Readiness:
    """Hold what a planned stop changes, step by step."""

    def __init__(self) -> None:
        # The balancer is told to send nothing more.
        self.unready = False
        # New requests are refused.
        self.stopping = False
        self.requests: set[typing.Hashable] = set()
        self.idle = asyncio.Event()
        self.idle.set()

    def begin(self, request: typing.Hashable) -> None:
        """Take note of a request that was let in."""
        self.requests.add(request)
        self.idle.clear()

    def end(self, request: typing.Hashable) -> None:
        """Take note of the end of a request."""
        self.requests.discard(request)
        if not self.requests:
            self.idle.set()
