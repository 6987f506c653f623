"""Hold the requests of one service until its queue sends them."""

import asyncio
import dataclasses

from cranberryrill import clock
from cranberryrill.queueing import service_queue, wait_prediction, waiting


@dataclasses.dataclass(frozen=True)
class Turn:
    """Whether a request may be sent, and the wait that was predicted last.

    `waited` is whether it was in the queue.
    """

    may_send: bool
    wait: wait_prediction.PredictedWait
    waited: bool


class Gate:
    """Queue of one service with the task that sends its requests.

    The task runs only while requests wait.
    """

    def __init__(self, queue: service_queue.ServiceQueue) -> None:
        self.queue = queue
        # Result for each waiting request: None if it may be sent.
        self.futures: dict[
            waiting.WaitingRequest,
            asyncio.Future[service_queue.Useless | None],
        ] = {}
        self.task: asyncio.Task[None] | None = None

    async def wait(
        self, request: waiting.WaitingRequest, upstream_seconds: float
    ) -> Turn:
        """Wait until a request may be sent or is refused.

        A caller that leaves cancels the wait, which frees its place.
        """
        arrival = self.queue.arrive(
            request, clock.monotonic_seconds(), upstream_seconds
        )
        if arrival.outcome is not service_queue.Outcome.queued:
            may_send = arrival.outcome is service_queue.Outcome.sent
            return Turn(may_send, arrival.wait, waited=False)
        loop = asyncio.get_running_loop()
        future: asyncio.Future[service_queue.Useless | None] = (
            loop.create_future()
        )
        self.futures[request] = future
        if self.task is None or self.task.done():
            self.task = loop.create_task(self._run())
        try:
            useless = await future
        finally:
            self.queue.remove(request)
            del self.futures[request]
        if useless is None:
            return Turn(may_send=True, wait=arrival.wait, waited=True)
        return Turn(may_send=False, wait=useless.wait, waited=True)

    async def _run(self) -> None:
        while self.queue.waiting:
            now = clock.monotonic_seconds()
            for useless in self.queue.take_useless(now):
                self._resolve(useless.request, useless)
            await self._send_ready(now)
            await asyncio.sleep(self.queue.capacity.period_seconds)

    async def _send_ready(self, now: float) -> None:
        current = self.queue.start_round(now)
        while True:
            request = self.queue.next_ready(current, now)
            if request is None:
                return
            self._resolve(request, None)
            # Its delivery counts it at an upstream before the next is examined.
            await asyncio.sleep(0)

    def _resolve(
        self,
        request: waiting.WaitingRequest,
        useless: service_queue.Useless | None,
    ) -> None:
        future = self.futures.get(request)
        if future is not None and not future.done():
            future.set_result(useless)
