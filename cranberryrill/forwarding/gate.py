"""Release the queued requests of one service."""

import asyncio
import dataclasses
from collections import abc

from cranberryrill import clock
from cranberryrill.forwarding import request_queue

# The load of other processes becomes known in about this time. At most one
# request is released per period, since the others see the same free capacity.
DISPATCH_PERIOD_SECONDS = 0.02


@dataclasses.dataclass(frozen=True)
class GateResult:
    """Whether a request may be sent, and how long it waited.

    A request that may not be sent has expired in the queue.
    """

    may_send: bool
    waited_seconds: float = 0.0


class Gate:
    """Queue of one service with the task that releases its requests.

    The task runs only while requests wait. `candidates` returns the upstreams
    that the service has now.
    """

    def __init__(self, candidates: abc.Callable[[], abc.Sized]) -> None:
        self.candidates = candidates
        self.queue = request_queue.RequestQueue()
        # Whether each waiting request may be sent, by the request's `id()`.
        self.futures: dict[int, asyncio.Future[bool]] = {}
        self.task: asyncio.Task[None] | None = None

    async def wait(self, request: request_queue.QueuedRequest) -> GateResult:
        """Wait until the request may be sent or has expired.

        Return at once if the queue is empty and the backlog is small enough.
        """
        is_empty = not self.queue.waiting
        if is_empty and request.backlog_ms() <= request.max_backlog_ms:
            return GateResult(may_send=True)
        future: asyncio.Future[bool] = (
            asyncio.get_running_loop().create_future()
        )
        self.queue.add(request)
        self.futures[id(request)] = future
        if self.task is None or self.task.done():
            self.task = asyncio.get_running_loop().create_task(self._run())
        try:
            may_send = await future
        finally:
            self.queue.remove(request)
            del self.futures[id(request)]
        waited = clock.monotonic_seconds() - request.arrived_at
        return GateResult(may_send, waited)

    async def _run(self) -> None:
        while self.queue.waiting:
            now = clock.monotonic_seconds()
            for expired_request in self.queue.expired(now):
                self.queue.remove(expired_request)
                self._resolve(expired_request, may_send=False)
            chosen = self.queue.pop_ready(
                now, request_queue.examined_requests(len(self.candidates()))
            )
            if chosen is not None:
                self._resolve(chosen, may_send=True)
            await asyncio.sleep(DISPATCH_PERIOD_SECONDS)

    def _resolve(
        self, request: request_queue.QueuedRequest, *, may_send: bool
    ) -> None:
        future = self.futures.get(id(request))
        if future is not None and not future.done():
            future.set_result(may_send)
