"""Decide when a request may be sent, so that urgent ones find short queues.

An engine reads prompts in the order in which they come. Under load, requests
that are less urgent than others of their service therefore wait here, in
order, and are sent while the engines have little left to read. A request that
would wait for too much of its time is refused at once instead.
"""

import dataclasses
from collections import abc

from cranberryrill.traffic import document

# A less urgent request may be sent while there is less left to read than this
# share of the latency target of a more urgent one.
START_SHARE = 0.4
# A target is much shorter than another below this share of it.
SHORTER_SHARE = 0.7
# A request that has waited for this share of its time is given up.
PATIENCE_SHARE = 0.5
# Callers leave a stream without events after the longest of these: so many
# seconds, latency targets or event gaps.
LEAST_FIRST_EVENT_SECONDS = 2.0
TARGETS_WAITED = 4
GAPS_WAITED = 8
# Beyond this share of its target, a request is late whatever is done.
LATE_SHARE = 0.8
# Prompt tokens that an engine reads in a millisecond, before any is measured.
FIRST_RATE = 60.0
RATE_WEIGHT = 0.05
# Shorter readings say more about other delays, in tokens.
LEAST_MEASURED = 3000
MILLISECONDS_PER_SECOND = 1000


@dataclasses.dataclass
class QueuedRequest:
    """Hold a request that waits to be sent."""

    rank: int
    tokens: int
    arrived_at: float
    # When it will be late whatever is done, and when it is given up.
    late_at: float
    expires_at: float
    target_ms: float
    # Other requests are sent first while there is more left to read.
    max_backlog_ms: float
    # Says how much is left to read where the request would be sent now.
    backlog_ms: abc.Callable[[], float]
    organisation: str = ''


def max_backlog_ms(
    waiting: document.Route,
    others: abc.Iterable[document.Route],
) -> float | None:
    """Return how much may be left to read when a request is sent.

    None if no other route of the service has a much shorter target: its
    requests would be late behind this one.
    """
    bound = waiting.target_latency_ms * SHORTER_SHARE
    targets = [
        route.target_latency_ms
        for route in others
        if 0 < route.target_latency_ms < bound
    ]
    return START_SHARE * min(targets) if targets else None


def make_queued_request(
    route: document.Route,
    rank: int,
    tokens: int,
    limit_ms: float,
    times: tuple[float, float],
    backlog_ms: abc.Callable[[], float],
    organisation: str,
) -> QueuedRequest:
    """Return the waiter of a request that came and ends at `times`."""
    arrived_at, answer_by = times
    target = route.target_latency_ms / MILLISECONDS_PER_SECOND
    allowed = min(answer_by - arrived_at, first_event_timeout_seconds(route))
    return QueuedRequest(
        rank=rank,
        tokens=tokens,
        arrived_at=arrived_at,
        late_at=arrived_at + LATE_SHARE * target,
        expires_at=arrived_at + PATIENCE_SHARE * allowed,
        target_ms=route.target_latency_ms,
        max_backlog_ms=limit_ms,
        backlog_ms=backlog_ms,
        organisation=organisation,
    )


def first_event_timeout_seconds(route: document.Route) -> float:
    """Return how long callers of a stream wait for its first event."""
    if not route.streams:
        return float('inf')
    return max(
        LEAST_FIRST_EVENT_SECONDS,
        TARGETS_WAITED * route.target_latency_ms / MILLISECONDS_PER_SECOND,
        GAPS_WAITED * route.event_gap_ms / MILLISECONDS_PER_SECOND,
    )


def would_expire(waiter: QueuedRequest, wait_ms: float) -> bool:
    """Say whether a request would be given up before its turn."""
    patience = waiter.expires_at - waiter.arrived_at
    return wait_ms > patience * MILLISECONDS_PER_SECOND


class RequestQueue:
    """Order the requests of one service that wait in this process."""

    def __init__(self) -> None:
        self.waiting: list[QueuedRequest] = []
        # Tokens sent for each organisation while others waited.
        self.sent: dict[str, int] = {}

    def add(self, waiter: QueuedRequest) -> None:
        """Take a request."""
        self.waiting.append(waiter)

    def remove(self, waiter: QueuedRequest) -> None:
        """Drop a request that is no longer wanted."""
        if waiter in self.waiting:
            self.waiting.remove(waiter)
        if not self.waiting:
            self.sent.clear()

    def total_tokens(self) -> int:
        """Return how much the waiting requests have to read."""
        return sum(waiter.tokens for waiter in self.waiting)

    def pop_ready(self, now: float) -> QueuedRequest | None:
        """Return the request to send now, if there is one.

        More urgent ones go first, then those that can still be on time, then
        those with the shortest target, then the organisation that was sent
        least, then the oldest.
        """
        if not self.waiting:
            return None
        first = min(self.waiting, key=lambda waiter: self._order(waiter, now))
        if first.backlog_ms() > first.max_backlog_ms:
            return None
        self.waiting.remove(first)
        before = self.sent.get(first.organisation, 0)
        self.sent[first.organisation] = before + first.tokens
        return first

    def expired(self, now: float) -> list[QueuedRequest]:
        """Return the requests that have waited for too long."""
        return [known for known in self.waiting if now >= known.expires_at]

    def _order(
        self,
        waiter: QueuedRequest,
        now: float,
    ) -> tuple[int, bool, float, int, float]:
        return (
            waiter.rank,
            now >= waiter.late_at,
            waiter.target_ms,
            self.sent.get(waiter.organisation, 0),
            waiter.arrived_at,
        )


class PrefillRate:
    """Measure how fast the engines of a service read."""

    def __init__(self) -> None:
        self.tokens_per_ms = FIRST_RATE

    def record(self, tokens: int, seconds: float) -> None:
        """Take how long it took until so many tokens were read."""
        if tokens < LEAST_MEASURED or seconds <= 0:
            return
        measured = tokens / (seconds * MILLISECONDS_PER_SECOND)
        self.tokens_per_ms += (measured - self.tokens_per_ms) * RATE_WEIGHT

    def milliseconds_for(self, tokens: float) -> float:
        """Return how long an engine takes to read so many tokens."""
        return tokens / max(self.tokens_per_ms, 1)
