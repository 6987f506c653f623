"""Predict how long a request would wait in the queue of its service."""

import collections
import dataclasses

from cranberryrill.queueing import drain_rate, waiting

# A request that is the next of its organisation still waits for half of the
# time in which one is sent, on average. This counts a typical request: the size
# of the own one must not cause its refusal.
NEXT_SHARE = 0.5
# Waits vary about the predicted one: a request counts as late from this share
# of the time until then.
IN_TIME_SHARE = 0.4


@dataclasses.dataclass(frozen=True)
class PredictedWait:
    """Predicted wait of one request, and what the prediction is based on."""

    seconds: float
    # The same if the request went on counting as in time.
    in_time_seconds: float = 0.0
    # Requests that go before it, and their work.
    requests_before: int = 0
    work_before: float = 0.0
    # Work a second at which its own rank is worked off, and its organisation.
    work_per_second: float = 1.0
    own_per_second: float = 1.0
    # Time for which its upstream, or all of them, can't take it yet.
    upstream_seconds: float = 0.0
    # Average work of the requests before it.
    typical_work: float = 0.0


class WorkBefore:
    """Work of the requests that go before a request.

    What comes behind it does not count, however much it is. Requests that will
    come later and go before it count by the measured rates, which are what is
    left for its rank, its organisation, and for late requests.
    """

    def __init__(
        self, rate: drain_rate.DrainRate, assumed_rate: float, now: float
    ) -> None:
        self.rate = rate
        self.assumed_rate = assumed_rate
        self.now = now
        self.requests = 0
        self.by_rank: collections.defaultdict[int, float] = (
            collections.defaultdict(float)
        )
        self.by_user: collections.defaultdict[tuple[int, str], float] = (
            collections.defaultdict(float)
        )

    def add(self, request: waiting.WaitingRequest) -> None:
        """Add a request that goes before."""
        self.requests += 1
        self.by_rank[request.rank] += request.work
        self.by_user[request.rank, request.organisation] += request.work

    def predict(
        self, request: waiting.WaitingRequest, upstream_seconds: float
    ) -> PredictedWait:
        """Predict from now on the wait of a request that comes next."""
        rank_rate = self._per_second(drain_rate.Group(request.rank))
        own_rate = self.rate.per_second(
            drain_rate.Group(request.rank, request.organisation),
            rank_rate,
            self.now,
        )
        work_before = sum(self.by_rank.values())
        typical_work = work_before / max(self.requests, 1) or request.work
        in_time = 0.0
        if self.requests:
            own_work = self.by_user[request.rank, request.organisation]
            own_seconds = (own_work + NEXT_SHARE * typical_work) / own_rate
            in_time = max(self._rank_seconds(), own_seconds)
        return PredictedWait(
            self._with_late_part(request, in_time, rank_rate)
            + upstream_seconds,
            in_time + upstream_seconds,
            self.requests,
            work_before,
            rank_rate,
            own_rate,
            upstream_seconds,
            typical_work,
        )

    def _rank_seconds(self) -> float:
        """Return the time of all that goes before, each rank at its rate."""
        return sum(
            work / self._per_second(drain_rate.Group(rank))
            for rank, work in self.by_rank.items()
        )

    def _with_late_part(
        self,
        request: waiting.WaitingRequest,
        seconds: float,
        rank_rate: float,
    ) -> float:
        """Prolong the part of a wait in which the request is late."""
        until_late = max(request.late_at - self.now, 0)
        in_time = min(IN_TIME_SHARE * until_late, seconds)
        late_rate = self.rate.per_second(
            drain_rate.Group(request.rank, only_late=True), rank_rate, self.now
        )
        factor = max(rank_rate / late_rate, 1)
        return in_time + (seconds - in_time) * factor

    def _per_second(self, group: drain_rate.Group) -> float:
        return self.rate.per_second(group, self.assumed_rate, self.now)
