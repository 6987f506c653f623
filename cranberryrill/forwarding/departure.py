"""Offers of data centres for one request, from the costs of upstreams."""

import dataclasses
from collections import abc

from cranberryrill.forwarding import placement, upstreams
from cranberryrill.spillover import flow, latency, offers, policy

# A target is at risk from this share of it, so that time is left for what the
# prediction misses: bursts, and VMs that become slow.
RISK_SHARE = 0.5
# Others of the service are at risk where a prompt takes longer than this part
# of the shortest of their targets and gaps.
OTHERS_RISK_SHARE = 1.0
# What leaving must gain. Of the shortest target or gap of the service, since a
# prompt that takes long delays streams beside it: in any case, more than costs
# differ at random; and without risk. Smaller shares let more requests leave,
# with no more of them on time. Of the own target: where the request would be
# late elsewhere, too.
LEAST_GAIN_SHARE = 0.1
LARGE_GAIN_SHARE = 0.8
LATE_GAIN_SHARE = 1.0
# Assumed where a route has no target.
DEFAULT_TARGET_MS = 1000.0
# Requests to a plain service start to leave at this utilisation of the least
# loaded upstream; all leave when its slots are taken.
START_UTILISATION = 0.9
FULL_UTILISATION = 1.0
PRESSURE_PER_UTILISATION = (flow.FULL_PRESSURE - flow.START_PRESSURE) / (
    FULL_UTILISATION - START_UTILISATION
)
# Costs of plain services are not compared with a target.
PLAIN_SCALE = offers.Scale(0, float('inf'), float('inf'))
MILLISECONDS_PER_SECOND = 1000


@dataclasses.dataclass(frozen=True)
class Estimate:
    """Cost of one upstream, without the way, and what a request would meet.

    `time_ms` counts what delays the first event, failures included.
    """

    cost: float
    time_ms: float
    gap_ms: float


@dataclasses.dataclass(frozen=True)
class Bounds:
    """What the caller of a request needs."""

    target_ms: float
    # Time left until the target.
    left_ms: float
    # Longest time between two events; 0 if there is no limit.
    max_gap_ms: float
    # The shortest target or gap of recent requests to the service, which this
    # one may delay.
    tight_ms: float

    @classmethod
    def of(
        cls,
        request: placement.PlacementRequest,
        max_gap_ms: float,
        tight_ms: float,
        now: float,
    ) -> 'Bounds':
        """Return the bounds of a request at the time `now`."""
        target_ms = request.need.target_ms
        if target_ms <= 0:
            target_ms = DEFAULT_TARGET_MS
        waited_ms = 0.0
        if request.received_at > float('-inf'):
            waited_ms = (now - request.received_at) * MILLISECONDS_PER_SECOND
        return cls(
            target_ms,
            target_ms - waited_ms,
            max_gap_ms,
            min(tight_ms, target_ms),
        )

    @property
    def scale(self) -> offers.Scale:
        """Return the gains from which leaving pays."""
        return offers.Scale(
            self.tight_ms * LEAST_GAIN_SHARE,
            self.tight_ms * LARGE_GAIN_SHARE,
            self.target_ms * LATE_GAIN_SHARE,
        )

    def home(self, best: Estimate) -> offers.Home:
        """Return the offer of the own data centre."""
        used_ms = self.target_ms - self.left_ms + best.time_ms
        time_pressure = used_ms / (self.target_ms * RISK_SHARE)
        gap_pressure = 0.0
        if self.max_gap_ms > 0:
            gap_pressure = best.gap_ms / self.max_gap_ms
        others_pressure = best.time_ms / (self.tight_ms * OTHERS_RISK_SHARE)
        return max(
            offers.Home(best.cost, time_pressure, offers.Cause.target),
            offers.Home(best.cost, gap_pressure, offers.Cause.gap),
            offers.Home(best.cost, others_pressure, offers.Cause.others),
            key=lambda home: home.pressure,
        )

    def neighbour(
        self,
        data_centre: str,
        best: Estimate,
        costs: abc.Iterable[float],
        way_ms: float,
    ) -> offers.Neighbour:
        """Return the offer of another data centre.

        `costs` are those of all of its upstreams. Each is as free as there is
        time left until the target.
        """
        bound = self.left_ms - way_ms
        has_gap = 0 < self.max_gap_ms < best.gap_ms
        return offers.Neighbour(
            data_centre,
            best.cost + way_ms,
            sum(max(bound - cost, 0) for cost in costs) / self.target_ms,
            best.time_ms <= bound and not has_gap,
        )


class Departures:
    """Policy of one entry, and what it has measured of the ways."""

    def __init__(self) -> None:
        self.policy = policy.Policy()
        self.latencies = latency.Latencies()
        self.tight: dict[str, latency.Least] = {}

    def bounds(
        self, request: placement.PlacementRequest, max_gap_ms: float, now: float
    ) -> Bounds:
        """Return the bounds of a request, among others to its service."""
        least = self.tight.setdefault(request.need.service, latency.Least())
        for bound_ms in (request.need.target_ms, max_gap_ms):
            if bound_ms > 0:
                least.record(bound_ms, now)
        return Bounds.of(request, max_gap_ms, least.value(), now)

    def decide_plain(
        self,
        request: placement.PlacementRequest,
        costs: abc.Mapping[str, float],
        usable: abc.Iterable[upstreams.Upstream],
        now: float,
    ) -> offers.Decision:
        """Return the data centre for a request to a plain service.

        `costs` are in utilisation, by upstream id, with the constant for
        another data centre.
        """
        own = request.data_centre
        neighbours = []
        home = None
        for data_centre, members in by_data_centre(usable).items():
            best = min(costs[member.id] for member in members)
            if data_centre == own:
                home = offers.Home(
                    best,
                    flow.START_PRESSURE
                    + (best - START_UTILISATION) * PRESSURE_PER_UTILISATION,
                    offers.Cause.slots,
                )
                continue
            neighbours.append(_plain_neighbour(data_centre, members, costs))
        return self.policy.decide(
            request.need, (own, home), neighbours, PLAIN_SCALE, now
        )


def by_data_centre(
    usable: abc.Iterable[upstreams.Upstream],
) -> dict[str, list[upstreams.Upstream]]:
    """Return the upstreams of each data centre."""
    groups: dict[str, list[upstreams.Upstream]] = {}
    for upstream in usable:
        groups.setdefault(upstream.registration.data_centre, []).append(
            upstream
        )
    return groups


def _plain_neighbour(
    data_centre: str,
    members: abc.Sequence[upstreams.Upstream],
    costs: abc.Mapping[str, float],
) -> offers.Neighbour:
    full = FULL_UTILISATION + placement.CROSS_DATA_CENTRE_COST_UTILISATION
    best = min(costs[member.id] for member in members)
    free = sum(
        max(full - costs[member.id], 0) * max(member.registration.slots, 1)
        for member in members
    )
    return offers.Neighbour(data_centre, best, free, best < full)
