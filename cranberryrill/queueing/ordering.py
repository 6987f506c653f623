"""Order in which waiting requests are sent.

By rank, then requests that can still meet their target, then the shortest
target, then the organisation that has used least, then callers that come back
after a refusal, then age. Organisations may have ranks of their own, so that
requests with quite different targets share one.
The size of a request has no part in it.
"""

import heapq
import typing
from collections import abc

from cranberryrill.queueing import organisation_use, waiting

User = tuple[str, str]
Tier = tuple[int, bool, float]


class SortKey(typing.NamedTuple):
    """Key by which requests are sorted, the first one lowest.

    The organisation's name keeps the requests of two with the same use apart.
    """

    rank: int
    is_late: bool
    target_ms: float
    used: float
    organisation: str
    is_new: bool
    arrived_at: float


def sort_key(
    request: waiting.WaitingRequest, used: float, now: float
) -> SortKey:
    """Return the sort key of a request whose organisation has used so much."""
    return SortKey(
        request.rank,
        now >= request.late_at,
        request.target_ms,
        used,
        request.organisation,
        not request.is_returning,
        request.arrived_at,
    )


def in_turn(
    requests: abc.Iterable[waiting.WaitingRequest],
    use: organisation_use.OrganisationUse,
    now: float,
) -> abc.Iterator[waiting.WaitingRequest]:
    """Yield requests of one service in the order in which they are sent.

    The use of an organisation is read again after each of its requests, which
    may have been sent.
    """
    by_tier: dict[Tier, dict[User, list[waiting.WaitingRequest]]] = {}
    for request in requests:
        tier = (request.rank, now >= request.late_at, request.target_ms)
        user = (request.service, request.organisation)
        by_tier.setdefault(tier, {}).setdefault(user, []).append(request)
    for _, lanes in sorted(by_tier.items()):
        yield from _by_use(lanes, use, now)


def _by_use(
    lanes: dict[User, list[waiting.WaitingRequest]],
    use: organisation_use.OrganisationUse,
    now: float,
) -> abc.Iterator[waiting.WaitingRequest]:
    for lane in lanes.values():
        # The next one is last.
        lane.sort(key=_lane_key)
    heap = [(use.used(*user, now), user) for user in lanes]
    heapq.heapify(heap)
    while heap:
        _, user = heapq.heappop(heap)
        yield lanes[user].pop()
        if lanes[user]:
            heapq.heappush(heap, (use.used(*user, now), user))


def _lane_key(request: waiting.WaitingRequest) -> tuple[bool, float]:
    return (request.is_returning, -request.arrived_at)


def before(
    request: waiting.WaitingRequest,
    others: abc.Iterable[waiting.WaitingRequest],
    use: organisation_use.OrganisationUse,
    now: float,
) -> list[waiting.WaitingRequest]:
    """Return those of the others that go before a request."""
    keys = _keys([*others, request], use, now)
    own_key = keys.pop(request)
    return [other for other, key in keys.items() if key <= own_key]


def _keys(
    requests: abc.Iterable[waiting.WaitingRequest],
    use: organisation_use.OrganisationUse,
    now: float,
) -> dict[waiting.WaitingRequest, SortKey]:
    """Return the sort keys; the use of an organisation is read once."""
    used: dict[tuple[str, str], float] = {}
    keys: dict[waiting.WaitingRequest, SortKey] = {}
    for request in requests:
        user = (request.service, request.organisation)
        if user not in used:
            used[user] = use.used(*user, now)
        keys[request] = sort_key(request, used[user], now)
    return keys
