"""Decide when operators are told of the largest part of one organisation."""

import dataclasses
from collections import abc

from cranberryrill.shares import shares

# More than this part of a service is news while others wait for it.
LARGE_PART = 0.5
# A service is reported on at most once in this time.
REPEAT_SECONDS = 10.0


@dataclasses.dataclass(frozen=True)
class LargestPart:
    """Organisation that has used most of a service, and its part of all."""

    organisation: str = ''
    part: float = 0.0


def largest_part(uses: abc.Mapping[str, float]) -> LargestPart:
    """Return the largest part of one organisation of the uses of a service.

    That of an organisation that is not listed is smaller.
    """
    total = sum(uses.values())
    named = {name: used for name, used in uses.items() if name != shares.REST}
    if total <= 0 or not named:
        return LargestPart()
    largest = max(named, key=named.__getitem__)
    return LargestPart(largest, named[largest] / total)


class Monitor:
    """Selects what to report."""

    def __init__(self) -> None:
        self.reported_at: dict[str, float] = {}

    def is_news(
        self,
        service: str,
        largest: LargestPart,
        waiting: abc.Collection[str],
        now: float,
    ) -> bool:
        """Return whether to report a part now, and take it for reported.

        `waiting` holds the organisations whose requests wait.
        """
        if largest.part <= LARGE_PART:
            return False
        others = {name or shares.ANONYMOUS for name in waiting}
        if not others - {largest.organisation}:
            return False
        reported_at = self.reported_at.get(service)
        if reported_at is not None and now < reported_at + REPEAT_SECONDS:
            return False
        self.reported_at[service] = now
        return True
