"""Control members that hear heartbeats and apply departures, for replays."""

import asyncio
import random
import typing

from cranberryrill import clock
from cranberryrill.registry import (
    departure_recorder,
    departures,
    registry_pb2,
    table,
)
from cranberryrill.state import commands_pb2

# Unix time at the monotonic time 0, in milliseconds.
UNIX_MS = 1_700_000_000_000
Registration = registry_pb2.Registration


class Group:
    """Control members that hear of each heartbeat and apply each departure."""

    def __init__(self, rng: random.Random, error_seconds: float) -> None:
        self.rng = rng
        self.tables = [table.RegistrationTable() for _ in range(3)]
        self.log = departures.DeparturesState(lambda *_: True)
        self.error_seconds = error_seconds

    def hear(self, heartbeat: Registration, now: float) -> bool:
        """Receive a heartbeat at one member; return whether it registers.

        The others hear of it a moment later.
        """
        first = self.rng.choice(self.tables)
        change_number = first.change_number
        taken = first.record(heartbeat, now)
        for sighting in first.sightings_since(change_number, now):
            for other in self.tables:
                other.merge(sighting, now + self.rng.uniform(0.01, 0.25))
        record = first.records[heartbeat.id]
        ended = record.departure()
        if ended and record.started_unix_ms == heartbeat.started_unix_ms:
            self.apply(ended, record.updated_at)
        return taken

    def end(self, upstream: str, now: float) -> registry_pb2.RecordDeparture:
        """Announce the end of an upstream at one member; apply it at all."""
        first = self.rng.choice(self.tables)
        recorder = departure_recorder.DepartureRecorder(
            first,
            departures.DeparturesState(lambda *_: True),
            typing.cast(typing.Any, None),
            clock.SteadyUnixClock(
                0,
                UNIX_MS
                + int(self.error_seconds * clock.MILLISECONDS_PER_SECOND),
            ),
        )
        departure = asyncio.run(recorder.find_departure(upstream, now))
        self.apply(departure, now)
        return departure

    def apply(
        self, departure: registry_pb2.RecordDeparture, now: float
    ) -> None:
        """Apply a departure that was committed at `now`."""
        if self.log.covers(departure):
            return
        command = commands_pb2.Command(record_departure=departure)
        self.log.apply(command, 1, UNIX_MS)
        for each in self.tables:
            apply_at(each, departure, now + self.rng.uniform(0, 0.05))

    def knows(self, upstream: str) -> bool:
        return any(upstream in each.registrations() for each in self.tables)


def apply_at(
    member: table.RegistrationTable,
    departure: registry_pb2.RecordDeparture,
    now: float,
) -> None:
    member.record(
        departure.registration,
        now,
        removed=departure.removed,
        covered_until_ms=departure.covered_until_unix_ms,
    )


def heartbeat(
    started_at: float,
    sequence: int = 1,
    *,
    name: str = 'u1',
    ahead: float = 0,
) -> Registration:
    """Return a heartbeat of a start at monotonic time `started_at`.

    The clock of the upstream is ahead by that many seconds.
    """
    started_ms = UNIX_MS + int(
        (started_at + ahead) * clock.MILLISECONDS_PER_SECOND
    )
    return Registration(
        id=name,
        service='model',
        host=name,
        port=80,
        started_unix_ms=started_ms,
        sequence=sequence,
    )
