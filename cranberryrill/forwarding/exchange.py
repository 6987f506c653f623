"""Send one request to one upstream and receive the response incrementally."""

import asyncio
import dataclasses
import typing

import pycurl

from cranberryrill import response_reader, response_syntax
from cranberryrill.forwarding import curl_multi, upload, upstream_request
from cranberryrill.limits import buffer_budget
from cranberryrill.settings import response_limits

# Returned to curl in place of the number of bytes taken, it ends the transfer.
ABORT = -1
# The transfer is paused while more of the body than this is buffered, until
# the buffer is read.
MAX_UNREAD_BYTES = 1024 * 1024
# curl's error codes for a failed connection. The upstream received nothing only
# if curl had also sent no byte of the request.
CONNECT_ERRORS = frozenset(
    (
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_OPERATION_TIMEDOUT,
        pycurl.E_URL_MALFORMAT,
    )
)
# curl's error codes for a connection that was lost after it was established.
CONNECTION_LOST_ERRORS = frozenset(
    (
        pycurl.E_GOT_NOTHING,
        pycurl.E_PARTIAL_FILE,
        pycurl.E_RECV_ERROR,
        pycurl.E_SEND_ERROR,
    )
)
# With these codes, and with success, curl also reports a connection that closed
# within the head of the response.
BROKEN_HEAD_ERRORS = CONNECTION_LOST_ERRORS | {
    pycurl.E_OK,
    pycurl.E_UNSUPPORTED_PROTOCOL,
}


@dataclasses.dataclass(frozen=True)
class Complete:
    """The response was received completely, according to its framing."""


@dataclasses.dataclass(frozen=True)
class Unsent:
    """No connection was established, so the upstream received nothing."""

    cause: str


@dataclasses.dataclass(frozen=True)
class Interrupted:
    """The exchange ended early; the upstream may have run the request."""

    cause: str
    # Whether the upstream's end of the connection closed or was reset.
    connection_lost: bool = False


Ending = Complete | Unsent | Interrupted


