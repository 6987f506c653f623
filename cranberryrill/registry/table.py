"""The newest registration of each upstream, shared by the control members.

Each member records the heartbeats that it receives and merges the sightings of
the others. Which of two registrations is newer depends only on their contents,
so members converge in whatever order registrations arrive. What an announced
end covers is decided in `endings`.
"""

import math

from cranberryrill.registry import endings, records, registry_pb2, timing

MILLISECONDS_PER_SECOND = 1000
# Watchers are told a cold time longer by this than the heartbeat says, so that
# a later heartbeat that took longer on its way is no news.
COLD_MARGIN_SECONDS = 0.25
# Sequence number of the first heartbeat of an incarnation, or below.
FIRST_SEQUENCE = 1


class RegistrationTable:
    """Registrations by upstream name, with expiry and change tracking."""

    def __init__(
        self,
        heartbeat_seconds: float = timing.DEFAULT_HEARTBEAT_SECONDS,
        started_at: float = 0,
        drain_seconds: float = timing.DEFAULT_DRAIN_SECONDS,
    ) -> None:
        self.started_at = started_at
        # How long an upstream serves on after its end was acknowledged.
        self.drain_seconds = drain_seconds
        # From then on each living upstream has sent a heartbeat since the start
        # of this process, at `started_at` in monotonic seconds.
        self.complete_from = (
            started_at + heartbeat_seconds * timing.FIRST_HEARTBEAT_FACTOR
        )
        self.lifetime_seconds = heartbeat_seconds * timing.MISSED_HEARTBEATS
        self.restored_lifetime_seconds = (
            heartbeat_seconds * timing.RESTORED_HEARTBEATS
        )
        self.records: dict[str, records.Record] = {}
        # Whether registrations from before a restart were stored.
        self.is_restored = False
        # Increases with each stored record, heartbeats included.
        self.change_number = 0
        # Increases only when a change affects routing, so that watchers need an
        # update.
        self.version = 0

    def record(
        self,
        registration: registry_pb2.Registration,
        now: float,
        *,
        removed: bool = False,
        covered_until_ms: int = 0,
    ) -> bool:
        """Store a registration and return whether it was stored.

        Ignored if a newer one of the same upstream is stored, or if an
        upstream that started later is registered at the same address. A stored
        one removes other upstreams at its address. With `removed`, each start
        up to `covered_until_ms` has ended; else the ends up to then are known
        to whoever sent it. `now` is in monotonic seconds.
        """
        if removed:
            return self._end(registration, now, covered_until_ms)
        if not self._may_register(registration, now):
            return False
        if self._is_replaced(registration):
            return False
        current = self.records.get(registration.id)
        known_ms = current.covered_until_ms if current else 0
        self._store(
            registration, now, covered_until_ms=max(covered_until_ms, known_ms)
        )
        self._remove_replaced(registration, now)
        return True

    def restore(
        self, registration: registry_pb2.Registration, now: float
    ) -> bool:
        """Store a registration from before a restart of this process.

        It counts as older than any heartbeat, and expires soon without one.
        """
        self.is_restored = True
        updated_at = now - self.lifetime_seconds
        return self.record(
            registration, updated_at + self.restored_lifetime_seconds
        )

    def expire(self, now: float) -> list[str]:
        """Drop upstreams that missed their heartbeats and return their names.

        Such an upstream registers again with its next heartbeat. The records
        of upstreams that leave or have ended are kept for longer, so that an
        older heartbeat does not register them again.
        """
        silent = [
            name
            for name, record in self.records.items()
            if not record.removed
            and now >= record.updated_at + self._retention_seconds(record)
        ]
        if silent:
            self.version += 1
        self.records = {
            name: record
            for name, record in self.records.items()
            if now < record.updated_at + self._retention_seconds(record)
        }
        return silent

    def is_complete(self, now: float) -> bool:
        """Return whether every living upstream has had time to register."""
        return now >= self.complete_from

    def ended(self) -> set[str]:
        """Return the upstreams that are known to have ended."""
        return {name for name, record in self.records.items() if record.removed}

    def registrations(self) -> dict[str, registry_pb2.Registration]:
        """Return the registrations of the upstreams that have not ended."""
        return {
            name: record.registration
            for name, record in self.records.items()
            if not record.removed
        }

    def cold_ends(self) -> dict[str, float]:
        """Return when the cold time ends of upstreams that have not ended."""
        return {
            name: record.cold_until
            for name, record in self.records.items()
            if not record.removed
        }

    def sightings_since(
        self,
        change_number: int,
        now: float,
    ) -> list[registry_pb2.Sighting]:
        """Return the records stored after `change_number`, to share them."""
        return [
            registry_pb2.Sighting(
                registration=record.registration,
                removed=record.removed,
                covered_until_unix_ms=record.covered_until_ms,
                age_ms=max(
                    int((now - record.updated_at) * MILLISECONDS_PER_SECOND),
                    0,
                ),
            )
            for record in self.records.values()
            if record.change_number > change_number
        ]

    def merge(self, sighting: registry_pb2.Sighting, now: float) -> bool:
        """Store a sighting of another member; return whether it was stored.

        One that is older than its retention time is ignored.
        """
        updated_at = now - sighting.age_ms / MILLISECONDS_PER_SECOND
        record = records.Record(
            sighting.registration, updated_at, sighting.removed
        )
        if now >= updated_at + self._retention_seconds(record):
            return False
        return self.record(
            sighting.registration,
            updated_at,
            removed=sighting.removed,
            covered_until_ms=sighting.covered_until_unix_ms,
        )

    def _may_register(
        self, heartbeat: registry_pb2.Registration, now: float
    ) -> bool:
        current = self.records.get(heartbeat.id)
        if current is None:
            return True
        if not current.removed:
            return _is_newer(current.registration, heartbeat)
        effect = endings.effect_of(current, heartbeat, now, self.drain_seconds)
        if effect is endings.Effect.covered:
            self._store(
                heartbeat,
                current.updated_at,
                removed=True,
                covered_until_ms=max(
                    current.covered_until_ms, heartbeat.started_unix_ms
                ),
            )
        return effect is endings.Effect.registers

    def _end(
        self,
        registration: registry_pb2.Registration,
        now: float,
        covered_until_ms: int,
    ) -> bool:
        current = self.records.get(registration.id)
        newest = registration
        if current is not None:
            if not endings.is_news(
                current, registration, covered_until_ms, now
            ):
                return False
            if current.started_unix_ms > registration.started_unix_ms:
                newest = current.registration
            covered_until_ms = max(covered_until_ms, current.covered_until_ms)
        self._store(
            newest, now, removed=True, covered_until_ms=covered_until_ms
        )
        return True

    def _retention_seconds(self, record: records.Record) -> float:
        return (
            timing.REMOVED_RETENTION_SECONDS
            if record.removed or record.registration.leaving
            else self.lifetime_seconds
        )

    def _store(
        self,
        registration: registry_pb2.Registration,
        now: float,
        *,
        removed: bool = False,
        covered_until_ms: int = 0,
    ) -> None:
        current = self.records.get(registration.id)
        self.change_number += 1
        stored = records.Record(
            registration,
            now,
            removed,
            self.change_number,
            _cold_until(current, registration, now),
            covered_until_ms,
            self._first_heard(current, registration, now),
        )
        self.records[registration.id] = stored
        if current is None or records.changes_routing(current, stored):
            self.version += 1

    def _first_heard(
        self,
        current: records.Record | None,
        registration: registry_pb2.Registration,
        now: float,
    ) -> records.FirstHeard | None:
        started_ms = registration.started_unix_ms
        if current is not None and current.started_unix_ms == started_ms:
            known = current.first_heard
        else:
            known = None
        # One from the archive or from a snapshot was heard by an earlier
        # process.
        if known is not None or now < self.started_at or not started_ms:
            return known
        return records.FirstHeard(
            started_ms, now, registration.sequence <= FIRST_SEQUENCE
        )

    def _is_replaced(self, candidate: registry_pb2.Registration) -> bool:
        """Return whether a later upstream is registered at its address."""
        return any(
            not record.removed
            and record.registration.id != candidate.id
            and _address(record.registration) == _address(candidate)
            and record.registration.started_unix_ms > candidate.started_unix_ms
            for record in self.records.values()
        )

    def _remove_replaced(
        self,
        latest: registry_pb2.Registration,
        now: float,
    ) -> None:
        previous = [
            record.registration
            for record in self.records.values()
            if not record.removed
            and record.registration.id != latest.id
            and _address(record.registration) == _address(latest)
        ]
        for registration in previous:
            self._store(registration, now, removed=True)


