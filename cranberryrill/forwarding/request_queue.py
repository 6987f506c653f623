"""Queue less urgent requests so that urgent ones find a short prefill backlog.

An engine processes prompts in order of arrival. Under load, a request whose
service also has routes with much shorter latency targets therefore waits in
this process until the backlog of the engines is small. A request that would
wait for too large a part of its time is refused at once.
"""

import dataclasses
from collections import abc

from cranberryrill.traffic import document

# A less urgent request may be sent while the prefill backlog takes less than
# this share of the latency target of a more urgent route.
MAX_BACKLOG_SHARE = 0.4
# A latency target below this share of another one is much shorter than it.
SHORTER_TARGET_RATIO = 0.7
# A request expires after it has waited for this share of its allowed time.
MAX_WAIT_SHARE = 0.5
# Callers close a stream without events after the longest of three times: a
# number of seconds, of latency targets, or of event gaps.
MIN_FIRST_EVENT_TIMEOUT_SECONDS = 2.0
FIRST_EVENT_TIMEOUT_TARGETS = 4
FIRST_EVENT_TIMEOUT_GAPS = 8
# A request that has waited for this share of its latency target will miss it.
LATE_TARGET_SHARE = 0.8
# Prefill rate of an engine that is assumed until one is measured.
INITIAL_TOKENS_PER_MS = 60.0
RATE_SMOOTHING_WEIGHT = 0.05
# With fewer tokens, the time to the first event is mostly other delays.
MIN_MEASURED_TOKENS = 3000
# Number of requests, in order, of which one may be sent in a period. Examining
# one costs a placement decision, whose time grows with the upstreams: about 8
# microseconds for each.
MAX_EXAMINED_REQUESTS = 12
MAX_EXAMINED_UPSTREAMS = 200
MILLISECONDS_PER_SECOND = 1000


@dataclasses.dataclass
class QueuedRequest:
    """A request that waits to be sent.

    Times are in seconds of the monotonic clock. A lower rank is more urgent;
    `tokens` is the length of the prompt.
    """

    rank: int
    tokens: int
    arrived_at: float
    # From `late_at` the request will miss its latency target. At `expires_at`
    # it is refused.
    late_at: float
    expires_at: float
    target_ms: float
    # The request stays queued while the backlog is larger than this.
    max_backlog_ms: float
    # Estimates the prefill time, in milliseconds, of the prompts queued at the
    # upstream that would be chosen now.
    backlog_ms: abc.Callable[[], float]
    organisation: str = ''


def max_backlog_ms(
    own_route: document.Route,
    routes: abc.Iterable[document.Route],
) -> float | None:
    """Return the largest prefill backlog at which a request may be sent.

    The backlog is in milliseconds. With a larger one, the request would make
    later requests with a much shorter latency target late. None if no other
    route of the service has such a target: the request need not be queued.
    """
    max_target_ms = own_route.target_latency_ms * SHORTER_TARGET_RATIO
    targets = [
        route.target_latency_ms
        for route in routes
        if 0 < route.target_latency_ms < max_target_ms
    ]
    return MAX_BACKLOG_SHARE * min(targets) if targets else None


def make_queued_request(
    route: document.Route,
    rank: int,
    tokens: int,
    backlog_limit_ms: float,
    times: tuple[float, float],
    backlog_ms: abc.Callable[[], float],
    organisation: str,
) -> QueuedRequest:
    """Return a queued request, with the times at which it is late and expires.

    `times` holds its arrival and its deadline.
    """
    arrived_at, deadline = times
    target = route.target_latency_ms / MILLISECONDS_PER_SECOND
    allowed = min(deadline - arrived_at, first_event_timeout_seconds(route))
    return QueuedRequest(
        rank=rank,
        tokens=tokens,
        arrived_at=arrived_at,
        late_at=arrived_at + LATE_TARGET_SHARE * target,
        expires_at=arrived_at + MAX_WAIT_SHARE * allowed,
        target_ms=route.target_latency_ms,
        max_backlog_ms=backlog_limit_ms,
        backlog_ms=backlog_ms,
        organisation=organisation,
    )


