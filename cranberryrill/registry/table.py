"""Keep the newest registration of each upstream, as all members agree.

Members merge what each of them hears. Which of two registrations is newer
follows from themselves alone, so the order of their arrival is no matter.
"""

import dataclasses

from cranberryrill.registry import registry_pb2, timing

MILLISECONDS_PER_SECOND = 1000


@dataclasses.dataclass(frozen=True)
class Record:
    """Hold what is known of one upstream."""

    registration: registry_pb2.Registration
    last_heartbeat_at: float
    removed: bool = False
    # Grows with each change anywhere in the table.
    change_number: int = 0


class RegistrationTable:
    """Decide which upstreams there are."""

    def __init__(
        self,
        heartbeat_seconds: float = timing.DEFAULT_HEARTBEAT_SECONDS,
    ) -> None:
        self.lifetime_seconds = heartbeat_seconds * timing.MISSED_HEARTBEATS
        self.records: dict[str, Record] = {}
        self.change_number = 0
        # Grows only when the set that watchers use has changed.
        self.version = 0

    def record(
        self,
        registration: registry_pb2.Registration,
        now: float,
        *,
        removed: bool = False,
    ) -> bool:
        """Take a registration unless a newer one is known."""
        before = self.records.get(registration.id)
        if before is not None and not _is_newer(before, registration, removed):
            return False
        if not removed and self._has_newer_holder(registration):
            return False
        self._store(registration, now, removed=removed)
        if not removed:
            self._remove_previous_holders(registration, now)
        return True

    def remove(self, upstream: str, now: float) -> bool:
        """Take an upstream's word that it ends."""
        known = self.records.get(upstream)
        if known is None or known.removed:
            return False
        self._store(known.registration, now, removed=True)
        return True

    def expire(self, now: float) -> list[str]:
        """Drop upstreams that fell silent, and forget those long gone.

        One that was only cut off comes back with its next heartbeat.
        """
        silent = [
            name
            for name, known in self.records.items()
            if not known.removed
            and now >= known.last_heartbeat_at + self.lifetime_seconds
        ]
        if silent:
            self.version += 1
        self.records = {
            name: known
            for name, known in self.records.items()
            if now < known.last_heartbeat_at + self._retention_seconds(known)
        }
        return silent

    def registrations(self) -> dict[str, registry_pb2.Registration]:
        """Return the upstreams that there are."""
        return {
            name: known.registration
            for name, known in self.records.items()
            if not known.removed
        }

    def sightings_since(
        self,
        stamp: int,
        now: float,
    ) -> list[registry_pb2.Sighting]:
        """Return what changed after `stamp`, for another member."""
        return [
            registry_pb2.Sighting(
                registration=known.registration,
                removed=known.removed,
                age_ms=max(
                    int(
                        (now - known.last_heartbeat_at)
                        * MILLISECONDS_PER_SECOND
                    ),
                    0,
                ),
            )
            for known in self.records.values()
            if known.change_number > stamp
        ]

    def merge(self, sighting: registry_pb2.Sighting, now: float) -> bool:
        """Take what another member knows."""
        last_heartbeat_at = now - sighting.age_ms / MILLISECONDS_PER_SECOND
        if (
            not sighting.removed
            and now >= last_heartbeat_at + self.lifetime_seconds
        ):
            return False
        return self.record(
            sighting.registration,
            last_heartbeat_at,
            removed=sighting.removed,
        )

    def _retention_seconds(self, known: Record) -> float:
        return (
            timing.REMOVED_RETENTION_SECONDS
            if known.removed
            else self.lifetime_seconds
        )

    def _store(
        self,
        registration: registry_pb2.Registration,
        now: float,
        *,
        removed: bool,
    ) -> None:
        before = self.records.get(registration.id)
        self.change_number += 1
        self.records[registration.id] = Record(
            registration,
            now,
            removed,
            self.change_number,
        )
        if before is None or _changes_routing(before, registration, removed):
            self.version += 1

    def _has_newer_holder(self, wanted: registry_pb2.Registration) -> bool:
        """Say whether a later incarnation runs at the same address."""
        return any(
            not known.removed
            and known.registration.id != wanted.id
            and _address(known.registration) == _address(wanted)
            and known.registration.started_unix_ms > wanted.started_unix_ms
            for known in self.records.values()
        )

    def _remove_previous_holders(
        self,
        newest: registry_pb2.Registration,
        now: float,
    ) -> None:
        former = [
            known.registration
            for known in self.records.values()
            if not known.removed
            and known.registration.id != newest.id
            and _address(known.registration) == _address(newest)
        ]
        for registration in former:
            self._store(registration, now, removed=True)


def routing_differs(
    one: registry_pb2.Registration,
    other: registry_pb2.Registration,
) -> bool:
    """Say whether two registrations differ for those who send requests."""
    return _routing_content(one) != _routing_content(other)


def _routing_content(registration: registry_pb2.Registration) -> bytes:
    content = registry_pb2.Registration()
    content.CopyFrom(registration)
    # These change with each heartbeat and choose nothing.
    content.ClearField('sequence')
    content.ClearField('warm_up_ms')
    return content.SerializeToString(deterministic=True)


def _changes_routing(
    before: Record,
    registration: registry_pb2.Registration,
    removed: bool,
) -> bool:
    if before.removed != removed:
        return True
    return routing_differs(before.registration, registration)


def _address(registration: registry_pb2.Registration) -> tuple[str, int]:
    return registration.host, registration.port


def _is_newer(
    known: Record,
    registration: registry_pb2.Registration,
    removed: bool,
) -> bool:
    before = known.registration
    if registration.started_unix_ms != before.started_unix_ms:
        return registration.started_unix_ms > before.started_unix_ms
    if known.removed:
        # An incarnation that has ended does not come back.
        return False
    return removed or registration.sequence > before.sequence