def with_cold_time(
    registration: registry_pb2.Registration, cold_until: float, now: float
) -> registry_pb2.Registration:
    """Return a registration with the cold time that remains at `now`."""
    copied = registry_pb2.Registration()
    copied.CopyFrom(registration)
    remaining = max(cold_until - now, 0)
    copied.warm_up_ms = math.ceil(remaining * MILLISECONDS_PER_SECOND)
    return copied


def _cold_until(
    current: records.Record | None,
    registration: registry_pb2.Registration,
    now: float,
) -> float:
    """Return the end of the cold time to tell watchers.

    `now` is when the heartbeat was received. The end of an incarnation's cold
    time only moves later, as a heartbeat may be delayed, but not early.
    """
    known_until = -math.inf
    if (
        current is not None
        and current.registration.started_unix_ms == registration.started_unix_ms
    ):
        known_until = current.cold_until
    if not registration.warm_up_ms:
        return known_until
    until = now + registration.warm_up_ms / MILLISECONDS_PER_SECOND
    if until <= known_until:
        return known_until
    return until + COLD_MARGIN_SECONDS


def _address(registration: registry_pb2.Registration) -> tuple[str, int]:
    return registration.host, registration.port


def _is_newer(
    current: registry_pb2.Registration,
    registration: registry_pb2.Registration,
) -> bool:
    if registration.started_unix_ms != current.started_unix_ms:
        return registration.started_unix_ms > current.started_unix_ms
    return registration.sequence > current.sequence
