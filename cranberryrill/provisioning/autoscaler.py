"""Decide which upstreams to start and stop, per target and data centre."""

import dataclasses
import math
from collections import abc

from cranberryrill.configuration import document
from cranberryrill.provisioning import demand_history

# The target and the data centre of a pool of upstreams.
PoolKey = tuple[str, str]


@dataclasses.dataclass(frozen=True)
class Upstream:
    """An upstream and its load, as its agent announces them."""

    name: str
    target: str
    data_centre: str
    slots: int
    price_micros_per_hour: int
    running: int = 0
    waiting: int = 0
    leaving: bool = False

    @property
    def pool(self) -> PoolKey:
        """Return the target and the data centre of this upstream."""
        return (self.target, self.data_centre)


@dataclasses.dataclass(frozen=True)
class FleetState:
    """Rules, upstreams and open orders that one decision is based on."""

    rules: abc.Sequence[document.UpstreamRule]
    upstreams: abc.Sequence[Upstream]
    # Upstreams per pool once every ordered start has completed.
    expected: abc.Mapping[PoolKey, int]
    # Names of the upstreams with an open order to stop.
    stopping: abc.Collection[str] = frozenset()

    def active(self, target: str) -> list[Upstream]:
        """Return the active upstreams of a target.

        An upstream is active unless it is leaving or has an order to stop.
        """
        return [
            upstream
            for upstream in self.upstreams
            if upstream.target == target
            and not upstream.leaving
            and upstream.name not in self.stopping
        ]

    def demand(self, target: str) -> int:
        """Return the number of running and waiting requests of a target."""
        return sum(
            upstream.running + upstream.waiting
            for upstream in self.upstreams
            if upstream.target == target
        )


@dataclasses.dataclass(frozen=True)
class Start:
    """Order to start one upstream in a pool.

    `expected` is the size of the pool once this upstream has started.
    """

    target: str
    data_centre: str
    expected: int


@dataclasses.dataclass(frozen=True)
class Stop:
    """Order to drain one upstream and then stop it."""

    upstream: Upstream


Decision = Start | Stop


@dataclasses.dataclass(frozen=True)
class ScalingParameters:
    """Utilisation thresholds and time windows of the scaling policy."""

    # A target gets another upstream above this share of slots in use.
    scale_up_utilisation: float = 0.85
    # After an upstream is removed, the peak demand of the scale-down window
    # must fit into this share of the remaining slots.
    scale_down_utilisation: float = 0.7
    # A target scales down on its peak demand over this window.
    scale_down_window_seconds: float = 300
    # Time from ordering an upstream until it accepts requests; demand is
    # forecast this far ahead.
    start_up_seconds: float = 120


class Policy:
    """Compute the orders that adapt the upstreams of each target to demand.

    Scales up as soon as the forecast demand requires it. Scales down by one
    upstream at a time, based on the peak of the scale-down window.
    """

    def __init__(self, parameters: ScalingParameters) -> None:
        self.parameters = parameters
        self.histories: dict[str, demand_history.DemandHistory] = {}
        self.prices: dict[PoolKey, int] = {}

    def decide(self, fleet_state: FleetState, now: float) -> list[Decision]:
        """Return the orders to place at `now`, in monotonic seconds.

        Records the current demand, so it must be called regularly.
        """
        for upstream in fleet_state.upstreams:
            self.prices[upstream.pool] = upstream.price_micros_per_hour
        targets = dict.fromkeys(rule.target for rule in fleet_state.rules)
        decisions: list[Decision] = []
        for target in targets:
            decisions.extend(self._decide_target(target, fleet_state, now))
        return decisions

    def _decide_target(
        self,
        target: str,
        fleet_state: FleetState,
        now: float,
    ) -> list[Decision]:
        retention_seconds = (
            self.parameters.scale_down_window_seconds
            + self.parameters.start_up_seconds
        )
        history = self.histories.setdefault(
            target, demand_history.DemandHistory(retention_seconds)
        )
        history.add(fleet_state.demand(target), now)
        fleet = TargetFleet(target, fleet_state, self.prices)
        starts = fleet.start_minimum()
        required = _upstreams_for(
            history.forecast(now, self.parameters.start_up_seconds),
            fleet.slots * self.parameters.scale_up_utilisation,
        )
        starts.extend(fleet.grow_to(required))
        if starts:
            return list(starts)
        surplus = fleet.above_maximum()
        if surplus is not None:
            return [Stop(surplus)]
        return self._shrink(fleet, history, now)

    def _shrink(
        self,
        fleet: 'TargetFleet',
        history: demand_history.DemandHistory,
        now: float,
    ) -> list[Decision]:
        if not history.covers(now, self.parameters.scale_down_window_seconds):
            return []
        peak = history.peak(now, self.parameters.scale_down_window_seconds)
        needed = _upstreams_for(
            peak, fleet.slots * self.parameters.scale_down_utilisation
        )
        removable = fleet.removable(max(needed, 1))
        return [] if removable is None else [Stop(removable)]


