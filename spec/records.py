"""Specify usage windows and orders in the log, and search for conflicts.

Two holders read two copies of the log, which agree up to the commit index and
may differ behind it. Each sends the report of a window, or an order, from
what it has applied. The search covers every pair of logs of a given length.
"""

import dataclasses
import typing

import z3

BATCH = 0
SEAL = 1
ORDER = 2
KINDS = 3
MOST_NUMBER = 3
MOST_TOKENS = 5
SIDES = ('left', 'right')
Term = typing.Any


@dataclasses.dataclass(frozen=True)
class Rules:
    """Name the rules of the records, each of which can be taken out."""

    # A report is sent only after the entry that seals its window.
    report_after_seal: bool = True
    # Usage behind the seal goes into the next window.
    seal_closes_window: bool = True
    # A batch that was sent again counts once.
    deduplicated_batches: bool = True
    # A seal names its window; a second one for the same window does nothing.
    seal_names_window: bool = True
    # Reports and orders are sent from committed entries only.
    committed_only: bool = True
    # An order is sent with the content that its entry holds.
    content_from_entry: bool = True


@dataclasses.dataclass(frozen=True)
class Log:
    """Hold one copy of the log, entry by entry."""

    kinds: tuple[Term, ...]
    numbers: tuple[Term, ...]
    contents: tuple[Term, ...]


@dataclasses.dataclass(frozen=True)
class Totals:
    """Hold what applying a log came to, after each entry."""

    # The figures of window 1 and the number of the open window.
    figures: tuple[Term, ...]
    open_windows: tuple[Term, ...]


@dataclasses.dataclass(frozen=True)
class Order:
    """Hold an order as one holder sends it."""

    number: Term
    content: Term


class ConflictSearch:
    """Look for two holders that tell the platform different things."""

    def __init__(self, rules: Rules, length: int) -> None:
        self.rules = rules
        self.length = length
        self.solver = z3.Solver()
        self.commit = z3.Int('commit')
        self.solver.add(self.commit >= 0, self.commit <= length)
        self.logs = tuple(self.log(side) for side in SIDES)
        self.applied = tuple(self.index(f'applied_{side}') for side in SIDES)
        self._share_committed()

    def log(self, side: str) -> Log:
        """Return a log of unknown entries."""
        kinds = tuple(z3.Ints(self._names('kind', side)))
        numbers = tuple(z3.Ints(self._names('number', side)))
        contents = tuple(z3.Ints(self._names('content', side)))
        for kind, number, content in zip(
            kinds,
            numbers,
            contents,
            strict=True,
        ):
            self.solver.add(kind >= BATCH, kind < KINDS)
            self.solver.add(number >= 1, number <= MOST_NUMBER)
            self.solver.add(content >= 1, content <= MOST_TOKENS)
        self._resends_are_equal(kinds, numbers, contents)
        return Log(kinds, numbers, contents)

    def index(self, name: str) -> Term:
        """Return how many entries a holder has applied."""
        applied = z3.Int(name)
        self.solver.add(applied >= 0, applied <= self.length)
        if self.rules.committed_only:
            self.solver.add(applied <= self.commit)
        return applied

    def find_report_conflict(self) -> Term | None:
        """Return a model of two different reports of window 1, if any."""
        figures = []
        for log, applied in zip(self.logs, self.applied, strict=True):
            totals = self.totals(log)
            figures.append(_at(totals.figures, applied))
            if self.rules.report_after_seal:
                opened = _at(totals.open_windows, applied)
                self.solver.add(opened > 1)
        return self.solve(figures[0] != figures[1])

    def find_order_conflict(self) -> Term | None:
        """Return a model of one order sent with two contents, if any."""
        left, right = (
            self._order(log, applied, side)
            for log, applied, side in zip(
                self.logs,
                self.applied,
                SIDES,
                strict=True,
            )
        )
        same_number = left.number == right.number
        differ = left.content != right.content
        return self.solve(z3.And(same_number, differ))

    def find_miscount(self) -> Term | None:
        """Return a model of usage lost, doubled or sealed early, if any."""
        log = self.logs[0]
        totals = self.totals(log)
        truth = z3.IntVal(0)
        asked = z3.IntVal(1)
        for place, kind in enumerate(log.kinds):
            first = z3.Not(_earlier(log, place, kind))
            counts = z3.And(
                kind == BATCH,
                first,
                totals.open_windows[place] == 1,
            )
            truth += z3.If(counts, log.contents[place], 0)
            # A window may close once for each different request to seal it.
            asked += z3.If(z3.And(kind == SEAL, first), 1, 0)
        doubled = totals.figures[-1] != truth
        early = totals.open_windows[-1] > asked
        return self.solve(z3.Or(doubled, early))

    def totals(self, log: Log) -> Totals:
        """Apply a log entry by entry."""
        figures = [z3.IntVal(0)]
        open_windows = [z3.IntVal(1)]
        for place, kind in enumerate(log.kinds):
            opened = open_windows[-1]
            counts = z3.And(kind == BATCH, self._is_new(log, place, kind))
            if self.rules.seal_closes_window:
                counts = z3.And(counts, opened == 1)
            figures.append(
                figures[-1] + z3.If(counts, log.contents[place], 0),
            )
            seals = kind == SEAL
            if self.rules.seal_names_window:
                seals = z3.And(seals, log.numbers[place] == opened)
            open_windows.append(opened + z3.If(seals, 1, 0))
        return Totals(tuple(figures), tuple(open_windows))

    def solve(self, conflict: Term) -> Term | None:
        """Return a model in which `conflict` holds, if there is one."""
        self.solver.add(conflict)
        if self.solver.check() == z3.unsat:
            return None
        return self.solver.model()

    def _order(self, log: Log, applied: Term, side: str) -> Order:
        position = z3.Int(f'order_{side}')
        self.solver.add(position >= 0, position < applied)
        self.solver.add(_at(log.kinds, position) == ORDER)
        content = _at(log.contents, position)
        if not self.rules.content_from_entry:
            content = z3.Int(f'decided_{side}')
        return Order(position, content)

    def _is_new(self, log: Log, place: int, kind: Term) -> Term:
        if not self.rules.deduplicated_batches:
            return z3.BoolVal(True)
        return z3.Not(_earlier(log, place, kind))

    def _names(self, field: str, side: str) -> list[str]:
        return [f'{field}_{side}_{place}' for place in range(self.length)]

    def _share_committed(self) -> None:
        left, right = self.logs
        for place in range(self.length):
            same = z3.And(
                left.kinds[place] == right.kinds[place],
                left.numbers[place] == right.numbers[place],
                left.contents[place] == right.contents[place],
            )
            self.solver.add(z3.Implies(place < self.commit, same))

    def _resends_are_equal(
        self,
        kinds: tuple[Term, ...],
        numbers: tuple[Term, ...],
        contents: tuple[Term, ...],
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


def _earlier(log: Log, place: int, kind: Term) -> Term:
    same = [
        z3.And(
            log.kinds[earlier] == kind,
            log.numbers[earlier] == log.numbers[place],
        )
        for earlier in range(place)
    ]
    return z3.Or(*same)


def _at(terms: tuple[Term, ...], index: Term) -> Term:
    chosen = terms[0]
    for place, term in enumerate(terms):
        chosen = z3.If(index == place, term, chosen)
    return chosen
