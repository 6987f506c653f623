"""Exchange of one request and its answer with the upstream, over curl."""

import asyncio
import http
import logging
import typing
from collections import abc

import pycurl
from tornado import httputil

from cranberryrill import (
    clock,
    failures,
    response_reader,
    response_syntax,
)
from cranberryrill.limits import buffer_budget
from cranberryrill.relay import (
    answers,
    curl_options,
    deadlines,
    relay_pb2,
    response_head,
    timing,
    token_counter,
)
from cranberryrill.settings import response_limits

LOGGER = logging.getLogger(__name__)
PRIORITY_HEADER = 'X-Priority'
REQUEST_ID_HEADER = 'X-Request-Id'
# Number of tokens after which the upstream resumes a preempted answer.
RESUME_HEADER = 'X-Resume-From'
EVENT_SEPARATOR = b'\n\n'
# Errors with which curl fails before it has sent anything. An unsupported
# protocol is none of them: curl also reports it for an answer that is no HTTP.
NOT_SENT_ERRORS = frozenset(
    (
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_URL_MALFORMAT,
    )
)
# Returned to curl in place of the number of bytes taken, it ends the transfer.
ABORT = -1


class Transfer:
    """One exchange with the upstream, which fills an answer from curl.

    A preempted exchange stops without an end of its answer; a later exchange
    resumes it. `now` is in seconds on the monotonic clock.
    """

    def __init__(
        self,
        call: relay_pb2.Call,
        answer: answers.Answer,
        preempted: asyncio.Event,
        limits: response_limits.ResponseLimits,
        buffers: buffer_budget.BufferBudget,
        now: float,
    ) -> None:
        self.call = call
        self.limits = limits
        self.buffers = buffers
        self.answer = answer
        self.preempted = preempted
        # Only the first exchange sets the status and headers of the answer.
        self.is_resumption = answer.head is not None
        self.partial_event = bytearray()
        self.head_bytes = 0
        self.reader = response_reader.ResponseReader(call.method)
        self.has_malformed_head = False
        self.head = response_head.NO_HEAD
        # Called when the whole head of the final answer was received.
        self.on_head: abc.Callable[[], None] = do_nothing
        self.counter = token_counter.TokenCounter(answer.usage)
        self.curl: typing.Any = None
        self.paused = False
        self.received_bytes = 0
        self.checked_bytes = 0
        self.last_activity_at = now
        self.abort_reason = ''
        # True once the exchange stops because of a preemption.
        self.stopped = False
        answer.on_read = self.resume

    def headers(self, now: float) -> httputil.HTTPHeaders:
        """Return the headers to send to the upstream."""
        headers = httputil.HTTPHeaders()
        for header in self.call.headers:
            headers.add(header.name, header.value)
        headers[REQUEST_ID_HEADER] = self.answer.request_id
        headers[PRIORITY_HEADER] = str(self.call.tier)
        if self.answer.usage.output_tokens:
            headers[RESUME_HEADER] = str(self.answer.usage.output_tokens)
        timeout_ms = self.answer.deadline.remaining_ms(now)
        if timeout_ms:
            headers[deadlines.TIMEOUT_HEADER] = str(timeout_ms)
        if self.call.traceparent:
            headers['traceparent'] = self.call.traceparent
        return headers

    def prepare(self, curl: typing.Any) -> None:
        """Make curl send the request once and hand the answer over."""
        self.curl = curl
        curl_options.send_once(curl)
        self.reader.prepare(curl)
        curl.setopt(pycurl.HEADERFUNCTION, self.on_header)
        curl.setopt(pycurl.WRITEFUNCTION, self.on_content)
        curl.setopt(pycurl.NOPROGRESS, 0)
        curl.setopt(pycurl.XFERINFOFUNCTION, self._on_progress)

    def check(self, now: float) -> None:
        """Stop the exchange if it may not continue.

        This is the case after the deadline, a cancellation, a long silence of
        the upstream or a preemption.
        """
        if self.received_bytes > self.checked_bytes or self.paused:
            self.checked_bytes = self.received_bytes
            self.last_activity_at = now
        if self.answer.deadline.has_passed(now):
            self.answer.time_out(self._ran_state(0), now)
            self.abort('the time for the request is over', now)
        if now > self.last_activity_at + self._silence_limit_seconds():
            self.abort('the upstream fell silent', now)
        if self.answer.cancelled.is_set():
            self.abort('', now)
        self._stop_if_preempted()

    def exceed(self, limit_bytes: int) -> None:
        """End the exchange, since all together hold more than the limit."""
        self.abort(
            f'responses hold over {limit_bytes} bytes in all',
            clock.monotonic_seconds(),
        )

    def resume(self) -> None:
        """Resume a paused transfer once a reader has caught up."""
        if self.paused and self.answer.end is None and not self._readers_lag():
            self.paused = False
            self.curl.pause(pycurl.PAUSE_CONT)

    def abort(self, reason: str, now: float) -> None:
        """Fail the answer; curl closes the connection at its next callback."""
        self.abort_reason = self.abort_reason or reason
        self.fail(ConnectionError(reason), now)

    def finish(self, now: float) -> None:
        """Complete the answer once curl has reported success.

        Fail it if its length is unknown or the upstream did not resume it.
        """
        if self.answer.end is not None:
            return
        if self.reader.head is None:
            self.fail(ConnectionError('the answer had no head'), now)
            return
        if not self._is_complete():
            self.fail(ConnectionError('the answer had no length'), now)
            return
        if self.partial_event:
            self.fail(ConnectionError('the answer ended in an event'), now)
            return
        if self._resumption_failed():
            reason = 'the upstream cannot go on with the answer'
            self.fail(ConnectionError(reason), now)
            return
        if self.call.is_model and not self.call.streamed:
            self.counter.count_body(bytes(self.answer.content))
        self._start_answer()
        self.answer.complete(now)

    def fail(self, error: Exception, now: float) -> None:
        """Fail the answer, unless it has ended or was preempted."""
        if self.answer.end is not None or self.stopped:
            return
        ran = self._ran_state(getattr(error, 'errno', 0))
        if self.answer.cancelled.is_set():
            self.answer.fail('cancelled', 'the caller left', ran, now)
            return
        cause = self.abort_reason or str(error)
        LOGGER.warning(
            'upstream failed',
            extra={'request_id': self.answer.request_id, 'cause': cause},
        )
        self.answer.fail('upstream_failed', cause, ran, now)

    def on_header(self, line: bytes) -> int | None:
        """Handle one line of the head of the final or an interim answer.

        Return None, or `ABORT` to make curl abort.
        """
        self.received_bytes += len(line)
        self.head_bytes += len(line)
        self._check_size()
        if self.abort_reason:
            return ABORT
        try:
            self.reader.read_line(line)
        except response_syntax.MalformedResponse as error:
            self.has_malformed_head = True
            self.abort_reason = str(error)
            return ABORT
        is_new = self.head is response_head.NO_HEAD
        if is_new and self.reader.head is not None:
            self.head = response_head.from_response(self.reader.head)
            self.on_head()
            self._check_refusal()
        return ABORT if self.abort_reason else None

    def _check_refusal(self) -> None:
        """Keep a refusal from the caller, who may take it for the router's.

        The entry, which knows of other attempts, says whether it ran.
        """
        if self.head.is_refusal and not self.is_resumption:
            proof = 'with' if self.head.not_executed else 'without'
            self.abort_reason = (
                f'status {self.head.status} {proof} proof of no execution'
            )

    def on_content(self, received: bytes) -> int:
        """Handle a part of the body and return the number of bytes taken.

        0 or `ABORT` makes curl abort; `WRITEFUNC_PAUSE` makes it pause and pass
        the same part again later.
        """
        if self.answer.end is not None or self.answer.cancelled.is_set():
            return 0
        self._stop_if_preempted()
        if self.stopped:
            return 0
        if self._readers_lag():
            self.paused = True
            return int(pycurl.WRITEFUNC_PAUSE)
        self.received_bytes += len(received)
        self._receive(received)
        return ABORT if self.abort_reason else len(received)

    def _receive(self, received: bytes) -> None:
        try:
            content = self.reader.read_body(received)
        except response_syntax.MalformedResponse as error:
            self.abort_reason = str(error)
            return
        self._check_size()
        if content and not self.abort_reason and not self._resumption_failed():
            self._append(content)

    def _check_size(self) -> None:
        limits = self.limits
        head_bytes = self.head_bytes + self.reader.chunk_metadata_bytes
        if head_bytes > limits.head_bytes:
            self.abort_reason = f'a head of over {limits.head_bytes} bytes'
        elif self.reader.body_bytes > limits.body_bytes:
            self.abort_reason = f'a body of over {limits.body_bytes} bytes'

    def _append(self, content: bytes) -> None:
        self._start_answer()
        if self.call.streamed:
            self.counter.feed(content)
        if self.head.streams_events:
            self._extend_by_whole_events(content)
        else:
            self.answer.extend(content)
        if self.answer.end is None:
            held_bytes = len(self.answer.content) + len(self.partial_event)
            self.buffers.hold(self, held_bytes)

    def _extend_by_whole_events(self, content: bytes) -> None:
        # After a resumption the upstream sends an interrupted event again, so
        # only whole events are passed on.
        # The last byte searched before may be the start of a separator.
        searched = max(len(self.partial_event) - 1, 0)
        self.partial_event += content
        last = self.partial_event.rfind(EVENT_SEPARATOR, searched)
        if last >= 0:
            events_end = last + len(EVENT_SEPARATOR)
            self.answer.extend(bytes(self.partial_event[:events_end]))
            del self.partial_event[:events_end]
        limit = self.limits.event_bytes
        if len(self.partial_event) > limit:
            self.abort_reason = f'an event of over {limit} bytes'

    def _resumption_failed(self) -> bool:
        """Return whether the response can't go on with the answer."""
        begun = self.answer.head
        if not self.is_resumption or begun is None:
            return False
        return not self.head.continues(begun)

    def _stop_if_preempted(self) -> None:
        # An answer that is not streamed is generated before its body arrives,
        # so it is no longer stopped then.
        arriving = bool(self.answer.length()) and not self.head.streams_events
        if self.preempted.is_set() and not arriving:
            self.stopped = True

    def _start_answer(self) -> None:
        if self.answer.head is None:
            self.answer.start(self.head.status, self.head.returned)

    def _ran_state(self, error_number: int) -> relay_pb2.Ran:
        if self.has_malformed_head:
            return relay_pb2.Ran.UNKNOWN
        status = self.reader.status
        if not self.is_resumption:
            if self.head.not_executed:
                return relay_pb2.Ran.NO
            if status in failures.NOT_RUN_STATUSES:
                return relay_pb2.Ran.UNKNOWN
        if status >= http.HTTPStatus.OK:
            return relay_pb2.Ran.YES
        if error_number in NOT_SENT_ERRORS:
            return relay_pb2.Ran.NO
        return relay_pb2.Ran.UNKNOWN

    def _is_complete(self) -> bool:
        if self.head.framing is response_reader.Framing.connection_end:
            return self.counter.done
        return self.reader.is_whole

    def _readers_lag(self) -> bool:
        return self.answer.unread_bytes() > answers.MAX_UNREAD_BYTES

    def _silence_limit_seconds(self) -> float:
        if self.answer.head is None:
            return timing.UPSTREAM_HEAD_TIMEOUT_SECONDS
        if self.call.streamed:
            return timing.TOKEN_SILENCE_SECONDS
        return timing.BODY_SILENCE_SECONDS

    def _on_progress(self, *progress: int) -> int:
        return int(self.stopped or self.answer.end is not None)


def do_nothing() -> None:
    """Do nothing at the end of a head, until another callback is set."""
