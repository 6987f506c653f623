"""Search all traces of a specification up to a number of steps."""

import dataclasses
import typing

import z3

from spec import leases

Clock = tuple[typing.Any, ...]


@dataclasses.dataclass(frozen=True)
class Trace:
    """Tell how a violation comes about, step by step."""

    steps: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Step:
    """Choose one event of those that a state allows."""

    choice: typing.Any
    events: list[leases.Event]

    def constrain(self, solver: typing.Any) -> None:
        """Let the solver choose only events whose guard holds."""
        solver.add(self.choice >= 0, self.choice < len(self.events))
        for number, event in enumerate(self.events):
            solver.add(z3.Implies(self.choice == number, event.guard))

    def violation(self) -> typing.Any:
        """Return the condition that this step breaks safety."""
        broken = [
            z3.And(self.choice == number, event.violation)
            for number, event in enumerate(self.events)
        ]
        return z3.Or(*broken)


class SolverUndecided(Exception):
    """The solver gave no answer."""


def find_violation(rules: leases.Rules, steps: int) -> Trace | None:
    """Return a trace of up to `steps` that breaks safety, or nothing.

    Raises `SolverUndecided` when the solver can't tell.
    """
    protocol = leases.Protocol(rules)
    solver = z3.Solver()
    state = leases.initial_state()
    clock: Clock = tuple(z3.RealVal(0) for _ in leases.MEMBERS)
    taken = []
    for number in range(steps):
        clock = _advance(solver, clock, number)
        step = Step(z3.Int(f'event_{number}'), protocol.events(state, clock))
        step.constrain(solver)
        taken.append(step)
        state = _next_state(solver, state, step, number)
    solver.add(z3.Or(*(step.violation() for step in taken)))
    verdict = solver.check()
    if verdict == z3.unsat:
        return None
    if verdict != z3.sat:
        raise SolverUndecided
    return _trace(solver.model(), taken)


def _advance(
    solver: typing.Any,
    clock: tuple[typing.Any, ...],
    step: int,
) -> tuple[typing.Any, ...]:
    elapsed = z3.Real(f'elapsed_{step}')
    solver.add(elapsed >= 0)
    after = tuple(z3.Real(f'clock_{step}_{one}') for one in leases.MEMBERS)
    for before, now in zip(clock, after, strict=True):
        solver.add(now - before >= elapsed * (1 - leases.MAX_DRIFT))
        solver.add(now - before <= elapsed * (1 + leases.MAX_DRIFT))
    return after


def _next_state(
    solver: typing.Any,
    state: leases.State,
    step: Step,
    number: int,
) -> leases.State:
    after: dict[str, typing.Any] = {}
    for field in dataclasses.fields(leases.State):
        before = getattr(state, field.name)
        pairs = isinstance(before, dict)
        places = tuple(before) if pairs else tuple(leases.MEMBERS)
        values = {
            place: _next_value(step, field.name, place, before[place])
            for place in places
        }
        named = {
            place: _name(solver, f'{field.name}_{number}_{place}', value)
            for place, value in values.items()
        }
        after[field.name] = named if pairs else tuple(named.values())
    return leases.State(**after)


def _next_value(
    step: Step,
    field: str,
    place: typing.Any,
    before: typing.Any,
) -> typing.Any:
    after = before
    for number, event in enumerate(step.events):
        change = event.changes.get(field, {}).get(place)
        if change is not None:
            after = z3.If(step.choice == number, change, after)
    return after


def _name(solver: typing.Any, name: str, value: typing.Any) -> typing.Any:
    """Stand a variable for `value`, so that terms stay small."""
    variable = z3.Const(name, value.sort())
    solver.add(variable == value)
    return variable


def _trace(model: typing.Any, taken: list[Step]) -> Trace:
    steps = []
    for step in taken:
        steps.append(step.events[model.eval(step.choice).as_long()].name)
        broken = model.eval(step.violation(), model_completion=True)
        if z3.is_true(broken):
            break
    return Trace(tuple(steps))
