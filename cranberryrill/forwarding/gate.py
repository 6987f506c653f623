"""Let the requests of one service through when their turn comes."""

import asyncio
import dataclasses

from cranberryrill import clock
from cranberryrill.forwarding import request_queue

# Loads of other processes are known about as fast as this, in seconds. At
# most one request is let through in this time, since the other processes see
# the same gap.
TICK = 0.02


@dataclasses.dataclass(frozen=True)
class GateResult:
    """Say whether a request may be sent, and how long it waited."""

    may_send: bool
    waited_seconds: float = 0.0


class Gate:
    """Hold the queue of one service and the one task that serves it."""

    def __init__(self) -> None:
        self.queue = request_queue.RequestQueue()
        self.turns: dict[int, asyncio.Future[bool]] = {}
        self.task: asyncio.Task[None] | None = None

    async def wait(self, waiter: request_queue.QueuedRequest) -> GateResult:
        """Wait for the turn of a request."""
        free = not self.queue.waiting
        if free and waiter.backlog_ms() <= waiter.max_backlog_ms:
            return GateResult(may_send=True)
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
        return GateResult(passes, waited)

    async def _run(self) -> None:
        while self.queue.waiting:
            now = clock.monotonic_seconds()
            for late in self.queue.expired(now):
                self.queue.remove(late)
                self._settle(late, passes=False)
            chosen = self.queue.pop_ready(now)
            if chosen is not None:
                self._settle(chosen, passes=True)
            await asyncio.sleep(TICK)

    def _settle(
        self, waiter: request_queue.QueuedRequest, *, passes: bool
    ) -> None:
        turn = self.turns.get(id(waiter))
        if turn is not None and not turn.done():
            turn.set_result(passes)
