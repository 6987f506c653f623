"""Specification of usage windows and orders in the replicated log.

Two holders read two copies of the log, which agree up to the commit index and
may differ after it. Each holder sends a window's usage report, or an order,
from the entries that it has applied. The search covers every pair of logs of a
given length.
"""

import dataclasses
import typing

import z3

# Kinds of log entries: a batch of usage, the seal of a window, an order.
BATCH = 0
SEAL = 1
ORDER = 2
KIND_COUNT = 3
# Largest values of the fields of an entry.
MAX_NUMBER = 3
MAX_CONTENT = 5
# The two holders, each with its copy of the log.
SIDES = ('left', 'right')
Z3Term = typing.Any


@dataclasses.dataclass(frozen=True)
class Rules:
    """Rules of the records, each of which the search can disable."""

    # A report is sent only after the entry that seals its window is applied.
    report_after_seal: bool = True
    # Usage after the seal is counted in the next window.
    seal_closes_window: bool = True
    # A batch that is sent again is counted once.
    deduplicated_batches: bool = True
    # A seal names its window; a second seal of the same window has no effect.
    seal_names_window: bool = True
    # Reports and orders are sent from committed entries only.
    committed_only: bool = True
    # An order is sent with the content of its log entry.
    content_from_entry: bool = True


@dataclasses.dataclass(frozen=True)
class Log:
    """One copy of the log; each field has an item per entry."""

    kinds: tuple[Z3Term, ...]
    # Number of a batch, or the window that a seal names.
    numbers: tuple[Z3Term, ...]
    # Tokens of a batch, or a number that represents an order's content.
    contents: tuple[Z3Term, ...]


@dataclasses.dataclass(frozen=True)
class Totals:
    """Totals before the first log entry and after each entry."""

    # Tokens counted in window 1, and the number of the open window.
    window_tokens: tuple[Z3Term, ...]
    open_windows: tuple[Z3Term, ...]


@dataclasses.dataclass(frozen=True)
class Order:
    """An order as a holder sends it; its number is its position in the log."""

    number: Z3Term
    content: Z3Term


