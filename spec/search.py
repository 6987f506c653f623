"""Search all traces of `spec.leases`, up to a length, for broken safety."""

import dataclasses
import typing

import z3

from spec import leases

Clock = tuple[typing.Any, ...]


@dataclasses.dataclass(frozen=True)
class Trace:
    """Names of the events that lead to a violation, in order."""

    steps: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Step:
    """One step of a trace: the solver's choice among a state's events."""

    choice: typing.Any
    events: list[leases.Event]

    def constrain(self, solver: typing.Any) -> None:
        """Restrict the choice to events whose guard holds."""
        solver.add(self.choice >= 0, self.choice < len(self.events))
        for number, event in enumerate(self.events):
            solver.add(z3.Implies(self.choice == number, event.guard))

    def violation(self) -> typing.Any:
        """Return the condition under which this step breaks safety."""
        violated = [
            z3.And(self.choice == number, event.violation)
            for number, event in enumerate(self.events)
        ]
        return z3.Or(*violated)


class SolverUndecided(Exception):
    """The solver could neither find a trace nor rule one out."""


def find_violation(rules: leases.Rules, steps: int) -> Trace | None:
    """Return a trace of up to `steps` events that breaks safety.

    Returns None if no such trace exists; raises `SolverUndecided` if the solver
    can't decide.
    """
    protocol = leases.Protocol(rules)
    solver = z3.Solver()
    state = leases.initial_state()
    clock: Clock = tuple(z3.RealVal(0) for _ in leases.MEMBERS)
    steps_taken = []
    for number in range(steps):
        clock = _advance_clocks(solver, clock, number)
        step = Step(z3.Int(f'event_{number}'), protocol.events(state, clock))
        step.constrain(solver)
        steps_taken.append(step)
        state = _next_state(solver, state, step, number)
    solver.add(z3.Or(*(step.violation() for step in steps_taken)))
    verdict = solver.check()
    if verdict == z3.unsat:
        return None
    if verdict != z3.sat:
        raise SolverUndecided
    return _read_trace(solver.model(), steps_taken)


def _advance_clocks(
    solver: typing.Any,
    clock: tuple[typing.Any, ...],
    step: int,
) -> tuple[typing.Any, ...]:
    elapsed = z3.Real(f'elapsed_{step}')
    solver.add(elapsed >= 0)
    after = tuple(
        z3.Real(f'clock_{step}_{member}') for member in leases.MEMBERS
    )
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
        is_by_pair = isinstance(before, dict)
        keys = tuple(before) if is_by_pair else tuple(leases.MEMBERS)
        values = {
            key: _next_value(step, field.name, key, before[key]) for key in keys
        }
        variables = {
            key: _bind_variable(solver, f'{field.name}_{number}_{key}', value)
            for key, value in values.items()
        }
        after[field.name] = (
            variables if is_by_pair else tuple(variables.values())
        )
    return leases.State(**after)


def _next_value(
    step: Step,
    field: str,
    key: typing.Any,
    before: typing.Any,
) -> typing.Any:
    after = before
    for number, event in enumerate(step.events):
        change = event.changes.get(field, {}).get(key)
        if change is not None:
            after = z3.If(step.choice == number, change, after)
    return after


def _bind_variable(
    solver: typing.Any, name: str, value: typing.Any
) -> typing.Any:
    """Return a new variable equal to `value`, so that terms stay small."""
    variable = z3.Const(name, value.sort())
    solver.add(variable == value)
    return variable


def _read_trace(model: typing.Any, steps_taken: list[Step]) -> Trace:
    steps = []
    for step in steps_taken:
        steps.append(step.events[model.eval(step.choice).as_long()].name)
        violated = model.eval(step.violation(), model_completion=True)
        if z3.is_true(violated):
            break
    return Trace(tuple(steps))
