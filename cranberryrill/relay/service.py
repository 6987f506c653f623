"""The gRPC service of an agent: run requests and send their answers."""

import asyncio
import logging
import math
import typing
from collections import abc

import result
from grpclib import server

from cranberryrill import clock, tasks, tracing, transport
from cranberryrill.relay import (
    agent_span,
    answer_sender,
    answer_store,
    answers,
    relay_grpc,
    relay_pb2,
    timing,
    upstream,
)
from cranberryrill.scheduling import scheduler, tickets

LOGGER = logging.getLogger(__name__)
RETRY_AFTER_MS = 1000
# A request is refused at once if it would wait for a larger share of its time.
MAX_PAUSE_SHARE = 0.5
RunStream = server.Stream[relay_pb2.Upward, relay_pb2.Downward]


class EndedHook(typing.Protocol):
    """Callback for the end of each request that the scheduler accepted."""

    def __call__(
        self,
        call: relay_pb2.Call,
        answer: answers.Answer,
        now: float,
    ) -> None:
        """Handle an ended request; called once for each."""


class RelayService(relay_grpc.RelayBase):
    """Service that runs each request once, for any number of streams.

    New requests are refused while `leaving` is set.
    """

    def __init__(
        self,
        incarnation: str,
        request_scheduler: scheduler.Scheduler,
        target_upstream: upstream.Upstream,
    ) -> None:
        self.incarnation = incarnation
        self.scheduler = request_scheduler
        self.upstream = target_upstream
        self.answer_store = answer_store.AnswerStore()
        self.group = tasks.TaskGroup()
        self.leaving = False
        self.open_streams = 0
        self.ended_hooks: list[EndedHook] = []

    async def Run(self, stream: RunStream) -> None:
        """Run a call, or attach to the answer of an earlier copy."""
        upward = await stream.recv_message()
        if upward is None or not upward.HasField('call'):
            return
        answer = self._find_or_start(upward)
        reader = answers.Reader(upward.call.offset)
        answer.readers.add(reader)
        self.open_streams += 1
        sender_task = asyncio.create_task(
            answer_sender.send_answer(stream, answer, reader),
        )
        receiver_task = asyncio.create_task(_receive_upward(stream, answer))
        try:
            await asyncio.wait(
                {sender_task, receiver_task},
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            self.open_streams -= 1
            answer.readers.discard(reader)
            answer.last_read_at = clock.monotonic_seconds()
            await tasks.cancel_and_wait(sender_task, transport.CALL_ERRORS)
            await tasks.cancel_and_wait(receiver_task, transport.CALL_ERRORS)

    async def run_expiry(self) -> None:
        """Evict old answers periodically, until cancelled."""
        while True:
            await asyncio.sleep(timing.HEARTBEAT_SECONDS)
            self.answer_store.expire(clock.monotonic_seconds())

    async def drain(self) -> None:
        """Refuse new requests; return when all answers are delivered.

        An undelivered answer is awaited for `REATTACH_SECONDS` after its end.
        """
        self.leaving = True
        while self.open_streams or self.answer_store.has_undelivered_answers(
            clock.monotonic_seconds(),
        ):
            await asyncio.sleep(timing.RETRY_DELAY_SECONDS)

    def _find_or_start(self, upward: relay_pb2.Upward) -> answers.Answer:
        now = clock.monotonic_seconds()
        call = upward.call
        stored = self.answer_store.find(upward.request_id)
        if stored is not None and stored.organisation == call.organisation:
            return stored
        answer = answers.Answer(upward.request_id, call, now)
        if stored is not None or self.answer_store.is_forgotten(
            upward.request_id
        ):
            answer.fail(
                'forgotten',
                'the agent can no longer tell whether this ran',
                relay_pb2.Ran.UNKNOWN,
                now,
            )
            return answer
        self._start(call, answer, now)
        # A refusal is stored too, so that a late copy does not run.
        self.answer_store.add(answer)
        return answer

    def _start(
        self,
        call: relay_pb2.Call,
        answer: answers.Answer,
        now: float,
    ) -> None:
        refusal = self._refusal(call, now)
        if refusal is not None:
            answer.finish(refusal, now)
            return
        offered = self.scheduler.offer(call, now)
        if isinstance(offered, result.Err):
            answer.finish(_refused_by_scheduler(offered.err_value), now)
            return
        ticket = offered.ok_value
        ticket.output = answer.usage
        work = agent_span.run(
            call, answer.request_id, self._run(ticket, answer)
        )
        self.group.start(work, answer.request_id)

    def is_leaving(self, now: float) -> bool:
        """Return whether this agent or its upstream takes no new requests."""
        return self.leaving or self.upstream.absence.is_leaving(now)

    def _refusal(
        self, call: relay_pb2.Call, now: float
    ) -> relay_pb2.Refused | None:
        if call.incarnation != self.incarnation:
            return relay_pb2.Refused(
                code='other_incarnation',
                message='the agent was restarted',
            )
        if self.is_leaving(now):
            return relay_pb2.Refused(
                code='leaving',
                message='the upstream is leaving',
            )
        return _refused_in_pause(call, self.upstream.absence.wait_seconds(now))

    async def _run(
        self,
        ticket: tickets.Ticket,
        answer: answers.Answer,
    ) -> None:
        try:
            while await self._wait_for_slot(ticket, answer):
                span = tracing.start(
                    'upstream',
                    ticket.call.traceparent,
                    answer.request_id,
                )
                await self.upstream.run(ticket.call, answer, ticket.preempted)
                span.end()
                if answer.end is not None:
                    return
                self.scheduler.requeue(ticket, clock.monotonic_seconds())
        finally:
            now = clock.monotonic_seconds()
            self._finish(ticket, answer, now)
            self.scheduler.release(ticket, now)

    async def _wait_for_slot(
        self,
        ticket: tickets.Ticket,
        answer: answers.Answer,
    ) -> bool:
        """Return whether the request may run; if not, its answer has ended."""
        queued = tracing.start(
            'queue',
            ticket.call.traceparent,
            answer.request_id,
        )
        await _wait_for_any(
            (ticket.running, ticket.evicted, answer.cancelled),
            answer.deadline.remaining_seconds(clock.monotonic_seconds()),
        )
        queued.end()
        await self._wait_for_upstream(answer)
        now = clock.monotonic_seconds()
        ran = relay_pb2.Ran.YES if answer.sent else relay_pb2.Ran.NO
        if answer.cancelled.is_set():
            answer.fail('cancelled', 'the caller left', ran, now)
            return False
        if answer.deadline.has_passed(now):
            answer.time_out(ran, now)
            return False
        if ticket.evicted.is_set():
            answer.finish(_refused_as_evicted(), now)
            return False
        return True

    async def _wait_for_upstream(self, answer: answers.Answer) -> None:
        """Wait while the upstream wants nothing, within the deadline."""
        while True:
            now = clock.monotonic_seconds()
            wait = self.upstream.absence.wait_seconds(now)
            left = answer.deadline.remaining_seconds(now)
            if not wait or left <= 0 or answer.cancelled.is_set():
                return
            await tasks.wait_for_event(answer.cancelled, min(wait, left))

    def _finish(
        self,
        ticket: tickets.Ticket,
        answer: answers.Answer,
        now: float,
    ) -> None:
        # An answer that has no end by now means a fault in the agent itself;
        # `fail` leaves an ended answer unchanged.
        answer.fail(
            'agent_failed',
            'the agent failed',
            relay_pb2.Ran.UNKNOWN if answer.sent else relay_pb2.Ran.NO,
            now,
        )
        for hook in self.ended_hooks:
            hook(ticket.call, answer, now)
        self.answer_store.add_ended(answer)


async def _receive_upward(stream: RunStream, answer: answers.Answer) -> None:
    """Handle messages of the entry; return when it is silent or gone."""
    while True:
        try:
            async with asyncio.timeout(timing.UPWARD_SILENCE_SECONDS):
                upward = await stream.recv_message()
        except transport.CALL_ERRORS:
            return
        if upward is None:
            return
        if upward.HasField('cancel'):
            answer.cancel()


async def _wait_for_any(
    events: abc.Iterable[asyncio.Event],
    seconds: float,
) -> None:
    waiters = {asyncio.create_task(event.wait()) for event in events}
    # Infinite seconds mean no deadline.
    timeout = None if seconds == float('inf') else seconds
    try:
        await asyncio.wait(
            waiters,
            timeout=timeout,
            return_when=asyncio.FIRST_COMPLETED,
        )
    finally:
        for waiter in waiters:
            waiter.cancel()


def _refused_by_scheduler(refusal: scheduler.Refusal) -> relay_pb2.Refused:
    retry_after_ms = round(
        refusal.retry_after_seconds * clock.MILLISECONDS_PER_SECOND,
    )
    if isinstance(refusal, scheduler.QueueFull):
        return relay_pb2.Refused(
            code='queue_full',
            message=f'{refusal.waiting} requests wait already',
            retry_after_ms=retry_after_ms,
            lowest_waiting_tier=refusal.lowest_waiting_tier,
        )
    return relay_pb2.Refused(
        code='too_late',
        message=f'the wait would be {refusal.predicted_seconds:.2f} s',
        retry_after_ms=retry_after_ms,
        lowest_waiting_tier=refusal.lowest_waiting_tier,
    )


def _refused_in_pause(
    call: relay_pb2.Call, wait_seconds: float
) -> relay_pb2.Refused | None:
    """Return the refusal of a request that would wait for too long."""
    wait_ms = wait_seconds * clock.MILLISECONDS_PER_SECOND
    patience_ms = call.timeout_ms * MAX_PAUSE_SHARE or RETRY_AFTER_MS
    if wait_ms < patience_ms:
        return None
    return relay_pb2.Refused(
        code='paused',
        message='the upstream wants nothing for a while',
        retry_after_ms=math.ceil(wait_ms),
    )


def _refused_as_evicted() -> relay_pb2.Refused:
    return relay_pb2.Refused(
        code='evicted',
        message='made room for a request that goes first',
        retry_after_ms=RETRY_AFTER_MS,
    )
