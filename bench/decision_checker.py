"""Judge an agent's decisions by replaying them one after another."""

import collections
import dataclasses
import typing

from cranberryrill.scheduling import decisions, levels

FLOOR_PERIOD_SECONDS = 10.0
# A place is lost between one request's end and the next one's start.
FLOOR_TOLERANCE = 0.02


@dataclasses.dataclass(frozen=True)
class Violation:
    """One decision that broke a promise."""

    decision: decisions.Decision
    reason: str


@dataclasses.dataclass
class ClassState:
    """What one class has at the agent, as the decisions tell it."""

    level: levels.ServiceLevel
    fresh: set[int] = dataclasses.field(default_factory=set)
    paused: set[int] = dataclasses.field(default_factory=set)
    running: set[int] = dataclasses.field(default_factory=set)
    stopping: set[int] = dataclasses.field(default_factory=set)
    # Changes of (time, running, waiting).
    history: list[tuple[float, int, int]] = dataclasses.field(
        default_factory=list,
    )

    def waiting_count(self) -> int:
        """Return how many wait."""
        return len(self.fresh) + len(self.paused)


class DecisionChecker:
    """Rebuild one agent's queues and check each decision against them."""

    def __init__(
        self,
        slots: int,
        service_levels: typing.Iterable[levels.ServiceLevel],
        pausable: bool = True,
    ) -> None:
        self.slots = slots
        self.pausable = pausable
        self.classes = {
            level.name: ClassState(level) for level in service_levels
        }
        self.violations: list[Violation] = []
        self.events = 0
        self.counts: collections.Counter[decisions.DecisionKind] = (
            collections.Counter()
        )

    def record(self, decision: decisions.Decision) -> None:
        """Check a decision, then let it take effect."""
        self.events += 1
        self.counts[decision.kind] += 1
        own = self.classes[decision.class_name]
        self._check(decision, own)
        self._apply(decision, own)
        own.history.append(
            (decision.at, len(own.running), own.waiting_count()),
        )

    def missed_floors(self, until: float) -> list[tuple[str, float, float]]:
        """Return each class and period of waiting without its floor.

        Each entry is the class, the start of the period, and the share of
        its floor that the class got.
        """
        missed: list[tuple[str, float, float]] = []
        for name, own in self.classes.items():
            owed = own.level.floor * self.slots * FLOOR_PERIOD_SECONDS
            for start, service in waiting_periods(own.history, until):
                if service < owed * (1 - FLOOR_TOLERANCE):
                    missed.append((name, start, service / owed))
        return missed

    def _check(self, decision: decisions.Decision, own: ClassState) -> None:
        checks: dict[
            decisions.DecisionKind,
            typing.Callable[[decisions.Decision, ClassState], str],
        ] = {
            decisions.DecisionKind.refused: self._lower_keeps,
            decisions.DecisionKind.evicted: self._lower_waits,
            decisions.DecisionKind.preempted: self._wrongly_preempted,
            decisions.DecisionKind.started: self._overtakes,
        }
        check = checks.get(decision.kind)
        against = '' if check is None else check(decision, own)
        if against:
            self.violations.append(Violation(decision, against))

    def _lower_keeps(
        self, decision: decisions.Decision, own: ClassState
    ) -> str:
        return self._lower_waits(decision, own) or self._lower_runs(
            decision,
            own,
        )

    def _lower_waits(
        self, decision: decisions.Decision, own: ClassState
    ) -> str:
        for one in self._lower(own):
            if len(one.fresh) > one.level.protected_queue_length():
                return f'{one.level.name} waits'
        return ''

    def _lower_runs(self, decision: decisions.Decision, own: ClassState) -> str:
        for one in self._lower(own):
            if self.pausable and self._is_beyond(one, decision.at):
                return f'{one.level.name} runs'
        return ''

    def _wrongly_preempted(
        self,
        decision: decisions.Decision,
        own: ClassState,
    ) -> str:
        higher = [
            one
            for one in self.classes.values()
            if one.level.tier < own.level.tier and one.waiting_count()
        ]
        if not higher:
            return 'nothing higher waits'
        return self._lower_runs(decision, own)

    def _overtakes(self, decision: decisions.Decision, own: ClassState) -> str:
        if self._holding(own) < own.level.floor_slots(self.slots):
            return ''
        if self._is_behind(own, decision.at):
            return ''
        for one in self.classes.values():
            if one.level.tier < own.level.tier and one.waiting_count():
                return f'{one.level.name} waits'
        return ''

    def _lower(self, own: ClassState) -> list[ClassState]:
        return [
            one
            for one in self.classes.values()
            if one.level.tier > own.level.tier
        ]

    def _is_beyond(self, one: ClassState, now: float) -> bool:
        if self._holding(one) <= one.level.floor_slots(self.slots):
            return False
        return not self._is_behind(one, now)

    def _holding(self, one: ClassState) -> int:
        return len(one.running - one.stopping)

    def _is_behind(self, one: ClassState, now: float) -> bool:
        """Say whether it lacks service since it waits, or of late."""
        since = _waiting_since(one.history, now)
        floor = one.level.floor * self.slots
        return any(
            slot_seconds_between(one.history, start, now)
            < floor * (now - start)
            for start in (since, max(since, now - FLOOR_PERIOD_SECONDS))
        )

    def _apply(self, decision: decisions.Decision, own: ClassState) -> None:
        ticket = decision.ticket
        if decision.kind is decisions.DecisionKind.offered:
            own.fresh.add(ticket)
            return
        if decision.kind is decisions.DecisionKind.preempted:
            own.stopping.add(ticket)
            return
        if decision.kind is decisions.DecisionKind.refused:
            return
        for group in (own.fresh, own.paused, own.running, own.stopping):
            group.discard(ticket)
        if decision.kind is decisions.DecisionKind.started:
            own.running.add(ticket)
        if decision.kind is decisions.DecisionKind.requeued:
            own.paused.add(ticket)


def slot_seconds_between(
    history: typing.Sequence[tuple[float, int, int]],
    start: float,
    end: float,
) -> float:
    """Return the place-seconds that a class held from `start` to `end`."""
    total = 0.0
    until = end
    for at, running, _ in reversed(history):
        total += running * max(until - max(at, start), 0)
        until = min(until, at)
        if at <= start:
            break
    return total


def waiting_periods(
    history: typing.Sequence[tuple[float, int, int]],
    until: float,
) -> typing.Iterator[tuple[float, float]]:
    """Yield each start and service of a whole period spent waiting."""
    began: float | None = None
    ended = [*history, (until, 0, 0)]
    for at, _, waiting in ended:
        if began is not None and at - began >= FLOOR_PERIOD_SECONDS:
            yield (
                began,
                slot_seconds_between(
                    history, began, began + FLOOR_PERIOD_SECONDS
                ),
            )
            began += FLOOR_PERIOD_SECONDS / 2
        if not waiting:
            began = None
        elif began is None:
            began = at


def _waiting_since(
    history: typing.Sequence[tuple[float, int, int]],
    now: float,
) -> float:
    since = now
    for at, _, waiting in reversed(history):
        if not waiting:
            break
        since = at
    return since
