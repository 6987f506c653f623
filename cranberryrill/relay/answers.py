"""Keep each answer at the agent, so that a lost stream can be resumed."""

import asyncio
import dataclasses
from collections import abc

from cranberryrill.relay import deadlines, relay_pb2

TIMED_OUT = 'timed_out'
End = relay_pb2.Final | relay_pb2.Failed | relay_pb2.Refused
# The upstream is held up while a reader lags behind by this many bytes.
MAX_UNREAD_BYTES = 1024 * 1024
# More than the flow control between processes lets a reader be behind.
TAIL_BYTES = 8 * MAX_UNREAD_BYTES


@dataclasses.dataclass
class Usage:
    """Count what an answer cost."""

    prompt_tokens: int = 0
    output_tokens: int = 0


class Reader:
    """Follow an answer on behalf of one stream."""

    def __init__(self, offset: int) -> None:
        self.offset = offset
        self.wake = asyncio.Event()
        self.wake.set()


class Answer:
    """Collect one request's answer; any number of streams read it."""

    def __init__(
        self,
        request_id: str,
        call: relay_pb2.Call,
        now: float,
    ) -> None:
        self.request_id = request_id
        self.organisation = call.organisation
        # What must not run twice is remembered after its content is gone.
        self.idempotent = call.idempotent
        self.claimed = call.claimed
        self.created_at = now
        self.deadline = deadlines.from_timeout(call.timeout_ms, now)
        self.head: relay_pb2.Head | None = None
        # What lies before `base` was read and is no longer held.
        self.base = 0
        self.content = bytearray()
        self.usage = Usage()
        self.end: End | None = None
        self.ended_at = float('inf')
        self.readers: set[Reader] = set()
        self.read_offset = 0
        # Called when a reader has come further.
        self.on_read: abc.Callable[[], None] = _do_nothing
        self.read_at = now
        # Whether the upstream may have seen the call.
        self.sent = False
        # Whether a stream has brought the answer's end to an entry.
        self.delivered = False
        self.cancelled = asyncio.Event()

    def start(
        self,
        status: int,
        headers: abc.Sequence[relay_pb2.Header],
    ) -> None:
        """Take the status and headers of the upstream."""
        self.head = relay_pb2.Head(status=status, headers=headers)
        self._notify()

    def extend(self, content: bytes) -> None:
        """Take more of the body, and drop what was read long ago."""
        self.content += content
        excess = self.read_offset - TAIL_BYTES - self.base
        if excess > MAX_UNREAD_BYTES:
            del self.content[:excess]
            self.base += excess
        self._notify()

    def length(self) -> int:
        """Return how long the body is so far, in bytes."""
        return self.base + len(self.content)

    def part(self, offset: int, size: int) -> bytes:
        """Return up to `size` bytes of the body from `offset` on."""
        start = offset - self.base
        return bytes(self.content[start : start + size])

    def unread_bytes(self) -> int:
        """Return how far the furthest reader lags behind."""
        return self.length() - self.read_offset

    def note_read(self, reader: Reader, now: float) -> None:
        """Remember how far a reader has come."""
        self.read_offset = max(self.read_offset, reader.offset)
        self.read_at = now
        self.on_read()

    def cancel(self) -> None:
        """Stop the work, unless it may have changed something already.

        A call that may not be repeated runs to its end once it was sent, so
        that its outcome is known; a claimed one can be asked for again.
        """
        if self.claimed or self._is_settled():
            return
        self.cancelled.set()

    def finish(self, end: End, now: float) -> None:
        """Take the end; the first one counts."""
        if self.end is None:
            self.end = end
            self.ended_at = now
            self._notify()

    def complete(self, now: float) -> None:
        """End with the length that makes the answer whole."""
        final = relay_pb2.Final(
            length=self.length(),
            prompt_tokens=self.usage.prompt_tokens,
            output_tokens=self.usage.output_tokens,
        )
        self.finish(final, now)

    def fail(
        self,
        code: str,
        message: str,
        ran: relay_pb2.Ran,
        now: float,
    ) -> None:
        """End with a failure."""
        failed = relay_pb2.Failed(code=code, message=message, ran=ran)
        self.finish(failed, now)

    def time_out(self, ran: relay_pb2.Ran, now: float) -> None:
        """End because the deadline has passed."""
        self.fail(TIMED_OUT, 'the time for the request is over', ran, now)

    def drop_content(self) -> None:
        """Forget what the upstream said, but not whether the request ran."""
        self.base = self.length()
        self.content = bytearray()
        self.head = None
        if isinstance(self.end, relay_pb2.Final):
            self.end = dropped()
        self._notify()

    def _is_settled(self) -> bool:
        return self.sent and (self.claimed or not self.idempotent)

    def _notify(self) -> None:
        for reader in self.readers:
            reader.wake.set()


def _do_nothing() -> None:
    """Wait for no reader."""


def dropped() -> relay_pb2.Failed:
    """Return the end for a reader who comes too late."""
    return relay_pb2.Failed(
        code='answer_dropped',
        message='the answer is no longer held',
        ran=relay_pb2.Ran.YES,
    )
