"""Bound the bytes of request bodies that a process holds together.

Each body has a limit of its own. While all together are at theirs, the next
callers wait, in order, before their bodies are read.
"""

import asyncio
import collections
import contextlib
import dataclasses


@dataclasses.dataclass(frozen=True)
class Waiter:
    """A request that waits until its body may be read."""

    size: int
    admitted: asyncio.Future[None]


class BodyBudget:
    """Bytes of the bodies that are held, and the requests that wait."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.waiters: collections.deque[Waiter] = collections.deque()

    async def hold(self, size: int, timeout_seconds: float) -> bool:
        """Hold `size` bytes once there is room; return whether it came in time.

        A body that is larger than the limit is held alone.
        """
        if not self.waiters and self._fits(size):
            self.held_bytes += size
            return True
        loop = asyncio.get_running_loop()
        waiter = Waiter(size, loop.create_future())
        self.waiters.append(waiter)
        try:
            async with asyncio.timeout(timeout_seconds):
                await asyncio.shield(waiter.admitted)
        except TimeoutError:
            return self._give_up(waiter)
        except asyncio.CancelledError:
            if self._give_up(waiter):
                self.release(size)
            raise
        return True

    def release(self, size: int) -> None:
        """Release bytes that were held; admit those who wait, in order."""
        self.held_bytes -= size
        while self.waiters and self._fits(self.waiters[0].size):
            waiter = self.waiters.popleft()
            self.held_bytes += waiter.size
            waiter.admitted.set_result(None)

    def _fits(self, size: int) -> bool:
        if not self.held_bytes:
            return True
        return self.held_bytes + size <= self.limit_bytes

    def _give_up(self, waiter: Waiter) -> bool:
        """Return whether the waiter was admitted in the meantime."""
        with contextlib.suppress(ValueError):
            self.waiters.remove(waiter)
        return waiter.admitted.done()
