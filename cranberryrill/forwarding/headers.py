"""Select the headers forwarded to an upstream and back to the caller."""

import dataclasses
from collections import abc

from cranberryrill.forwarding import caller_request, http_names

# Hop-by-hop headers (RFC 9110, section 7.6.1) and headers that are generated
# again for the next connection.
HOP_BY_HOP_HEADERS = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'content-length',
        'expect',
    )
)


@dataclasses.dataclass(frozen=True)
class AddedHeaders:
    """Values of the headers that the router adds to an upstream request.

    No header is added for an empty value or None.
    """

    expected_upstream: str
    # Remaining time until the caller needs its response.
    deadline_ms: int
    organisation: str = ''
    # From 0, served first, to 9; None if the upstream has no priorities.
    priority: int | None = None
    # Engine to fetch cached prompt parts from, as host:port.
    fetch_from: str = ''
    # Id of the last event passed on to the caller, to resume a stream after it.
    last_event_id: str = ''


def for_upstream(
    request: caller_request.Request,
    names: http_names.HttpNames,
    added: AddedHeaders,
) -> list[tuple[str, str]]:
    """Return the headers to send to an upstream.

    Hop-by-hop and reserved headers and the caller's credentials are dropped.
    The caller's values for the added headers are replaced.
    """
    dropped = HOP_BY_HOP_HEADERS | names.reserved | _connection_headers(request)
    dropped |= {
        names.fetch_from,
        'authorization',
        names.deadline,
        names.organisation,
        names.expected_upstream,
        names.priority,
    }
    if added.last_event_id:
        dropped |= {'last-event-id'}
    forwarded = [
        (name, content)
        for name, content in request.headers
        if name.lower() not in dropped
    ]
    forwarded.append((names.expected_upstream, added.expected_upstream))
    forwarded.append((names.deadline, str(added.deadline_ms)))
    if added.organisation:
        forwarded.append((names.organisation, added.organisation))
    if added.priority is not None:
        forwarded.append((names.priority, str(added.priority)))
    if added.fetch_from and names.fetch_from:
        forwarded.append((names.fetch_from, added.fetch_from))
    if added.last_event_id:
        forwarded.append(('Last-Event-Id', added.last_event_id))
    return forwarded


def for_caller(
    received: abc.Sequence[tuple[str, str]],
) -> list[tuple[str, str]]:
    """Return an upstream's response headers without the hop-by-hop ones."""
    return [
        (name, content)
        for name, content in received
        if name.lower() not in HOP_BY_HOP_HEADERS
    ]


def _connection_headers(request: caller_request.Request) -> frozenset[str]:
    """Return the lower-case header names listed in the Connection header."""
    listed = request.header('connection') or ''
    return frozenset(
        name.strip().lower() for name in listed.split(',') if name.strip()
    )
