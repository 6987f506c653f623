"""Records of the registration table, and what of them affects routing."""

import dataclasses
import math

from cranberryrill.registry import registry_pb2

MILLISECONDS_PER_SECOND = 1000


@dataclasses.dataclass(frozen=True)
class FirstHeard:
    """The first heartbeat that was received of one incarnation."""

    started_unix_ms: int
    # Monotonic seconds.
    heard_at: float
    # Whether it is the first one that the incarnation sent.
    is_first_sent: bool

    def earliest_time_ms(self, now: float) -> float:
        """Return a lower bound of the time by the clock of the upstream.

        It has run at least since the heartbeat was received.
        """
        elapsed_ms = (now - self.heard_at) * MILLISECONDS_PER_SECOND
        return self.started_unix_ms + elapsed_ms


@dataclasses.dataclass(frozen=True)
class Record:
    """The newest registration of one upstream, and whether it has ended."""

    registration: registry_pb2.Registration
    # Monotonic seconds of the last heartbeat, or of the removal.
    updated_at: float
    removed: bool = False
    # Value of the table's change number when this record was stored.
    change_number: int = 0
    # Monotonic end of the cold time that watchers are told.
    cold_until: float = -math.inf
    # Up to this start announced ends have been applied, in Unix milliseconds; 0
    # if there were none. A registration that is not removed outlasted them.
    covered_until_ms: int = 0
    # First heartbeat of this incarnation that came to this process, or to a
    # member that told it; None before that.
    first_heard: FirstHeard | None = None

    @property
    def started_unix_ms(self) -> int:
        """Return the start of the newest known incarnation."""
        return self.registration.started_unix_ms

    @property
    def ended_until_ms(self) -> int:
        """Return the latest start that has ended, if the record is removed."""
        return max(self.covered_until_ms, self.started_unix_ms)

    def departure(self) -> registry_pb2.RecordDeparture | None:
        """Return the departure that ended the upstream, if it announced one."""
        if not self.removed or not self.covered_until_ms:
            return None
        return registry_pb2.RecordDeparture(
            registration=self.registration,
            removed=True,
            covered_until_unix_ms=self.covered_until_ms,
        )


def changes_routing(current: Record, stored: Record) -> bool:
    """Return whether watchers need to be told of a new record."""
    if current.removed or stored.removed:
        return current.removed != stored.removed
    if stored.cold_until > current.cold_until:
        return True
    return routing_differs(current.registration, stored.registration)


def routing_differs(
    one: registry_pb2.Registration,
    other: registry_pb2.Registration,
) -> bool:
    """Return whether two registrations differ in what routing uses."""
    return _routing_content(one) != _routing_content(other)


def _routing_content(registration: registry_pb2.Registration) -> bytes:
    content = registry_pb2.Registration()
    content.CopyFrom(registration)
    # These change with each heartbeat. Routing needs no sequence, and of the
    # cold time only a later end than the one it knows (`cold_until`).
    content.ClearField('sequence')
    content.ClearField('warm_up_ms')
    return content.SerializeToString(deterministic=True)
