"""How fast the queue of one service is worked off."""

import dataclasses
import math
import typing
from collections import abc

from cranberryrill.queueing import waiting

# Measurements count half after this time: engine speeds change within seconds.
HALF_LIFE_SECONDS = 2.0
# The assumed rate counts as much as a measurement over this time.
ASSUMED_SECONDS = 0.25
MIN_PER_SECOND = 0.001
# Groups that are remembered; the oldest are forgotten first.
MAX_GROUPS = 2048


class Group(typing.NamedTuple):
    """Waiting requests that are worked off at a rate of their own."""

    rank: int
    # None for those of all organisations.
    organisation: str | None = None
    # Only those that will miss their target, which go behind the others.
    only_late: bool = False


@dataclasses.dataclass
class Measured:
    """Work that was sent while requests waited, and how long they waited."""

    work: float = 0.0
    seconds: float = 0.0
    decayed_at: float = -math.inf

    def decay(self, now: float) -> None:
        """Reduce what was measured by its age."""
        factor = math.exp2(-max(now - self.decayed_at, 0) / HALF_LIFE_SECONDS)
        self.work *= factor
        self.seconds *= factor
        self.decayed_at = now


class DrainRate:
    """Measures how much work of a group is sent while requests of it wait.

    What goes to more urgent ranks, to organisations that have used less, or to
    requests that can still meet their target, is thereby left out.
    """

    def __init__(self) -> None:
        self.by_group: dict[Group, Measured] = {}
        self.advanced_at = -math.inf

    def advance(
        self, requests: abc.Iterable[waiting.WaitingRequest], now: float
    ) -> None:
        """Count the time since the last call for the groups that wait."""
        elapsed = max(now - self.advanced_at, 0)
        self.advanced_at = now
        if math.isinf(elapsed):
            return
        groups = {
            group for request in requests for group in groups_of(request, now)
        }
        for group in groups:
            self._measured(group, now).seconds += elapsed

    def record_sent(self, request: waiting.WaitingRequest, now: float) -> None:
        """Record that a request is sent while its rank waits."""
        for group in groups_of(request, now):
            self._measured(group, now).work += request.work

    def per_second(self, group: Group, assumed: float, now: float) -> float:
        """Return the work a second of a group.

        `assumed` is the rate to start from, before any is measured.
        """
        work = assumed * ASSUMED_SECONDS
        seconds = ASSUMED_SECONDS
        if group in self.by_group:
            measured = self._measured(group, now)
            work += measured.work
            seconds += measured.seconds
        return max(work / seconds, MIN_PER_SECOND)

    def _measured(self, group: Group, now: float) -> Measured:
        measured = self.by_group.get(group)
        if measured is None:
            if len(self.by_group) >= MAX_GROUPS:
                del self.by_group[next(iter(self.by_group))]
            measured = Measured(decayed_at=now)
            self.by_group[group] = measured
        measured.decay(now)
        return measured


def groups_of(request: waiting.WaitingRequest, now: float) -> tuple[Group, ...]:
    """Return the groups that a waiting request belongs to."""
    groups = (
        Group(request.rank),
        Group(request.rank, request.organisation),
    )
    if now < request.late_at:
        return groups
    return (*groups, Group(request.rank, only_late=True))
