"""Replay an agent's scheduling decisions and check them by its rules."""

import collections
import dataclasses
import typing

from cranberryrill.scheduling import decisions, levels

FLOOR_PERIOD_SECONDS = 10.0
# Share of a floor that may be missing: a slot is idle between the end of one
# request and the start of the next.
FLOOR_TOLERANCE = 0.02


@dataclasses.dataclass(frozen=True)
class Violation:
    """Decision that broke a rule; `reason` is the state that shows it."""

    decision: decisions.Decision
    reason: str


@dataclasses.dataclass
class ClassState:
    """Tickets and history of one class, rebuilt from the decisions."""

    level: levels.ServiceLevel
    unstarted: set[int] = dataclasses.field(default_factory=set)
    paused: set[int] = dataclasses.field(default_factory=set)
    running: set[int] = dataclasses.field(default_factory=set)
    stopping: set[int] = dataclasses.field(default_factory=set)
    # (time, running, waiting) after each decision about the class.
    history: list[tuple[float, int, int]] = dataclasses.field(
        default_factory=list,
    )

    def waiting_count(self) -> int:
        """Return how many requests wait, paused ones included."""
        return len(self.unstarted) + len(self.paused)


class DecisionChecker:
    """Rebuild an agent's queues and check each decision against them.

    Without `pausable`, running requests can't be paused for others.
    """

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
        """Check a decision, then apply it to the rebuilt queues."""
        self.events += 1
        self.counts[decision.kind] += 1
        own = self.classes[decision.class_name]
        self._check(decision, own)
        self._apply(decision, own)
        own.history.append(
            (decision.at, len(own.running), own.waiting_count()),
        )

    def missed_floors(self, end: float) -> list[tuple[str, float, float]]:
        """Return the waiting periods in which a class got less than its floor.

        Each entry is the class, the start of the period, and the service
        that it got, as a share of its floor. The replay ends at `end`.
        """
        missed: list[tuple[str, float, float]] = []
        for name, own in self.classes.items():
            floor = own.level.floor * self.slots * FLOOR_PERIOD_SECONDS
            for start, service in waiting_periods(own.history, end):
                if service < floor * (1 - FLOOR_TOLERANCE):
                    missed.append((name, start, service / floor))
        return missed

    def _check(self, decision: decisions.Decision, own: ClassState) -> None:
        checks: dict[
            decisions.DecisionKind,
            typing.Callable[[decisions.Decision, ClassState], str],
        ] = {
            decisions.DecisionKind.refused: self._lower_class_could_yield,
            decisions.DecisionKind.evicted: self._lower_class_waits,
            decisions.DecisionKind.preempted: self._wrongly_preempted,
            decisions.DecisionKind.started: self._overtakes_higher_class,
        }
        check = checks.get(decision.kind)
        reason = '' if check is None else check(decision, own)
        if reason:
            self.violations.append(Violation(decision, reason))

    def _lower_class_could_yield(
        self, decision: decisions.Decision, own: ClassState
    ) -> str:
        return self._lower_class_waits(decision, own) or self._lower_class_runs(
            decision,
            own,
        )

    def _lower_class_waits(
        self, decision: decisions.Decision, own: ClassState
    ) -> str:
        for other in self._lower_classes(own):
            if len(other.unstarted) > other.level.protected_queue_length():
                return f'{other.level.name} waits'
        return ''

    def _lower_class_runs(
        self, decision: decisions.Decision, own: ClassState
    ) -> str:
        for other in self._lower_classes(own):
            if self.pausable and self._exceeds_floor(other, decision.at):
                return f'{other.level.name} runs'
        return ''

    def _wrongly_preempted(
        self,
        decision: decisions.Decision,
        own: ClassState,
    ) -> str:
        higher = [
            other
            for other in self.classes.values()
            if other.level.tier < own.level.tier and other.waiting_count()
        ]
        if not higher:
            return 'nothing higher waits'
        return self._lower_class_runs(decision, own)

    def _overtakes_higher_class(
        self, decision: decisions.Decision, own: ClassState
    ) -> str:
        if self._slots_kept(own) < own.level.floor_slots(self.slots):
            return ''
        if self._is_below_floor(own, decision.at):
            return ''
        for other in self.classes.values():
            if other.level.tier < own.level.tier and other.waiting_count():
                return f'{other.level.name} waits'
        return ''

    def _lower_classes(self, own: ClassState) -> list[ClassState]:
        return [
            other
            for other in self.classes.values()
            if other.level.tier > own.level.tier
        ]

    def _exceeds_floor(self, state: ClassState, now: float) -> bool:
        if self._slots_kept(state) <= state.level.floor_slots(self.slots):
            return False
        return not self._is_below_floor(state, now)

    def _slots_kept(self, state: ClassState) -> int:
        return len(state.running - state.stopping)

    def _is_below_floor(self, state: ClassState, now: float) -> bool:
        """Return whether a class has got less than its floor.

        Its service counts since it began to wait, and over the last floor
        period of that time.
        """
        since = _waiting_since(state.history, now)
        floor = state.level.floor * self.slots
        return any(
            slot_seconds_between(state.history, start, now)
            < floor * (now - start)
            for start in (since, max(since, now - FLOOR_PERIOD_SECONDS))
        )

    def _apply(self, decision: decisions.Decision, own: ClassState) -> None:
        ticket = decision.ticket
        if decision.kind is decisions.DecisionKind.offered:
            own.unstarted.add(ticket)
            return
        if decision.kind is decisions.DecisionKind.preempted:
            own.stopping.add(ticket)
            return
        if decision.kind is decisions.DecisionKind.refused:
            return
        for tickets in (own.unstarted, own.paused, own.running, own.stopping):
            tickets.discard(ticket)
        if decision.kind is decisions.DecisionKind.started:
            own.running.add(ticket)
        if decision.kind is decisions.DecisionKind.requeued:
            own.paused.add(ticket)


def slot_seconds_between(
    history: typing.Sequence[tuple[float, int, int]],
    start: float,
    end: float,
) -> float:
    """Return the slot-seconds that a class used from `start` to `end`."""
    total = 0.0
    segment_end = end
    for at, running, _ in reversed(history):
        total += running * max(segment_end - max(at, start), 0)
        segment_end = min(segment_end, at)
        if at <= start:
            break
    return total


def waiting_periods(
    history: typing.Sequence[tuple[float, int, int]],
    end: float,
) -> typing.Iterator[tuple[float, float]]:
    """Yield floor periods in which a class waited throughout.

    Each is the start of the period and the slot-seconds used in it. Periods
    of one wait overlap by half; each entry of the history ends one at most.
    """
    began: float | None = None
    closed_history = [*history, (end, 0, 0)]
    for at, _, waiting in closed_history:
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