class TargetFleet:
    """The active upstreams of one target, compared with its rules.

    Each start that a method returns is added to `counts`, the number of
    active and starting upstreams per data centre.
    """

    def __init__(
        self,
        target: str,
        fleet_state: FleetState,
        prices: abc.Mapping[PoolKey, int],
    ) -> None:
        self.prices = prices
        self.rules = [
            rule for rule in fleet_state.rules if rule.target == target
        ]
        self.active = fleet_state.active(target)
        self.counts = {
            rule.data_centre: max(
                self._active_in(rule.data_centre),
                fleet_state.expected.get((target, rule.data_centre), 0),
            )
            for rule in self.rules
        }
        self.slots = max(
            (upstream.slots for upstream in self.active), default=1
        )
        self.demand = fleet_state.demand(target)

    def start_minimum(self) -> list[Start]:
        """Return the starts that bring each data centre to its minimum."""
        starts = []
        for rule in self.rules:
            while self.counts[rule.data_centre] < min(rule.least, rule.most):
                starts.append(self._start(rule))
        return starts

    def grow_to(self, count: int) -> list[Start]:
        """Return the starts that bring the target to `count` upstreams.

        Starts in the cheapest data centre below its maximum; returns fewer
        starts when every data centre has reached its maximum.
        """
        starts = []
        while sum(self.counts.values()) < count:
            below_maximum = [
                rule
                for rule in self.rules
                if self.counts[rule.data_centre] < rule.most
            ]
            if not below_maximum:
                break
            starts.append(self._start(min(below_maximum, key=self._price)))
        return starts

    def above_maximum(self) -> Upstream | None:
        """Return an upstream to stop in a data centre above its maximum.

        None when no data centre is above its maximum, or when it would be
        the last active upstream of a target with demand.
        """
        above = [
            rule
            for rule in self.rules
            if self._active_in(rule.data_centre) > rule.most
        ]
        return self._least_loaded(above)

    def removable(self, needed: int) -> Upstream | None:
        """Return an upstream to stop while at least `needed` ones remain.

        Chosen in the most expensive data centres above their minimum. None
        while an upstream is still starting, or when none can be removed.
        """
        starting = sum(self.counts.values()) > self._active_total()
        if starting or self._active_total() <= needed:
            return None
        above = [
            rule
            for rule in self.rules
            if self._active_in(rule.data_centre) > rule.least
        ]
        highest_price = max(map(self._price, above), default=0)
        return self._least_loaded(
            [rule for rule in above if self._price(rule) == highest_price],
        )

    def _least_loaded(
        self,
        rules: abc.Sequence[document.UpstreamRule],
    ) -> Upstream | None:
        # Never stop the last active upstream of a target with demand.
        if len(self.active) <= 1 and self.demand:
            return None
        data_centres = {rule.data_centre for rule in rules}
        candidates = [
            upstream
            for upstream in self.active
            if upstream.data_centre in data_centres
        ]
        return min(
            candidates,
            key=lambda upstream: (
                upstream.running + upstream.waiting,
                upstream.name,
            ),
            default=None,
        )

    def _active_in(self, data_centre: str) -> int:
        return sum(
            upstream.data_centre == data_centre for upstream in self.active
        )

    def _active_total(self) -> int:
        return sum(self._active_in(rule.data_centre) for rule in self.rules)

    def _price(self, rule: document.UpstreamRule) -> float:
        pool = (rule.target, rule.data_centre)
        return self.prices.get(pool, math.inf)

    def _start(self, rule: document.UpstreamRule) -> Start:
        self.counts[rule.data_centre] += 1
        return Start(
            rule.target,
            rule.data_centre,
            self.counts[rule.data_centre],
        )


def _upstreams_for(requests: float, requests_per_upstream: float) -> int:
    return math.ceil(requests / requests_per_upstream)
