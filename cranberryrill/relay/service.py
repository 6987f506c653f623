"""Serve the entries: run requests and hand out their answers."""

import asyncio
import logging
import typing
from collections import abc

import result
from grpclib import server

from cranberryrill import clock, tasks, tracing, transport
from cranberryrill.relay import (
    answers,
    agent_span,
    answer_store,
    relay_grpc,
    relay_pb2,
    answer_sender,
    timing,
    upstream,
)
from cranberryrill.scheduling import scheduler, tickets

LOGGER = logging.getLogger(__name__)
RETRY_AFTER_MS = 1000
RunStream = server.Stream[relay_pb2.Upward, relay_pb2.Downward]


class EndedHook(typing.Protocol):
    """Learn of the end of each request that was taken."""

    def __call__(
        self,
        call: relay_pb2.Call,
        answer: answers.Answer,
        now: float,
    ) -> None:
        """Take one ended request; it is called once for each."""


class RelayService(relay_grpc.RelayBase):
    """Run each request once, however many streams ask for it."""

    def __init__(
        self,
        incarnation: str,
        places: scheduler.Scheduler,
        target: upstream.Upstream,
    ) -> None:
        self.incarnation = incarnation
        self.scheduler = places
        self.upstream = target
        self.answer_store = answer_store.AnswerStore()
        self.group = tasks.TaskGroup()
        self.leaving = False
        self.streams = 0
        self.ended_hooks: list[EndedHook] = []

    async def Run(self, stream: RunStream) -> None:
        """Run a call, or attach to one that runs already."""
        upward = await stream.recv_message()
        if upward is None or not upward.HasField('call'):
            return
        answer = self._find_or_start(upward)
        reader = answers.Reader(upward.call.offset)
        answer.readers.add(reader)
        self.streams += 1
        writing = asyncio.create_task(
            answer_sender.send_answer(stream, answer, reader),
        )
        listening = asyncio.create_task(_listen(stream, answer))
        try:
            await asyncio.wait(
                {writing, listening},
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            self.streams -= 1
            answer.readers.discard(reader)
            answer.read_at = clock.monotonic_seconds()
            await tasks.drop(writing, transport.CALL_ERRORS)
            await tasks.drop(listening, transport.CALL_ERRORS)

    async def run_expiry(self) -> None:
        """Drop old answers for as long as the process runs."""
        while True:
            await asyncio.sleep(timing.HEARTBEAT_SECONDS)
            self.answer_store.expire(clock.monotonic_seconds())

    async def drain(self) -> None:
        """Refuse what is new, and return when nothing is left to do."""
        self.leaving = True
        while self.streams or self.answer_store.owes_answers(
            clock.monotonic_seconds(),
        ):
            await asyncio.sleep(timing.RETRY_DELAY_SECONDS)

    def _find_or_start(self, upward: relay_pb2.Upward) -> answers.Answer:
        now = clock.monotonic_seconds()
        call = upward.call
        known = self.answer_store.find(upward.request_id)
        if known is not None and known.organisation == call.organisation:
            return known
        answer = answers.Answer(upward.request_id, call, now)
        if known is not None or self.answer_store.is_forgotten(
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
        # A refusal is remembered too: a copy that comes late may not run.
        self.answer_store.add(answer)
        return answer

    def _start(
        self,
        call: relay_pb2.Call,
        answer: answers.Answer,
        now: float,
    ) -> None:
        refusal = self._refusal(call)
        if refusal is not None:
            answer.finish(refusal, now)
            return
        offered = self.scheduler.offer(call, now)
        if isinstance(offered, result.Err):
            answer.finish(_not_taken(offered.err_value), now)
            return
        ticket = offered.ok_value
        ticket.output = answer.usage
        work = agent_span.run(
            call, answer.request_id, self._run(ticket, answer)
        )
        self.group.start(work, answer.request_id)

    def _refusal(self, call: relay_pb2.Call) -> relay_pb2.Refused | None:
        if call.incarnation != self.incarnation:
            return relay_pb2.Refused(
                code='other_incarnation',
                message='the agent was restarted',
            )
        if self.leaving:
            return relay_pb2.Refused(
                code='leaving',
                message='the upstream is leaving',
            )
        return None

    async def _run(
        self,
        ticket: tickets.Ticket,
        answer: answers.Answer,
    ) -> None:
        try:
            while await self._wait_for_place(ticket, answer):
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
            self._ended(ticket, answer, now)
            self.scheduler.release(ticket, now)

    async def _wait_for_place(
        self,
        ticket: tickets.Ticket,
        answer: answers.Answer,
    ) -> bool:
        queued = tracing.start(
            'queue',
            ticket.call.traceparent,
            answer.request_id,
        )
        await _first(
            (ticket.running, ticket.evicted, answer.cancelled),
            answer.deadline.remaining_seconds(clock.monotonic_seconds()),
        )
        queued.end()
        now = clock.monotonic_seconds()
        ran = relay_pb2.Ran.YES if answer.sent else relay_pb2.Ran.NO
        if answer.cancelled.is_set():
            answer.fail('cancelled', 'the caller left', ran, now)
            return False
        if answer.deadline.has_passed(now):
            answer.time_out(ran, now)
            return False
        if ticket.evicted.is_set():
            answer.finish(_evicted(), now)
            return False
        return True

    def _ended(
        self,
        ticket: tickets.Ticket,
        answer: answers.Answer,
        now: float,
    ) -> None:
        # Only a fault of the agent itself leaves an answer without an end.
        answer.fail(
            'agent_failed',
            'the agent failed',
            relay_pb2.Ran.UNKNOWN if answer.sent else relay_pb2.Ran.NO,
            now,
        )
        for hook in self.ended_hooks:
            hook(ticket.call, answer, now)
        self.answer_store.close(answer)


async def _listen(stream: RunStream, answer: answers.Answer) -> None:
    """Take what the entry says; return when it has gone silent."""
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


async def _first(
    events: abc.Iterable[asyncio.Event],
    seconds: float,
) -> None:
    waits = {asyncio.create_task(event.wait()) for event in events}
    # Without a deadline there is no end to the wait.
    timeout = None if seconds == float('inf') else seconds
    try:
        await asyncio.wait(
            waits,
            timeout=timeout,
            return_when=asyncio.FIRST_COMPLETED,
        )
    finally:
        for waiting in waits:
            waiting.cancel()


def _not_taken(refusal: scheduler.Refusal) -> relay_pb2.Refused:
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


def _evicted() -> relay_pb2.Refused:
    return relay_pb2.Refused(
        code='evicted',
        message='made room for a request that goes first',
        retry_after_ms=RETRY_AFTER_MS,
    )
