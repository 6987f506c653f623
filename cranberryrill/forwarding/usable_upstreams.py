"""Select the upstreams that a request may be sent to."""

from collections import abc

from cranberryrill.forwarding import upstreams


def usable(
    received_at: float,
    candidates: abc.Sequence[upstreams.Upstream],
    excluded: abc.Container[str],
    now: float,
) -> list[upstreams.Upstream]:
    """Return the candidates for a request that was received at a time.

    Unreachable and leaving ones only if there are no others.
    """
    accepting = [
        upstream
        for upstream in candidates
        if upstream.id not in excluded
        and upstream.avoidance.accepts(received_at)
    ]
    remaining = upstreams.open_upstreams(accepting, now)
    reachable = [
        upstream for upstream in remaining if now >= upstream.unreachable_until
    ]
    staying = [
        upstream for upstream in reachable if not upstream.avoidance.is_leaving
    ]
    return staying or reachable or remaining


def has_avoided(
    candidates: abc.Iterable[upstreams.Upstream],
    chosen_from: abc.Container[upstreams.Upstream],
) -> bool:
    """Return whether one was left out because of what it asks for."""
    return any(
        upstream.avoidance.has_been_asked and upstream not in chosen_from
        for upstream in candidates
    )
