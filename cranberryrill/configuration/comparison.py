"""Compare two configuration documents object by object."""

import dataclasses
import enum
from collections import abc

from cranberryrill.configuration import document


class DifferenceKind(enum.Enum):
    """How an object differs; the value marks it in printed output."""

    added = '+'
    changed = '~'
    removed = '-'


@dataclasses.dataclass(frozen=True)
class Difference:
    """One object that differs between two documents.

    `path` has the form `kind/name`. `details` lists the changed fields and is
    empty for an object that was added or removed.
    """

    kind: DifferenceKind
    path: str
    details: tuple[str, ...] = ()

    def __str__(self) -> str:
        """Return the difference as one line."""
        joined = ', '.join(self.details)
        line = f'{self.kind.value} {self.path}'
        return f'{line}: {joined}' if joined else line


def compare(
    current: document.Document,
    new: document.Document,
) -> list[Difference]:
    """Return the differences that replacing `current` by `new` makes."""
    differences: list[Difference] = []
    for kind in document.KINDS:
        differences.extend(_compare_kind(kind, current, new))
    return differences


def _compare_kind(
    kind: str,
    current: document.Document,
    new: document.Document,
) -> abc.Iterator[Difference]:
    old_objects = {known.name: known for known in getattr(current, kind)}
    new_objects = {known.name: known for known in getattr(new, kind)}
    for name in sorted(old_objects.keys() | new_objects.keys()):
        path = f'{kind}/{name}'
        if name not in old_objects:
            yield Difference(DifferenceKind.added, path)
        elif name not in new_objects:
            yield Difference(DifferenceKind.removed, path)
        elif old_objects[name] != new_objects[name]:
            details = tuple(
                _changed_fields(old_objects[name], new_objects[name]),
            )
            yield Difference(DifferenceKind.changed, path, details)


def _changed_fields(
    old: document.ConfigObject,
    new: document.ConfigObject,
) -> abc.Iterator[str]:
    for field in dataclasses.fields(old):
        before = getattr(old, field.name)
        after = getattr(new, field.name)
        if before != after:
            yield f'{field.name} {before} -> {after}'
