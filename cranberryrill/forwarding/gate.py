"""Let the requests of one service through when their turn comes."""

import asyncio
import dataclasses

from cranberryrill import clock
from cranberryrill.forwarding import turns

# Loads of other processes are known about as fast as this, in seconds. At
# most one request is let through in this time, since the other processes see
# the same gap.
TICK = 0.02


@dataclasses.dataclass(frozen=True)
class Passed:
    """Say whether a request may be sent, and how long it waited."""

    passes: bool
    waited_seconds: float = 0.0


class Gate:
    """Hold the queue of one service and the one task that serves it."""

    def __init__(self) -> None:
        self.queue = turns.Queue()
        self.turns: dict[int, asyncio.Future[bool]] = {}
        self.task: asyncio.Task[None] | None = None

    async def wait(self, waiter: turns.Waiter) -> Passed:
        """Wait for the turn of a request."""
        free = not self.queue.waiting
        if free and waiter.backlog_ms() <= waiter.start_limit_ms:
            return Passed(passes=True)
        turn: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self.queue.add(waiter)
        self.turns[id(waiter)] = turn
        if self.task is None or self.task.done():
            self.task = asyncio.get_running_loop().create_task(self._run())
        try:
            passes = await turn
        finally:
            self.queue.remove(waiter)
            del self.turns[id(waiter)]
        waited = clock.monotonic_seconds() - waiter.arrived_at
        return Passed(passes, waited)

    async def _run(self) -> None:
        while self.queue.waiting:
            now = clock.monotonic_seconds()
            for late in self.queue.given_up(now):
                self.queue.remove(late)
                self._settle(late, passes=False)
            chosen = self.queue.next(now)
            if chosen is not None:
                self._settle(chosen, passes=True)
            await asyncio.sleep(TICK)

    def _settle(self, waiter: turns.Waiter, *, passes: bool) -> None:
        turn = self.turns.get(id(waiter))
        if turn is not None and not turn.done():
            turn.set_result(passes)