def first_event_timeout_seconds(route: document.Route) -> float:
    """Return how long callers of a stream wait for its first event.

    Infinite if the route does not stream.
    """
    if not route.streams:
        return float('inf')
    return max(
        MIN_FIRST_EVENT_TIMEOUT_SECONDS,
        FIRST_EVENT_TIMEOUT_TARGETS
        * route.target_latency_ms
        / MILLISECONDS_PER_SECOND,
        FIRST_EVENT_TIMEOUT_GAPS * route.event_gap_ms / MILLISECONDS_PER_SECOND,
    )


def examined_requests(upstream_count: int) -> int:
    """Return how many requests to examine in a period.

    The processor time of a period is bounded, however many upstreams there are.
    """
    affordable = MAX_EXAMINED_UPSTREAMS // max(upstream_count, 1)
    return min(max(affordable, 1), MAX_EXAMINED_REQUESTS)


def would_expire(request: QueuedRequest, wait_ms: float) -> bool:
    """Return whether a request would expire within the given wait."""
    max_wait = request.expires_at - request.arrived_at
    return wait_ms > max_wait * MILLISECONDS_PER_SECOND


class RequestQueue:
    """Priority queue of the requests of one service in this process."""

    def __init__(self) -> None:
        self.waiting: list[QueuedRequest] = []
        # Prompt tokens sent for each organisation since the queue was last
        # empty.
        self.sent_tokens: dict[str, int] = {}

    def add(self, request: QueuedRequest) -> None:
        """Queue a request until it is popped or removed."""
        self.waiting.append(request)

    def remove(self, request: QueuedRequest) -> None:
        """Remove a request, if it is still queued."""
        if request in self.waiting:
            self.waiting.remove(request)
        if not self.waiting:
            self.sent_tokens.clear()

    def total_tokens(self) -> int:
        """Return the number of prompt tokens of all queued requests."""
        return sum(request.tokens for request in self.waiting)

    def pop_ready(
        self, now: float, examined: int = MAX_EXAMINED_REQUESTS
    ) -> QueuedRequest | None:
        """Remove and return the request to send now, one of the first few.

        The order is by rank, then requests that can still meet their target,
        then the shortest target, then the organisation with the fewest tokens
        sent, then the oldest. A request is passed over while the backlog of the
        upstream that it would go to is too large for it: one that goes to
        another upstream doesn't delay it. None if none of the first `examined`
        requests may be sent.
        """
        ordered = sorted(
            self.waiting,
            key=lambda request: self._sort_key(request, now),
        )
        for request in ordered[:examined]:
            if request.backlog_ms() <= request.max_backlog_ms:
                self._take(request)
                return request
        return None

    def _take(self, request: QueuedRequest) -> None:
        self.waiting.remove(request)
        already_sent = self.sent_tokens.get(request.organisation, 0)
        self.sent_tokens[request.organisation] = already_sent + request.tokens

    def expired(self, now: float) -> list[QueuedRequest]:
        """Return the requests that have waited for too long.

        They stay in the queue.
        """
        return [
            request for request in self.waiting if now >= request.expires_at
        ]

    def _sort_key(
        self,
        request: QueuedRequest,
        now: float,
    ) -> tuple[int, bool, float, int, float]:
        return (
            request.rank,
            now >= request.late_at,
            request.target_ms,
            self.sent_tokens.get(request.organisation, 0),
            request.arrived_at,
        )


class PrefillRate:
    """Moving average of the prefill rate of a service's engines."""

    def __init__(self) -> None:
        self.tokens_per_ms = INITIAL_TOKENS_PER_MS

    def record(self, tokens: int, seconds: float) -> None:
        """Update the rate with a prefill of `tokens` that took `seconds`."""
        if tokens < MIN_MEASURED_TOKENS or seconds <= 0:
            return
        measured = tokens / (seconds * MILLISECONDS_PER_SECOND)
        self.tokens_per_ms += (
            measured - self.tokens_per_ms
        ) * RATE_SMOOTHING_WEIGHT

    def prefill_ms(self, tokens: float) -> float:
        """Return the estimated prefill time of `tokens` on one engine."""
        return tokens / max(self.tokens_per_ms, 1)
