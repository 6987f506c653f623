"""Run a request at an agent and follow its answer, from the entry."""

import asyncio
import contextlib
import dataclasses
import types
import typing

import result
from grpclib import client

from cranberryrill import clock, failures, transport
from cranberryrill.membership import membership_pb2
from cranberryrill.relay import (
    answers,
    connections,
    deadlines,
    relay_grpc,
    relay_pb2,
    timing,
)

RunStream = client.Stream[relay_pb2.Upward, relay_pb2.Downward]
MILLISECONDS_PER_SECOND = 1000
OTHER_INCARNATION = 'other_incarnation'
LEAVING = 'leaving'
RAN = types.MappingProxyType(
    {
        relay_pb2.Ran.NO: failures.Ran.no,
        relay_pb2.Ran.YES: failures.Ran.yes,
        relay_pb2.Ran.UNKNOWN: failures.Ran.unknown,
    }
)
Outcome = result.Result[relay_pb2.Final, failures.Failure]


class CallerLeft(Exception):
    """Nobody takes the answer any longer."""


class Sink(typing.Protocol):
    """Take an answer as it arrives."""

    async def start(self, head: relay_pb2.Head) -> None:
        """Take the status and headers."""

    async def write_part(self, content: bytes) -> None:
        """Take the next part of the body.

        Raise `CallerLeft` when nobody takes it.
        """


@dataclasses.dataclass
class Progress:
    """Track how far an answer has come."""

    heard_at: float
    # Attempts in which the agent may have received the call.
    sent_attempts: int = 0
    started: bool = False
    offset: int = 0