class ConflictSearch:
    """Search for holders that send the platform conflicting messages.

    The search methods add constraints to the solver, so each instance serves
    one search only.
    """

    def __init__(self, rules: Rules, length: int) -> None:
        self.rules = rules
        self.length = length
        self.solver = z3.Solver()
        self.committed_count = z3.Int('commit')
        self.solver.add(
            self.committed_count >= 0, self.committed_count <= length
        )
        self.logs = tuple(self.symbolic_log(side) for side in SIDES)
        self.applied_counts = tuple(
            self.applied_count(f'applied_{side}') for side in SIDES
        )
        self._constrain_committed()

    def symbolic_log(self, side: str) -> Log:
        """Return a log whose entries the solver chooses."""
        kinds = tuple(z3.Ints(self._variable_names('kind', side)))
        numbers = tuple(z3.Ints(self._variable_names('number', side)))
        contents = tuple(z3.Ints(self._variable_names('content', side)))
        for kind, number, content in zip(
            kinds,
            numbers,
            contents,
            strict=True,
        ):
            self.solver.add(kind >= BATCH, kind < KIND_COUNT)
            self.solver.add(number >= 1, number <= MAX_NUMBER)
            self.solver.add(content >= 1, content <= MAX_CONTENT)
        self._constrain_resends(kinds, numbers, contents)
        return Log(kinds, numbers, contents)

    def applied_count(self, name: str) -> Z3Term:
        """Return the number of entries that a holder has applied."""
        applied = z3.Int(name)
        self.solver.add(applied >= 0, applied <= self.length)
        if self.rules.committed_only:
            self.solver.add(applied <= self.committed_count)
        return applied

    def find_report_conflict(self) -> Z3Term | None:
        """Return a model of two different reports of window 1, or None."""
        reported_tokens = []
        for log, applied in zip(self.logs, self.applied_counts, strict=True):
            totals = self.totals(log)
            reported_tokens.append(_select(totals.window_tokens, applied))
            if self.rules.report_after_seal:
                open_window = _select(totals.open_windows, applied)
                self.solver.add(open_window > 1)
        return self.solve(reported_tokens[0] != reported_tokens[1])

    def find_order_conflict(self) -> Z3Term | None:
        """Return a model of one order sent with two contents, or None."""
        left, right = (
            self._order(log, applied, side)
            for log, applied, side in zip(
                self.logs,
                self.applied_counts,
                SIDES,
                strict=True,
            )
        )
        same_number = left.number == right.number
        differ = left.content != right.content
        return self.solve(z3.And(same_number, differ))

    def find_miscount(self) -> Z3Term | None:
        """Return a model of miscounted usage or an early seal, or None.

        Usage of window 1 is miscounted if a batch is lost or counted twice.
        """
        log = self.logs[0]
        totals = self.totals(log)
        expected_tokens = z3.IntVal(0)
        max_open_window = z3.IntVal(1)
        for position, kind in enumerate(log.kinds):
            is_first = z3.Not(_has_earlier_copy(log, position, kind))
            is_counted = z3.And(
                kind == BATCH,
                is_first,
                totals.open_windows[position] == 1,
            )
            expected_tokens += z3.If(is_counted, log.contents[position], 0)
            # Each distinct seal may close one window, a resent seal none.
            max_open_window += z3.If(z3.And(kind == SEAL, is_first), 1, 0)
        miscounted = totals.window_tokens[-1] != expected_tokens
        sealed_early = totals.open_windows[-1] > max_open_window
        return self.solve(z3.Or(miscounted, sealed_early))

    def totals(self, log: Log) -> Totals:
        """Return the totals from applying a log entry by entry."""
        window_tokens = [z3.IntVal(0)]
        open_windows = [z3.IntVal(1)]
        for position, kind in enumerate(log.kinds):
            open_window = open_windows[-1]
            is_counted = z3.And(
                kind == BATCH, self._is_new(log, position, kind)
            )
            if self.rules.seal_closes_window:
                is_counted = z3.And(is_counted, open_window == 1)
            window_tokens.append(
                window_tokens[-1]
                + z3.If(is_counted, log.contents[position], 0),
            )
            is_seal = kind == SEAL
            if self.rules.seal_names_window:
                is_seal = z3.And(is_seal, log.numbers[position] == open_window)
            open_windows.append(open_window + z3.If(is_seal, 1, 0))
        return Totals(tuple(window_tokens), tuple(open_windows))

    def solve(self, conflict: Z3Term) -> Z3Term | None:
        """Return a model in which `conflict` holds, or None."""
        self.solver.add(conflict)
        if self.solver.check() == z3.unsat:
            return None
        return self.solver.model()

    def _order(self, log: Log, applied: Z3Term, side: str) -> Order:
        position = z3.Int(f'order_{side}')
        self.solver.add(position >= 0, position < applied)
        self.solver.add(_select(log.kinds, position) == ORDER)
        content = _select(log.contents, position)
        if not self.rules.content_from_entry:
            content = z3.Int(f'decided_{side}')
        return Order(position, content)

    def _is_new(self, log: Log, position: int, kind: Z3Term) -> Z3Term:
        if not self.rules.deduplicated_batches:
            return z3.BoolVal(True)
        return z3.Not(_has_earlier_copy(log, position, kind))

    def _variable_names(self, field: str, side: str) -> list[str]:
        return [f'{field}_{side}_{position}' for position in range(self.length)]

    def _constrain_committed(self) -> None:
        left, right = self.logs
        for position in range(self.length):
            same = z3.And(
                left.kinds[position] == right.kinds[position],
                left.numbers[position] == right.numbers[position],
                left.contents[position] == right.contents[position],
            )
            self.solver.add(z3.Implies(position < self.committed_count, same))

    def _constrain_resends(
        self,
        kinds: tuple[Z3Term, ...],
        numbers: tuple[Z3Term, ...],
        contents: tuple[Z3Term, ...],
    ) -> None:
        for later in range(self.length):
            for earlier in range(later):
                resend = z3.And(
                    kinds[later] == BATCH,
                    kinds[earlier] == BATCH,
                    numbers[later] == numbers[earlier],
                )
                self.solver.add(
                    z3.Implies(resend, contents[later] == contents[earlier]),
                )


def _has_earlier_copy(log: Log, position: int, kind: Z3Term) -> Z3Term:
    same = [
        z3.And(
            log.kinds[earlier] == kind,
            log.numbers[earlier] == log.numbers[position],
        )
        for earlier in range(position)
    ]
    return z3.Or(*same)


def _select(terms: tuple[Z3Term, ...], index: Z3Term) -> Z3Term:
    selected = terms[0]
    for position, term in enumerate(terms):
        selected = z3.If(index == position, term, selected)
    return selected
