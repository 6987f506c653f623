"""Compare two documents object by object."""

import dataclasses
import enum
from collections import abc

from cranberryrill.configuration import document


class DifferenceKind(enum.Enum):
    """Say what becomes of an object."""

    added = '+'
    changed = '~'
    removed = '-'


@dataclasses.dataclass(frozen=True)
class Difference:
    """Name an object that differs, and how."""

    kind: DifferenceKind
    path: str
    details: tuple[str, ...] = ()

    def __str__(self) -> str:
        """Explain the difference in one line."""
        explained = ', '.join(self.details)
        line = f'{self.kind.value} {self.path}'
        return f'{line}: {explained}' if explained else line


def compare(
    held: document.Document,
    wanted: document.Document,
) -> list[Difference]:
    """Return what leads from `held` to `wanted`."""
    differences: list[Difference] = []
    for kind in document.KINDS:
        differences.extend(_compare_kind(kind, held, wanted))
    return differences


def _compare_kind(
    kind: str,
    held: document.Document,
    wanted: document.Document,
) -> abc.Iterator[Difference]:
    old = {named.name: named for named in getattr(held, kind)}
    new = {named.name: named for named in getattr(wanted, kind)}
    for name in sorted(old.keys() | new.keys()):
        place = f'{kind}/{name}'
        if name not in old:
            yield Difference(DifferenceKind.added, place)
        elif name not in new:
            yield Difference(DifferenceKind.removed, place)
        elif old[name] != new[name]:
            details = tuple(_changes(old[name], new[name]))
            yield Difference(DifferenceKind.changed, place, details)


def _changes(
    old: document.ConfigObject,
    new: document.ConfigObject,
) -> abc.Iterator[str]:
    for field in dataclasses.fields(old):
        before = getattr(old, field.name)
        after = getattr(new, field.name)
        if before != after:
            yield f'{field.name} {before} -> {after}'