class Exchange:
    """One request to an upstream and the part of its response received so far.

    `ending` is None while the exchange runs. `changed` is set when the head,
    more of the body or the end has arrived.
    """

    def __init__(
        self,
        request: upstream_request.OutgoingRequest,
        driver: curl_multi.Driver,
        limits: response_limits.ResponseLimits,
        budget: buffer_budget.BufferBudget,
    ) -> None:
        self.request = request
        self.driver = driver
        self.limits = limits
        self.budget = budget
        self.upload = upload.Upload(len(request.body))
        self.reader = response_reader.ResponseReader(request.method)
        self.status = 0
        self.headers: list[tuple[str, str]] = []
        self.has_head = False
        self.content = bytearray()
        # Bytes that were read from `content`, but not passed on yet.
        self.retained_bytes = 0
        self.head_bytes = 0
        # The limit or the rule of HTTP that the response has violated; empty if
        # none.
        self.violation = ''
        self.ending: Ending | None = None
        self.changed = asyncio.Event()
        self.curl: typing.Any = None
        self.paused = False

    def start(self) -> None:
        """Send the request."""
        try:
            self.curl = self._make_curl()
        except (pycurl.error, ValueError) as error:
            # A registration may name an address that curl doesn't take.
            self.ending = Unsent(f'the request cannot be sent: {error}')
            self.changed.set()
            return
        self.driver.start(self.curl, self._on_end)

    def stop(self) -> None:
        """Abort the exchange, if it still runs, and close its connection."""
        self.budget.release(self)
        self._interrupt('stopped locally')

    def exceed(self, limit_bytes: int) -> None:
        """End the exchange, since all together hold more than the limit."""
        self.violation = f'responses hold over {limit_bytes} bytes in all'
        # Not within a callback of curl, which may be one of another exchange.
        asyncio.get_running_loop().call_soon(self._interrupt, self.violation)

    def retain(self, size: int) -> None:
        """Record how many bytes that were read are not passed on yet."""
        self.retained_bytes = size
        self._record_held()

    def header(self, name: str) -> str | None:
        """Return the first value of a response header, or None.

        The name is given in lower case.
        """
        for header_name, content in self.headers:
            if header_name.lower() == name:
                return content
        return None

    @property
    def has_framing(self) -> bool:
        """Return whether the head of the response delimits the body.

        Otherwise, the body ends when the connection closes.
        """
        head = self.reader.head
        return (
            head is not None
            and head.framing is not response_reader.Framing.connection_end
        )

    def connect_seconds(self) -> float:
        """Return how long it took to connect; 0 if that isn't known.

        It is known from the head of the response to the end of the exchange.
        """
        if self.curl is None or self.ending is not None:
            return 0
        return float(self.curl.getinfo(pycurl.CONNECT_TIME))

    def take_header(self, name: str) -> str | None:
        """Return a header's first value and drop it from the response."""
        content = self.header(name)
        self.headers = [
            header for header in self.headers if header[0].lower() != name
        ]
        return content

    def read_content(self) -> bytes:
        """Return the part of the body received since the last call."""
        received = bytes(self.content)
        self.content.clear()
        self._record_held()
        if self.paused and self.ending is None:
            self.paused = False
            self.curl.pause(pycurl.PAUSE_CONT)
        return received

    async def wait(self, timeout_seconds: float) -> bool:
        """Wait for a change and return whether one came within the timeout."""
        if self.changed.is_set():
            self.changed.clear()
            return True
        if timeout_seconds <= 0:
            return False
        try:
            async with asyncio.timeout(timeout_seconds):
                await self.changed.wait()
        except TimeoutError:
            return False
        self.changed.clear()
        return True

    def _make_curl(self) -> typing.Any:
        curl = upstream_request.make_curl(self.request)
        curl.setopt(pycurl.HEADERFUNCTION, self._on_header)
        curl.setopt(pycurl.WRITEFUNCTION, self._on_content)
        self.reader.prepare(curl)
        self.upload.watch(curl)
        return curl

    def _on_header(self, line: bytes) -> int | None:
        self.head_bytes += len(line)
        self._check_head_size()
        if self.violation:
            return ABORT
        try:
            self.reader.read_line(line)
        except response_syntax.MalformedResponse as error:
            self.violation = str(error)
            return ABORT
        if self.reader.head is not None and not self.has_head:
            self._take_head(self.reader.head)
        return ABORT if self.violation else None

    def _check_head_size(self) -> None:
        # Trailers after the body count, too, but are not forwarded.
        size = self.head_bytes + self.reader.chunk_metadata_bytes
        if size > self.limits.head_bytes:
            self.violation = f'a head of over {self.limits.head_bytes} bytes'

    def _take_head(self, head: response_reader.Head) -> None:
        self.status = head.status
        self.headers = list(head.headers)
        self.has_head = True
        self.changed.set()

    def _on_content(self, received: bytes) -> int | None:
        if len(self.content) > MAX_UNREAD_BYTES:
            self.paused = True
            return int(pycurl.WRITEFUNC_PAUSE)
        try:
            content = self.reader.read_body(received)
        except response_syntax.MalformedResponse as error:
            self.violation = str(error)
            return ABORT
        self._check_head_size()
        if self.reader.body_bytes > self.limits.body_bytes:
            self.violation = f'a body of over {self.limits.body_bytes} bytes'
            return ABORT
        self.content += content
        self._record_held()
        self.changed.set()
        return ABORT if self.violation else None

    def _record_held(self) -> None:
        if not self.violation:
            self.budget.hold(self, len(self.content) + self.retained_bytes)

    def _interrupt(self, cause: str) -> None:
        if self.ending is None:
            self.ending = Interrupted(cause)
            self.driver.stop(self.curl)
            self.changed.set()

    def _on_end(
        self,
        error_code: int,
        error_text: str,
        sent_bytes: int,
        sent_body_bytes: int,
    ) -> None:
        if error_code == pycurl.E_OK and self.has_head:
            self.ending = self._ending_of_response(sent_body_bytes)
        elif error_code in CONNECT_ERRORS and not sent_bytes:
            self.ending = Unsent(error_text)
        else:
            cause = self.violation or error_text or _cause_of(error_code)
            lost_errors = (
                CONNECTION_LOST_ERRORS if self.has_head else BROKEN_HEAD_ERRORS
            )
            self.ending = Interrupted(
                cause,
                connection_lost=not self.violation
                and error_code in lost_errors,
            )
        self.changed.set()

    def _ending_of_response(self, sent_body_bytes: int) -> Ending:
        """Return the ending after a response that curl takes for whole.

        Without a length or chunks it ends with the connection, which an
        upstream in trouble also closes, and resets when more arrives.
        """
        if not self.reader.is_whole:
            return Interrupted('the body does not end as its head says')
        if self.has_framing:
            return Complete()
        if self.upload.is_received(sent_body_bytes):
            return Complete()
        return Interrupted(
            'the response ended before the request', connection_lost=True
        )


def _cause_of(error_code: int) -> str:
    """Return the cause of a failure that curl doesn't describe."""
    if error_code == pycurl.E_OK:
        return 'the answer had no head'
    return f'curl error {error_code}'
