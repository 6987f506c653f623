"""Follow one exchange with the upstream, and say how it ended."""

import asyncio
import http
import logging
import typing

import pycurl
from tornado import httputil

from cranberryrill.relay import (
    answers,
    token_counter,
    deadlines,
    relay_pb2,
    timing,
)

LOGGER = logging.getLogger(__name__)
PRIORITY_HEADER = 'X-Priority'
REQUEST_ID_HEADER = 'X-Request-Id'
# A preempted answer goes on after so many tokens.
RESUME_HEADER = 'X-Resume-From'
EVENT_STREAM = 'text/event-stream'
EVENT_BREAK = b'\n\n'
LENGTH_HEADERS = frozenset(('content-length', 'transfer-encoding'))
PASSED_BACK = frozenset(
    (
        'content-type',
        'cache-control',
        'retry-after',
        'location',
        'etag',
        'last-modified',
    )
)
# These are the ways in which curl fails before it has sent anything.
NOT_SENT = frozenset(
    (
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_URL_MALFORMAT,
        pycurl.E_UNSUPPORTED_PROTOCOL,
    )
)
EMPTY_STATUSES = frozenset(
    (http.HTTPStatus.NO_CONTENT, http.HTTPStatus.NOT_MODIFIED)
)
KEEPALIVE_SECONDS = 1
STATUS_DIGITS = 3


