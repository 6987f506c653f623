"""The requests that a process has not answered yet."""

import asyncio
import typing


class OpenRequests:
    """Set of open requests; `idle` is set while there are none."""

    def __init__(self) -> None:
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
