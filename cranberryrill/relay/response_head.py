"""What an agent takes from the head of its upstream's response."""

import dataclasses
import http

from cranberryrill import failures, response_reader
from cranberryrill.relay import relay_pb2

CONTENT_TYPE = 'content-type'
EVENT_STREAM = 'text/event-stream'
# With this header an upstream says that it did not execute the request.
NOT_EXECUTED_HEADER = 'x-not-executed'
LEAVING_HEADER = 'x-upstream-leaving'
LEAVING = '1'
RETURNED_HEADERS = frozenset(
    (
        CONTENT_TYPE,
        'cache-control',
        'retry-after',
        'location',
        'etag',
        'last-modified',
    )
)


@dataclasses.dataclass(frozen=True)
class ResponseHead:
    """Head of the final response.

    `says_leaving` and `not_executed` are what the upstream says of itself and
    of the request. `retry_after` is None without that header. `returned` holds
    the headers that are passed on to the caller.
    """

    status: int
    framing: response_reader.Framing
    streams_events: bool
    says_leaving: bool
    not_executed: bool
    retry_after: str | None
    returned: tuple[relay_pb2.Header, ...]

    @property
    def is_refusal(self) -> bool:
        """Return whether it tells callers that the request did not run."""
        return self.not_executed or self.status in failures.NOT_RUN_STATUSES

    def continues(self, begun: relay_pb2.Head) -> bool:
        """Return whether the response may go on with one that has begun."""
        began_events = any(
            header.name.lower() == CONTENT_TYPE and EVENT_STREAM in header.value
            for header in begun.headers
        )
        return (
            self.status == http.HTTPStatus.OK
            and self.streams_events == began_events
        )


# Stands for a head that wasn't read yet.
NO_HEAD = ResponseHead(
    status=0,
    framing=response_reader.Framing.connection_end,
    streams_events=False,
    says_leaving=False,
    not_executed=False,
    retry_after=None,
    returned=(),
)


def from_response(head: response_reader.Head) -> ResponseHead:
    """Return what the head of a response says to an agent."""
    return ResponseHead(
        status=head.status,
        framing=head.framing,
        streams_events=EVENT_STREAM in (head.header(CONTENT_TYPE) or ''),
        says_leaving=head.header(LEAVING_HEADER) == LEAVING,
        not_executed=head.header(NOT_EXECUTED_HEADER) is not None,
        retry_after=head.header('retry-after'),
        returned=tuple(
            relay_pb2.Header(name=name, value=content)
            for name, content in head.headers
            if name.lower() in RETURNED_HEADERS
        ),
    )
