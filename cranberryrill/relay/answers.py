"""Answers buffered at the agent, so that a lost stream can resume."""

import asyncio
import dataclasses
from collections import abc

from cranberryrill.relay import deadlines, relay_pb2

TIMED_OUT = 'timed_out'
End = relay_pb2.Final | relay_pb2.Failed | relay_pb2.Refused
# The upstream is paused while the furthest reader lags by more than this.
MAX_UNREAD_BYTES = 1024 * 1024
# Size of the content kept behind the furthest reader for streams that resume.
# Flow control between processes keeps an entry from lagging by as much.
REPLAY_BYTES = 8 * MAX_UNREAD_BYTES


@dataclasses.dataclass
class Usage:
    """Token counts of one answer."""

    prompt_tokens: int = 0
    output_tokens: int = 0


class Reader:
    """Position of one stream in an answer, in bytes of the body.

    `wake` is set whenever the answer changes.
    """

    def __init__(self, offset: int) -> None:
        self.offset = offset
        self.wake = asyncio.Event()
        self.wake.set()


class Answer:
    """The answer to one request, read by any number of streams.

    `head` is None until the upstream has sent its status, and `end` is None
    until the request has ended. Times are in seconds on the monotonic clock.
    """

    def __init__(
        self,
        request_id: str,
        call: relay_pb2.Call,
        now: float,
    ) -> None:
        self.request_id = request_id
        self.organisation = call.organisation
        # The outcome of a call that is not idempotent is stored after its
        # content is dropped, so that it does not run twice.
        self.idempotent = call.idempotent
        self.claimed = call.claimed
        self.created_at = now
        self.deadline = deadlines.from_timeout(call.timeout_ms, now)
        self.head: relay_pb2.Head | None = None
        # Offset of the first byte in `content`; earlier ones were dropped.
        self.content_offset = 0
        self.content = bytearray()
        self.usage = Usage()
        self.end: End | None = None
        self.ended_at = float('inf')
        self.readers: set[Reader] = set()
        self.read_offset = 0
        # Called when a reader has advanced.
        self.on_read: abc.Callable[[], None] = _do_nothing
        self.last_read_at = now
        # Whether the upstream may have received the call.
        self.sent = False
        # Whether a stream has sent the answer's end to an entry.
        self.delivered = False
        self.cancelled = asyncio.Event()

    def start(
        self,
        status: int,
        headers: abc.Sequence[relay_pb2.Header],
    ) -> None:
        """Set the status and headers that the upstream sent."""
        self.head = relay_pb2.Head(status=status, headers=headers)
        self._notify()

    def extend(self, content: bytes) -> None:
        """Append to the body; drop content that is too old to resume from."""
        self.content += content
        excess = self.read_offset - REPLAY_BYTES - self.content_offset
        if excess > MAX_UNREAD_BYTES:
            del self.content[:excess]
            self.content_offset += excess
        self._notify()

    def length(self) -> int:
        """Return the length of the body so far, in bytes."""
        return self.content_offset + len(self.content)

    def read(self, offset: int, size: int) -> bytes:
        """Return up to `size` bytes of the body from `offset` on."""
        start = offset - self.content_offset
        return bytes(self.content[start : start + size])

    def unread_bytes(self) -> int:
        """Return how many bytes no reader has reached yet."""
        return self.length() - self.read_offset

    def record_read(self, reader: Reader, now: float) -> None:
        """Record that `reader` has advanced to its offset."""
        self.read_offset = max(self.read_offset, reader.offset)
        self.last_read_at = now
        self.on_read()

    def cancel(self) -> None:
        """Cancel the request, unless it has to run to its end.

        A call that is not idempotent runs to its end once it was sent, so
        that its outcome is known. A claimed one always does, because a caller
        may request its answer again.
        """
        if self.claimed or self._must_complete():
            return
        self.cancelled.set()

    def finish(self, end: End, now: float) -> None:
        """Set the end of the answer; later calls have no effect."""
        if self.end is None:
            self.end = end
            self.ended_at = now
            self._notify()

    def complete(self, now: float) -> None:
        """End successfully, with the length of the body and its usage."""
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
        """End with a failure; `ran` states whether the request ran."""
        failed = relay_pb2.Failed(code=code, message=message, ran=ran)
        self.finish(failed, now)

    def time_out(self, ran: relay_pb2.Ran, now: float) -> None:
        """End with a failure because the deadline has passed."""
        self.fail(TIMED_OUT, 'the time for the request is over', ran, now)

    def drop_content(self) -> None:
        """Drop the head and the body, but keep whether the request ran."""
        self.content_offset = self.length()
        self.content = bytearray()
        self.head = None
        if isinstance(self.end, relay_pb2.Final):
            self.end = dropped_failure()
        self._notify()

    def _must_complete(self) -> bool:
        return self.sent and (self.claimed or not self.idempotent)

    def _notify(self) -> None:
        for reader in self.readers:
            reader.wake.set()


def _do_nothing() -> None:
    """Do nothing on a read, until an exchange sets its own callback."""


def dropped_failure() -> relay_pb2.Failed:
    """Return the end for a reader whose content was dropped."""
    return relay_pb2.Failed(
        code='answer_dropped',
        message='the answer is no longer held',
        ran=relay_pb2.Ran.YES,
    )
