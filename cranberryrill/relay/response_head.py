"""Read the head of an upstream's response, line by line."""

import http

from cranberryrill import failures, status_line
from cranberryrill.relay import relay_pb2

EVENT_STREAM = 'text/event-stream'
# With this header an upstream says that it did not execute the request.
NOT_EXECUTED_HEADER = 'x-not-executed'
LEAVING_HEADER = 'x-upstream-leaving'
LEAVING = '1'
LENGTH_HEADERS = frozenset(('content-length', 'transfer-encoding'))
RETURNED_HEADERS = frozenset(
    (
        'content-type',
        'cache-control',
        'retry-after',
        'location',
        'etag',
        'last-modified',
    )
)


class HeadReader:
    """Head of the final response; interim ones are read and dropped."""

    def __init__(self) -> None:
        self.status = 0
        # Whether a status line has no status, so that this is no response.
        self.lacks_status = False
        # Whether the whole head of the final response was received.
        self.is_complete = False
        self.has_length = False
        self.streams_events = False
        # Whether the upstream says that it leaves.
        self.says_leaving = False
        # Whether the upstream says that it did not execute the request.
        self.not_executed = False
        # The `Retry-After` header; None without one.
        self.retry_after: str | None = None
        # Headers that are passed on to the caller.
        self.returned: list[relay_pb2.Header] = []

    @property
    def is_refusal(self) -> bool:
        """Return whether it tells callers that the request did not run."""
        return self.not_executed or self.status in failures.NOT_RUN_STATUSES

    def read(self, line: bytes) -> bool:
        """Read a whole line; return whether it ends the final head.

        A line that follows the final head belongs to a trailer.
        """
        text = line.decode('latin-1').strip()
        if text.startswith('HTTP/'):
            self._start(text)
            return False
        if text:
            name, _, content = text.partition(':')
            self._read_header(name, content.strip())
            return False
        was_complete = self.is_complete
        self.is_complete = self.status >= http.HTTPStatus.OK
        return self.is_complete and not was_complete

    def _start(self, line: str) -> None:
        status = status_line.parse_status(line)
        self.lacks_status = status is None
        self.status = status or 0
        self.is_complete = False
        self.has_length = False
        self.says_leaving = False
        self.not_executed = False
        self.retry_after = None
        self.returned = []

    def _read_header(self, name: str, content: str) -> None:
        lower = name.lower()
        if lower == 'content-type':
            self.streams_events = EVENT_STREAM in content
        if lower in LENGTH_HEADERS:
            self.has_length = True
        if lower == LEAVING_HEADER:
            self.says_leaving = content == LEAVING
        if lower == NOT_EXECUTED_HEADER:
            self.not_executed = True
        if lower == 'retry-after':
            self.retry_after = content
        if lower in RETURNED_HEADERS:
            self.returned.append(relay_pb2.Header(name=name, value=content))