class Transfer:
    """Take an upstream's answer from curl as it arrives."""

    def __init__(
        self,
        call: relay_pb2.Call,
        answer: answers.Answer,
        preempted: asyncio.Event,
        now: float,
    ) -> None:
        self.call = call
        self.answer = answer
        self.preempted = preempted
        # Only the first run of an answer brings its status and headers.
        self.resumes = answer.head is not None
        self.streams_events = False
        self.held_back = b''
        self.status = 0
        self.has_length = False
        self.passed_back: list[relay_pb2.Header] = []
        self.counter = token_counter.UsageCounter(answer.usage)
        self.curl: typing.Any = None
        self.paused = False
        self.received = 0
        self.heard_bytes = 0
        self.heard_at = now
        self.abort_reason = ''
        # Set once the exchange is broken off, to go on later.
        self.stopped = False
        answer.on_read = self.resume

    def headers(self, now: float) -> httputil.HTTPHeaders:
        """Return the headers that the upstream may see."""
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
        """Set curl up so that it never sends a request twice by itself.

        libcurl repeats a request whose reused connection was closed without
        an answer, so each request has a connection of its own.
        """
        self.curl = curl
        curl.setopt(pycurl.FRESH_CONNECT, 1)
        curl.setopt(pycurl.FORBID_REUSE, 1)
        curl.setopt(pycurl.FOLLOWLOCATION, 0)
        curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        curl.setopt(pycurl.PROXY, '')
        curl.setopt(pycurl.NOPROXY, '*')
        # The route was chosen by the path as it stands.
        curl.setopt(pycurl.PATH_AS_IS, 1)
        curl.setopt(pycurl.TCP_KEEPALIVE, 1)
        curl.setopt(pycurl.TCP_KEEPIDLE, KEEPALIVE_SECONDS)
        curl.setopt(pycurl.TCP_KEEPINTVL, KEEPALIVE_SECONDS)
        self._take_over(curl)

    def _take_over(self, curl: typing.Any) -> None:
        curl.setopt(pycurl.HEADERFUNCTION, self.take_header)
        curl.setopt(pycurl.WRITEFUNCTION, self.take_content)
        curl.setopt(pycurl.NOPROGRESS, 0)
        curl.setopt(pycurl.XFERINFOFUNCTION, self._must_stop)

    def watch(self, now: float) -> None:
        """Notice the upstream's silence, or that nobody wants the answer."""
        if self.received > self.heard_bytes or self.paused:
            self.heard_bytes = self.received
            self.heard_at = now
        if self.answer.deadline.has_passed(now):
            self.answer.time_out(self._ran(0), now)
            self.abort('the time for the request is over', now)
        if now > self.heard_at + self._silence_limit():
            self.abort('the upstream fell silent', now)
        if self.answer.cancelled.is_set():
            self.abort('', now)
        self._stop_if_preempted()

    def resume(self) -> None:
        """Let the upstream go on once the readers have caught up."""
        if self.paused and self.answer.end is None and not self._is_ahead():
            self.paused = False
            self.curl.pause(pycurl.PAUSE_CONT)

    def abort(self, reason: str, now: float) -> None:
        """Give the exchange up; curl closes its connection soon after."""
        self.abort_reason = self.abort_reason or reason
        self.broke_off(ConnectionError(reason), now)

    def ended(self, now: float) -> None:
        """Take the end of an exchange that curl found complete."""
        if self.answer.end is not None:
            return
        if not self._is_whole():
            self.broke_off(ConnectionError('the answer had no length'), now)
            return
        if self._lost_its_place():
            reason = 'the upstream cannot go on with the answer'
            self.broke_off(ConnectionError(reason), now)
            return
        if self.call.is_model and not self.call.streamed:
            self.counter.take_whole(bytes(self.answer.content))
        self._start()
        self.answer.extend(self.held_back)
        self.answer.complete(now)

    def broke_off(self, error: Exception, now: float) -> None:
        """Take a failure of the exchange; a preemption is none."""
        if self.answer.end is not None or self.stopped:
            return
        ran = self._ran(getattr(error, 'errno', 0))
        if self.answer.cancelled.is_set():
            self.answer.fail('cancelled', 'the caller left', ran, now)
            return
        cause = self.abort_reason or str(error)
        LOGGER.warning(
            'upstream failed',
            extra={'request_id': self.answer.request_id, 'cause': cause},
        )
        self.answer.fail('upstream_failed', cause, ran, now)

    def take_header(self, line: bytes) -> None:
        """Take one line of the answer's head, or of an interim one's."""
        self.received += len(line)
        text = line.decode('latin-1').strip()
        if text.startswith('HTTP/'):
            self.status = _status(text)
            self.has_length = False
            self.passed_back = []
            return
        name, _, value = text.partition(':')
        if name.lower() == 'content-type':
            self.streams_events = EVENT_STREAM in value
        if name.lower() in LENGTH_HEADERS:
            self.has_length = True
        if name.lower() in PASSED_BACK:
            self.passed_back.append(
                relay_pb2.Header(name=name, value=value.strip()),
            )

    def take_content(self, content: bytes) -> int:
        """Take a part of the body; curl reads the count that it returns."""
        if self.answer.end is not None or self.answer.cancelled.is_set():
            return 0
        self._stop_if_preempted()
        if self.stopped:
            return 0
        if self._is_ahead():
            self.paused = True
            return int(pycurl.WRITEFUNC_PAUSE)
        self.received += len(content)
        if self._lost_its_place():
            return len(content)
        self._start()
        if self.call.streamed:
            self.counter.feed(content)
        if self.streams_events:
            self._extend_by_events(content)
        else:
            self.answer.extend(content)
        return len(content)

    def _extend_by_events(self, content: bytes) -> None:
        # A part of an event would stand twice after a resumption.
        self.held_back += content
        whole = self.held_back.rfind(EVENT_BREAK) + len(EVENT_BREAK)
        if whole >= len(EVENT_BREAK):
            self.answer.extend(self.held_back[:whole])
            self.held_back = self.held_back[whole:]

    def _lost_its_place(self) -> bool:
        return self.resumes and self.status != http.HTTPStatus.OK

    def _stop_if_preempted(self) -> None:
        # A whole answer that has begun to arrive is done already.
        arriving = bool(self.answer.length()) and not self.streams_events
        if self.preempted.is_set() and not arriving:
            self.stopped = True

    def _start(self) -> None:
        if self.answer.head is None:
            self.answer.start(self.status, self.passed_back)

    def _ran(self, error_number: int) -> relay_pb2.Ran:
        if self.status >= http.HTTPStatus.OK:
            return relay_pb2.Ran.YES
        if error_number in NOT_SENT:
            return relay_pb2.Ran.NO
        return relay_pb2.Ran.UNKNOWN

    def _is_whole(self) -> bool:
        if self.has_length or self.counter.done:
            return True
        return self.status in EMPTY_STATUSES or self.call.method == 'HEAD'

    def _is_ahead(self) -> bool:
        return self.answer.unread_bytes() > answers.MAX_UNREAD_BYTES

    def _silence_limit(self) -> float:
        if self.answer.head is None:
            return timing.UPSTREAM_HEAD_TIMEOUT_SECONDS
        if self.call.streamed:
            return timing.TOKEN_SILENCE_SECONDS
        return timing.BODY_SILENCE_SECONDS

    def _must_stop(self, *progress: int) -> int:
        return int(self.stopped or self.answer.end is not None)


def _status(line: str) -> int:
    _, _, rest = line.partition(' ')
    number = rest[:STATUS_DIGITS]
    return int(number) if number.isdigit() else 0
