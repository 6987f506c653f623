"""Pass the response of one upstream on to the caller."""

from cranberryrill import clock, failures
from cranberryrill.forwarding import (
    attempts,
    events,
    exchange,
    headers,
    reply,
    response_kind,
    stream_observer,
)

# A larger response is relayed before it is complete; the request can then no
# longer be retried.
MAX_BUFFERED_BYTES = 262_144


class ResponseRelay:
    """Relay the response of one exchange until it ends or `deadline`.

    Of a stream, only whole events are passed on. Each method returns None once
    the caller has the complete response, and else how the attempt failed.
    """

    def __init__(
        self,
        call: exchange.Exchange,
        caller_reply: reply.Reply,
        event_buffer: events.EventBuffer,
        deadline: float,
        observer: stream_observer.StreamObserver | None = None,
    ) -> None:
        self.call = call
        self.reply = caller_reply
        self.events = event_buffer
        self.deadline = deadline
        # Measures the times of events, where speeds are modelled.
        self.observer = observer

    async def relay_buffered(
        self, kind: response_kind.Kind
    ) -> attempts.Failed | None:
        """Relay a response once it is complete, unless it is large.

        A failure that the upstream reports is returned, not relayed. One whose
        status claims, without proof, that the request did not run is returned
        without its response, since callers rely on such a status.
        """
        call = self.call
        if kind is response_kind.Kind.unproved:
            return attempts.Failed(
                failures.Ran.unknown,
                f'status {call.status} without proof of no execution',
            )
        body = bytearray()
        while call.ending is None:
            body += call.read_content()
            call.retain(len(body))
            if len(body) > MAX_BUFFERED_BYTES:
                return await self._relay_bytes(bytes(body))
            if not await self.wait():
                return attempts.timed_out()
        body += call.read_content()
        if not isinstance(call.ending, exchange.Complete):
            return attempts.interrupted(call)
        response = attempts.Response(
            call.status, tuple(headers.for_caller(call.headers)), bytes(body)
        )
        if kind is response_kind.Kind.failure:
            return attempts.Failed(
                failures.Ran.yes,
                'the upstream reported a failure',
                response=response,
            )
        await self.reply.send_full(
            response.status, response.headers, response.body
        )
        return None

    async def relay_events(self, limit_bytes: int) -> attempts.Failed | None:
        """Relay a stream event by event; none may be larger than the limit."""
        call = self.call
        after_id = self.events.last_id if self.reply.started else ''
        while call.ending is None or call.content:
            is_late = bool(call.content)
            if not await self.wait():
                self.events.drop_partial()
                return attempts.timed_out()
            previous_count = self.events.event_count
            complete = self.events.feed(call.read_content())
            if complete and not events.may_follow(after_id, complete):
                self.events.drop_partial()
                return attempts.Failed(
                    failures.Ran.unknown, 'the stream began anew'
                )
            if complete and self.observer is not None:
                self.observer.record_events(
                    self.events.event_count - previous_count,
                    clock.monotonic_seconds(),
                    waited=not is_late,
                )
            if complete:
                after_id = ''
                call.retain(len(complete) + len(self.events.partial))
                await self._write(complete)
            call.retain(len(self.events.partial))
            if len(self.events.partial) > limit_bytes:
                self.events.drop_partial()
                return attempts.Failed(
                    failures.Ran.unknown,
                    f'an event of over {limit_bytes} bytes',
                )
        return await self._end_events()

    async def wait(self) -> bool:
        """Wait until there is more of the response; False once it is overdue.

        A response that has ended is never overdue.
        """
        if self.call.ending is not None:
            return True
        seconds_left = self.deadline - clock.monotonic_seconds()
        if seconds_left <= 0:
            return False
        return bool(self.call.content) or await self.call.wait(seconds_left)

    async def _relay_bytes(self, body: bytes) -> attempts.Failed | None:
        """Relay a response that is too large to buffer."""
        call = self.call
        await self._write(body)
        call.retain(0)
        while call.ending is None or call.content:
            if not await self.wait():
                return attempts.timed_out()
            content = call.read_content()
            if content:
                call.retain(len(content))
                await self._write(content)
                call.retain(0)
        if not isinstance(call.ending, exchange.Complete):
            return attempts.interrupted(call)
        self.reply.finish()
        return None

    async def _end_events(self) -> attempts.Failed | None:
        is_partial = bool(self.events.partial)
        self.events.drop_partial()
        if not isinstance(self.call.ending, exchange.Complete):
            return attempts.interrupted(self.call)
        if is_partial:
            return attempts.Failed(
                failures.Ran.unknown, 'ended within an event'
            )
        if not self.reply.started:
            await self._write(b'')
        self.reply.finish()
        return None

    async def _write(self, content: bytes) -> None:
        if self.reply.started:
            await self.reply.write(content)
            return
        await self.reply.start(
            self.call.status, headers.for_caller(self.call.headers), content
        )
