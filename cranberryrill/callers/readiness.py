"""Readiness of an entry, and the set of its open requests."""

import asyncio
import typing


class Readiness:
    """State of an entry through its planned shutdown.

    The entry first becomes unready, then refuses new requests, and stops once
    `idle` is set.
    """

    def __init__(self) -> None:
        # The readiness check fails, so that the load balancer sends no more
        # requests.
        self.unready = False
        # New requests are refused.
        self.stopping = False
        # Requests that have not ended yet.
        self.requests: set[typing.Hashable] = set()
        self.idle = asyncio.Event()
        self.idle.set()

    def begin(self, request: typing.Hashable) -> None:
        """Count a request as open."""
        self.requests.add(request)
        self.idle.clear()

    def end(self, request: typing.Hashable) -> None:
        """Remove a request; set `idle` when it was the last open one."""
        self.requests.discard(request)
        if not self.requests:
            self.idle.set()
