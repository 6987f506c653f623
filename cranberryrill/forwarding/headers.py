"""Decide which headers go on to an upstream, and which come back."""

import dataclasses
from collections import abc

from cranberryrill.forwarding import caller_request, http_names

# These concern one connection alone (RFC 9110, section 7.6.1), or are made
# anew for the next one.
PER_CONNECTION = frozenset(
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
    """Hold what this system tells an upstream of one request."""

    expected_upstream: str
    deadline_ms: int
    organisation: str = ''
    # From 0, served first, to 9; none where the upstream has no order.
    priority: int | None = None
    # Another engine that holds more of the prompt, as host:port.
    fetch_from: str = ''
    # The last event that the caller has, where a stream goes on.
    last_event_id: str = ''


def for_upstream(
    request: caller_request.Request,
    names: http_names.HttpNames,
    dispatch: AddedHeaders,
) -> list[tuple[str, str]]:
    """Return the headers of a request as an upstream gets them."""
    dropped = PER_CONNECTION | names.reserved | _named_by(request)
    dropped |= {
        names.fetch_from,
        'authorization',
        names.deadline,
        names.organisation,
        names.expected_upstream,
        names.priority,
    }
    if dispatch.last_event_id:
        dropped |= {'last-event-id'}
    kept = [
        (name, content)
        for name, content in request.headers
        if name.lower() not in dropped
    ]
    kept.append((names.expected_upstream, dispatch.expected_upstream))
    kept.append((names.deadline, str(dispatch.deadline_ms)))
    if dispatch.organisation:
        kept.append((names.organisation, dispatch.organisation))
    if dispatch.priority is not None:
        kept.append((names.priority, str(dispatch.priority)))
    if dispatch.fetch_from and names.fetch_from:
        kept.append((names.fetch_from, dispatch.fetch_from))
    if dispatch.last_event_id:
        kept.append(('Last-Event-Id', dispatch.last_event_id))
    return kept


def for_caller(
    answered: abc.Sequence[tuple[str, str]],
) -> list[tuple[str, str]]:
    """Return the headers of an upstream's answer as its caller gets them."""
    return [
        (name, content)
        for name, content in answered
        if name.lower() not in PER_CONNECTION
    ]


def _named_by(request: caller_request.Request) -> frozenset[str]:
    """Return the headers that the caller names for one connection alone."""
    named = request.first('connection') or ''
    return frozenset(
        word.strip().lower() for word in named.split(',') if word.strip()
    )
