"""Run a request at an agent and receive its answer, on the entry's side."""

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
RAN_VALUES = types.MappingProxyType(
    {
        relay_pb2.Ran.NO: failures.Ran.no,
        relay_pb2.Ran.YES: failures.Ran.yes,
        relay_pb2.Ran.UNKNOWN: failures.Ran.unknown,
    }
)
Outcome = result.Result[relay_pb2.Final, failures.Failure]


class CallerLeft(Exception):
    """The caller has disconnected before the end of the answer."""


class Sink(typing.Protocol):
    """Destination of an answer, such as the caller's HTTP response."""

    async def start(self, head: relay_pb2.Head) -> None:
        """Write the status and headers."""

    async def write_part(self, content: bytes) -> None:
        """Write the next part of the body.

        Raise `CallerLeft` if the caller has disconnected.
        """


@dataclasses.dataclass
class Progress:
    """State of a dispatch across all its attempts.

    `offset` is the number of body bytes delivered to the sink.
    """

    last_received_at: float
    # Attempts in which the agent may have received the call.
    sent_attempts: int = 0
    started: bool = False
    offset: int = 0


class Dispatch:
    """Delivery of one request to one agent; reopens a lost stream.

    `is_first_dispatch` is false when another process may have sent the
    request to the agent before.
    """

    def __init__(
        self,
        pool: connections.ConnectionPool,
        agent: membership_pb2.Announcement,
        request_id: str,
        call: relay_pb2.Call,
        deadline: deadlines.Deadline,
        is_first_dispatch: bool = True,
    ) -> None:
        self.connections = pool
        self.agent = agent
        self.request_id = request_id
        self.call = relay_pb2.Call()
        self.call.CopyFrom(call)
        self.call.incarnation = agent.incarnation
        self.deadline = deadline
        self.is_first_dispatch = is_first_dispatch
        self.progress = Progress(clock.monotonic_seconds())

    async def run(self, sink: Sink) -> Outcome:
        """Deliver the whole answer to `sink`, or return the failure."""
        while True:
            outcome = await self._attempt(sink)
            if outcome is not None:
                return outcome
            failure = self._terminal_failure(clock.monotonic_seconds())
            if failure is not None:
                return result.Err(failure)
            await asyncio.sleep(timing.RETRY_DELAY_SECONDS)

    def _terminal_failure(self, now: float) -> failures.Failure | None:
        """Return the failure that ends the dispatch, None to retry."""
        if not self.progress.sent_attempts and self.is_first_dispatch:
            return failures.AgentUnreachable(
                'the agent could not be reached',
                retry_after_seconds=1,
            )
        if self.deadline.has_passed(now):
            return self._timed_out(failures.Ran.unknown)
        if now <= self.progress.last_received_at + timing.REATTACH_SECONDS:
            return None
        return self._outcome_unknown('contact with the agent was lost')

    def _timed_out(self, ran: failures.Ran) -> failures.Failure:
        if self.progress.started:
            ran = failures.Ran.yes
        return failures.TimedOut('the time for the request is over', ran)

    def _outcome_unknown(self, message: str) -> failures.Failure:
        if self.progress.started:
            return failures.UpstreamFailed(message, failures.Ran.yes)
        return failures.OutcomeUnknown(message, failures.Ran.unknown)

    async def _attempt(self, sink: Sink) -> Outcome | None:
        with self.connections.acquire(self.agent) as connection:
            stub = relay_grpc.RelayStub(connection.channel)
            try:
                async with stub.Run.open() as stream:
                    return await self._exchange(stream, sink)
            except transport.CALL_ERRORS:
                self.connections.retire(connection)
                return None

    async def _exchange(self, stream: RunStream, sink: Sink) -> Outcome | None:
        # `send_request` sends no part of the call, so an attempt that fails
        # here does not count as sent.
        await asyncio.wait_for(
            stream.send_request(), timing.STREAM_SILENCE_SECONDS
        )
        self.progress.sent_attempts += 1
        self.call.offset = self.progress.offset
        now = clock.monotonic_seconds()
        self.call.timeout_ms = self.deadline.remaining_ms(now)
        await asyncio.wait_for(
            stream.send_message(self._make_upward(call=self.call)),
            timing.STREAM_SILENCE_SECONDS,
        )
        heartbeats = asyncio.create_task(self._send_heartbeats(stream))
        try:
            return await self._receive(stream, sink)
        except (asyncio.CancelledError, CallerLeft):
            await self._cancel(stream)
            raise
        finally:
            heartbeats.cancel()

    async def _receive(self, stream: RunStream, sink: Sink) -> Outcome | None:
        while True:
            # Unlike `asyncio.wait_for`, this does not drop a cancellation that
            # coincides with a message.
            async with asyncio.timeout(timing.STREAM_SILENCE_SECONDS):
                downward = await stream.recv_message()
            if downward is None:
                return None
            self.progress.last_received_at = clock.monotonic_seconds()
            outcome = await self._handle_message(downward, sink)
            # Time spent writing to a slow caller is not silence of the agent.
            self.progress.last_received_at = clock.monotonic_seconds()
            if outcome is not None:
                await stream.end()
                return outcome

    async def _send_heartbeats(self, stream: RunStream) -> None:
        heartbeat = self._make_upward(heartbeat=relay_pb2.Heartbeat())
        with contextlib.suppress(*transport.CALL_ERRORS):
            while True:
                await asyncio.sleep(timing.UPWARD_HEARTBEAT_SECONDS)
                await stream.send_message(heartbeat)

    async def _cancel(self, stream: RunStream) -> None:
        with contextlib.suppress(*transport.CALL_ERRORS):
            await asyncio.wait_for(
                stream.send_message(
                    self._make_upward(cancel=relay_pb2.Cancel()),
                    end=True,
                ),
                timing.STREAM_SILENCE_SECONDS,
            )

    def _make_upward(
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

    async def _handle_message(
        self,
        downward: relay_pb2.Downward,
        sink: Sink,
    ) -> Outcome | None:
        """Return the outcome if the message ends the answer, else None."""
        if downward.request_id != self.request_id:
            raise ConnectionError('the answer belongs to another request')
        kind = downward.WhichOneof('kind')
        if kind == 'head' and not self.progress.started:
            self.progress.started = True
            await sink.start(downward.head)
        if kind == 'chunk':
            await self._handle_chunk(downward.chunk, sink)
        if kind == 'final':
            return self._outcome_of_final(downward.final)
        if kind == 'refused':
            return result.Err(self._failure_of_refused(downward.refused))
        if kind == 'failed':
            return result.Err(self._failure_of_failed(downward.failed))
        return None

    async def _handle_chunk(self, chunk: relay_pb2.Chunk, sink: Sink) -> None:
        overlap = self.progress.offset - chunk.offset
        if overlap < 0 or not self.progress.started:
            raise ConnectionError('a part of the answer is missing')
        new_content = chunk.content[overlap:]
        if new_content:
            self.progress.offset += len(new_content)
            await sink.write_part(new_content)

    def _outcome_of_final(self, final: relay_pb2.Final) -> Outcome:
        if final.length != self.progress.offset:
            raise ConnectionError('the answer differs from its final length')
        return result.Ok(final)

    def _failure_of_refused(
        self, refused: relay_pb2.Refused
    ) -> failures.Failure:
        if refused.code == OTHER_INCARNATION:
            return self._failure_of_restart()
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

    def _failure_of_failed(self, failed: relay_pb2.Failed) -> failures.Failure:
        ran = RAN_VALUES[failed.ran]
        if failed.code == answers.TIMED_OUT:
            return self._timed_out(ran)
        if self.progress.started:
            ran = failures.Ran.yes
        if ran is failures.Ran.unknown:
            return failures.OutcomeUnknown(failed.message, ran)
        return failures.UpstreamFailed(failed.message, ran)

    def _failure_of_restart(self) -> failures.Failure:
        if self.is_first_dispatch and self.progress.sent_attempts == 1:
            return failures.AgentUnreachable(
                'the agent was restarted',
                retry_after_seconds=1,
            )
        return self._outcome_unknown('the agent was restarted')
