"""Decide how many upstreams each target needs, and where."""

import dataclasses
import math
from collections import abc

from cranberryrill.configuration import document
from cranberryrill.provisioning import demand_history

PoolKey = tuple[str, str]


@dataclasses.dataclass(frozen=True)
class Upstream:
    """What an upstream's agent announces of it."""

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
        """Return the target and data centre that a rule is for."""
        return (self.target, self.data_centre)


@dataclasses.dataclass(frozen=True)
class FleetState:
    """Everything that one decision is made on."""

    rules: abc.Sequence[document.UpstreamRule]
    upstreams: abc.Sequence[Upstream]
    # How many upstreams a place has once its started ones have come up.
    expected: abc.Mapping[PoolKey, int]
    # The upstreams with an order to stop.
    stopping: abc.Collection[str] = frozenset()

    def active(self, target: str) -> list[Upstream]:
        """Return the upstreams of a target that take work and may go on."""
        return [
            upstream
            for upstream in self.upstreams
            if upstream.target == target
            and not upstream.leaving
            and upstream.name not in self.stopping
        ]

    def demand(self, target: str) -> int:
        """Return how many requests run and wait."""
        return sum(
            upstream.running + upstream.waiting
            for upstream in self.upstreams
            if upstream.target == target
        )


@dataclasses.dataclass(frozen=True)
class Start:
    """Order one more upstream."""

    target: str
    data_centre: str
    expected: int


@dataclasses.dataclass(frozen=True)
class Stop:
    """Drain one upstream and stop it."""

    upstream: Upstream


Decision = Start | Stop


@dataclasses.dataclass(frozen=True)
class ScalingParameters:
    """Set how full upstreams may be and how fast their number changes."""

    # Share of the slots in use at which one more upstream is wanted.
    scale_up_utilisation: float = 0.85
    # Share of the slots that the calm period's peak may use afterwards.
    scale_down_utilisation: float = 0.7
    # A target shrinks only by the peak of this many seconds.
    scale_down_window_seconds: float = 300
    start_up_seconds: float = 120


class Policy:
    """Follow the demand of each target upwards at once, downwards slowly."""

    def __init__(self, parameters: ScalingParameters) -> None:
        self.parameters = parameters
        self.histories: dict[str, demand_history.DemandHistory] = {}
        self.prices: dict[PoolKey, int] = {}

    def decide(self, view: FleetState, now: float) -> list[Decision]:
        """Return the orders to place at `now`, in monotonic seconds."""
        for upstream in view.upstreams:
            self.prices[upstream.pool] = upstream.price_micros_per_hour
        targets = dict.fromkeys(rule.target for rule in view.rules)
        decisions: list[Decision] = []
        for target in targets:
            decisions.extend(self._decide_target(target, view, now))
        return decisions

    def _decide_target(
        self,
        target: str,
        view: FleetState,
        now: float,
    ) -> list[Decision]:
        kept = (
            self.parameters.scale_down_window_seconds
            + self.parameters.start_up_seconds
        )
        history = self.histories.setdefault(
            target, demand_history.DemandHistory(kept)
        )
        history.add(view.demand(target), now)
        fleet = TargetFleet(target, view, self.prices)
        starts = fleet.start_minimum()
        wanted = _upstreams_for(
            history.forecast(now, self.parameters.start_up_seconds),
            fleet.slots * self.parameters.scale_up_utilisation,
        )
        starts.extend(fleet.grow_to(wanted))
        if starts:
            return list(starts)
        excess = fleet.above_maximum()
        if excess is not None:
            return [Stop(excess)]
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
        spare = fleet.removable(max(needed, 1))
        return [] if spare is None else [Stop(spare)]


class TargetFleet:
    """Weigh the upstreams of one target against its rules."""

    def __init__(
        self,
        target: str,
        view: FleetState,
        prices: abc.Mapping[PoolKey, int],
    ) -> None:
        self.prices = prices
        self.rules = [rule for rule in view.rules if rule.target == target]
        self.active = view.active(target)
        self.counts = {
            rule.data_centre: max(
                self._active_in(rule.data_centre),
                view.expected.get((target, rule.data_centre), 0),
            )
            for rule in self.rules
        }
        self.slots = max((one.slots for one in self.active), default=1)
        self.demand = view.demand(target)

    def start_minimum(self) -> list[Start]:
        """Start what the rules always want."""
        starts = []
        for rule in self.rules:
            while self.counts[rule.data_centre] < min(rule.least, rule.most):
                starts.append(self._start(rule))
        return starts

    def grow_to(self, wanted: int) -> list[Start]:
        """Start what is missing, where it is cheapest."""
        starts = []
        while sum(self.counts.values()) < wanted:
            with_room = [
                rule
                for rule in self.rules
                if self.counts[rule.data_centre] < rule.most
            ]
            if not with_room:
                break
            starts.append(self._start(min(with_room, key=self._price)))
        return starts

    def above_maximum(self) -> Upstream | None:
        """Return an upstream beyond what a rule allows."""
        over = [
            rule
            for rule in self.rules
            if self._active_in(rule.data_centre) > rule.most
        ]
        return self._least_loaded(over)

    def removable(self, needed: int) -> Upstream | None:
        """Return the dearest upstream that `needed` ones can do without."""
        starting = sum(self.counts.values()) > self._active_total()
        if starting or self._active_total() <= needed:
            return None
        above = [
            rule
            for rule in self.rules
            if self._active_in(rule.data_centre) > rule.least
        ]
        dearest = max(map(self._price, above), default=0)
        return self._least_loaded(
            [rule for rule in above if self._price(rule) == dearest],
        )

    def _least_loaded(
        self,
        rules: abc.Sequence[document.UpstreamRule],
    ) -> Upstream | None:
        # The last upstream of a target with demand is never stopped.
        if len(self.active) <= 1 and self.demand:
            return None
        data_centres = {rule.data_centre for rule in rules}
        chosen = [one for one in self.active if one.data_centre in data_centres]
        return min(
            chosen,
            key=lambda one: (one.running + one.waiting, one.name),
            default=None,
        )

    def _active_in(self, data_centre: str) -> int:
        return sum(one.data_centre == data_centre for one in self.active)

    def _active_total(self) -> int:
        return sum(self._active_in(rule.data_centre) for rule in self.rules)

    def _price(self, rule: document.UpstreamRule) -> float:
        place = (rule.target, rule.data_centre)
        return self.prices.get(place, math.inf)

    def _start(self, rule: document.UpstreamRule) -> Start:
        self.counts[rule.data_centre] += 1
        return Start(
            rule.target,
            rule.data_centre,
            self.counts[rule.data_centre],
        )


def _upstreams_for(requests: float, each: float) -> int:
    return math.ceil(requests / each)