class Dispatch:
    """Carry one request to one agent; lost streams are opened anew.

    `is_first_dispatch` is false when another process may have sent the
    request to the agent before.
    """

    def __init__(
        self,
        lent: connections.ConnectionPool,
        agent: membership_pb2.Announcement,
        request_id: str,
        call: relay_pb2.Call,
        deadline: deadlines.Deadline,
        is_first_dispatch: bool = True,
    ) -> None:
        self.connections = lent
        self.agent = agent
        self.request_id = request_id
        self.call = relay_pb2.Call()
        self.call.CopyFrom(call)
        self.call.incarnation = agent.incarnation
        self.deadline = deadline
        self.is_first_dispatch = is_first_dispatch
        self.progress = Progress(clock.monotonic_seconds())

    async def run(self, sink: Sink) -> Outcome:
        """Deliver the whole answer to `sink`, or return why not."""
        while True:
            ended = await self._attempt(sink)
            if ended is not None:
                return ended
            given_up = self._give_up(clock.monotonic_seconds())
            if given_up is not None:
                return result.Err(given_up)
            await asyncio.sleep(timing.RETRY_DELAY_SECONDS)

    def _give_up(self, now: float) -> failures.Failure | None:
        if not self.progress.sent_attempts and self.is_first_dispatch:
            return failures.AgentUnreachable(
                'the agent could not be reached',
                retry_after_seconds=1,
            )
        if self.deadline.has_passed(now):
            return self._timed_out(failures.Ran.unknown)
        if now <= self.progress.heard_at + timing.REATTACH_SECONDS:
            return None
        return self._unknown('contact with the agent was lost')

    def _timed_out(self, ran: failures.Ran) -> failures.Failure:
        if self.progress.started:
            ran = failures.Ran.yes
        return failures.TimedOut('the time for the request is over', ran)

    def _unknown(self, message: str) -> failures.Failure:
        if self.progress.started:
            return failures.UpstreamFailed(message, failures.Ran.yes)
        return failures.OutcomeUnknown(message, failures.Ran.unknown)

    async def _attempt(self, sink: Sink) -> Outcome | None:
        with self.connections.acquire(self.agent) as connection:
            stub = relay_grpc.RelayStub(connection.channel)
            try:
                async with stub.Run.open() as stream:
                    return await self._follow(stream, sink)
            except transport.CALL_ERRORS:
                self.connections.retire(connection)
                return None

    async def _follow(self, stream: RunStream, sink: Sink) -> Outcome | None:
        # Nothing of the call leaves this process before the message is sent.
        await asyncio.wait_for(
            stream.send_request(), timing.STREAM_SILENCE_SECONDS
        )
        self.progress.sent_attempts += 1
        self.call.offset = self.progress.offset
        now = clock.monotonic_seconds()
        self.call.timeout_ms = self.deadline.remaining_ms(now)
        await asyncio.wait_for(
            stream.send_message(self._upward(call=self.call)),
            timing.STREAM_SILENCE_SECONDS,
        )
        beating = asyncio.create_task(self._beat(stream))
        try:
            return await self._receive(stream, sink)
        except (asyncio.CancelledError, CallerLeft):
            await self._cancel(stream)
            raise
        finally:
            beating.cancel()

    async def _receive(self, stream: RunStream, sink: Sink) -> Outcome | None:
        while True:
            # Unlike `wait_for`, this loses no cancellation to a message.
            async with asyncio.timeout(timing.STREAM_SILENCE_SECONDS):
                downward = await stream.recv_message()
            if downward is None:
                return None
            self.progress.heard_at = clock.monotonic_seconds()
            ended = await self._take(downward, sink)
            # A caller that reads slowly is no silence of the agent.
            self.progress.heard_at = clock.monotonic_seconds()
            if ended is not None:
                await stream.end()
                return ended

    async def _beat(self, stream: RunStream) -> None:
        beat = self._upward(heartbeat=relay_pb2.Heartbeat())
        with contextlib.suppress(*transport.CALL_ERRORS):
            while True:
                await asyncio.sleep(timing.UPWARD_HEARTBEAT_SECONDS)
                await stream.send_message(beat)

    async def _cancel(self, stream: RunStream) -> None:
        with contextlib.suppress(*transport.CALL_ERRORS):
            await asyncio.wait_for(
                stream.send_message(
                    self._upward(cancel=relay_pb2.Cancel()),
                    end=True,
                ),
                timing.STREAM_SILENCE_SECONDS,
            )

    def _upward(
        self,
        call: relay_pb2.Call | None = None,
        cancel: relay_pb2.Cancel | None = None,
        heartbeat: relay_pb2.Heartbeat | None = None,
    ) -> relay_pb2.Upward:
        return relay_pb2.Upward(
            request_id=self.request_id,
            organisation=self.call.organisation,
            call=call,
            cancel=cancel,
            heartbeat=heartbeat,
        )

    async def _take(
        self,
        downward: relay_pb2.Downward,
        sink: Sink,
    ) -> Outcome | None:
        if downward.request_id != self.request_id:
            raise ConnectionError('the answer belongs to another request')
        kind = downward.WhichOneof('kind')
        if kind == 'head' and not self.progress.started:
            self.progress.started = True
            await sink.start(downward.head)
        if kind == 'chunk':
            await self._take_chunk(downward.chunk, sink)
        if kind == 'final':
            return self._final(downward.final)
        if kind == 'refused':
            return result.Err(self._refused(downward.refused))
        if kind == 'failed':
            return result.Err(self._failed(downward.failed))
        return None

    async def _take_chunk(self, chunk: relay_pb2.Chunk, sink: Sink) -> None:
        skipped = self.progress.offset - chunk.offset
        if skipped < 0 or not self.progress.started:
            raise ConnectionError('a part of the answer is missing')
        fresh = chunk.content[skipped:]
        if fresh:
            self.progress.offset += len(fresh)
            await sink.write_part(fresh)

    def _final(self, final: relay_pb2.Final) -> Outcome:
        if final.length != self.progress.offset:
            raise ConnectionError('the answer is shorter than announced')
        return result.Ok(final)

    def _refused(self, refused: relay_pb2.Refused) -> failures.Failure:
        if refused.code == OTHER_INCARNATION:
            return self._restarted()
        if refused.code == LEAVING:
            return failures.AgentLeaving(
                refused.message,
                retry_after_seconds=1,
            )
        return failures.Overloaded(
            refused.message,
            retry_after_seconds=refused.retry_after_ms
            / MILLISECONDS_PER_SECOND,
        )

    def _failed(self, failed: relay_pb2.Failed) -> failures.Failure:
        ran = RAN[failed.ran]
        if failed.code == answers.TIMED_OUT:
            return self._timed_out(ran)
        if self.progress.started:
            ran = failures.Ran.yes
        if ran is failures.Ran.unknown:
            return failures.OutcomeUnknown(failed.message, ran)
        return failures.UpstreamFailed(failed.message, ran)

    def _restarted(self) -> failures.Failure:
        if self.is_first_dispatch and self.progress.sent_attempts == 1:
            return failures.AgentUnreachable(
                'the agent was restarted',
                retry_after_seconds=1,
            )
        return self._unknown('the agent was restarted')
