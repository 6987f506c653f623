"""Commit the departures of upstreams before they are acknowledged."""

import asyncio
import dataclasses
import logging

import result

from cranberryrill import clock, failures
from cranberryrill.registry import (
    departures,
    endings,
    registry_pb2,
    table,
)
from cranberryrill.replication import proposals
from cranberryrill.state import commands_pb2

LOGGER = logging.getLogger(__name__)
MILLISECONDS_PER_SECOND = 1000
# An upstream calls another member after a second without an answer.
ANSWER_TIMEOUT_SECONDS = 0.9
# Members learn of each other's registrations within two exchanges.
SIGHTING_TIMEOUT_SECONDS = 0.5
SIGHTING_POLL_SECONDS = 0.02


@dataclasses.dataclass(frozen=True)
class NotRecorded(failures.Failure):
    """No majority stored the departure in time; it may still be committed."""

    code = 'departure_not_recorded'
    status = 503


class DepartureRecorder:
    """Record departures in this member at once, and in the log of all."""

    def __init__(
        self,
        registry: table.RegistrationTable,
        recorded: departures.DeparturesState,
        proposer: proposals.Proposer,
        unix_clock: clock.SteadyUnixClock,
    ) -> None:
        self.registry = registry
        self.recorded = recorded
        self.proposer = proposer
        self.unix_clock = unix_clock

    async def find_departure(
        self, upstream: str, now: float
    ) -> registry_pb2.RecordDeparture:
        """Return the departure of an upstream that announced its end at `now`.

        A repeat of the announcement gets the same departure.
        """
        repeated = self._find_repeated(upstream, now)
        if repeated is not None:
            return repeated
        known = await self._wait_for_start(upstream, now)
        drain_seconds = 0 if known.leaving else self.registry.drain_seconds
        arrival = endings.arrival_of(
            upstream,
            self.registry.records,
            self.unix_clock.unix_ms(now),
            now,
        )
        covered_until_ms = arrival.covered_until_ms(
            drain_seconds * MILLISECONDS_PER_SECOND
        )
        return registry_pb2.RecordDeparture(
            registration=known,
            removed=True,
            covered_until_unix_ms=max(covered_until_ms, known.started_unix_ms),
        )

    def _find_repeated(
        self, upstream: str, now: float
    ) -> registry_pb2.RecordDeparture | None:
        """Return the departure that was announced less than a drain time ago.

        A later incarnation can't have started since then, unless this one had
        drained before.
        """
        record = self.registry.records.get(upstream)
        if record is None or record.registration.leaving:
            return None
        if now >= record.updated_at + self.registry.drain_seconds:
            return None
        return record.departure()

    async def _wait_for_start(
        self, upstream: str, now: float
    ) -> registry_pb2.Registration:
        """Return the newest registration of an upstream; only its id if none.

        It may register at one member and announce its end to another, so one
        that is unknown here, or has ended here, is awaited for a moment.
        """
        deadline = now + SIGHTING_TIMEOUT_SECONDS
        while True:
            record = self.registry.records.get(upstream)
            is_living = record is not None and not record.removed
            if is_living or clock.monotonic_seconds() >= deadline:
                break
            await asyncio.sleep(SIGHTING_POLL_SECONDS)
        if record is None:
            return registry_pb2.Registration(id=upstream)
        return record.registration

    async def commit_covered(
        self, heartbeat: registry_pb2.Registration, now: float
    ) -> result.Result[None, NotRecorded]:
        """Commit that the incarnation of a heartbeat has ended, if it has.

        The log may hold the end under an earlier incarnation. If the heartbeats
        go on, the incarnation registers again; all members then tell this from
        the heartbeat that was committed.
        """
        ended = self.registry.records.get(heartbeat.id)
        if ended is None or ended.started_unix_ms != heartbeat.started_unix_ms:
            return result.Ok(None)
        departure = ended.departure()
        if departure is None:
            return result.Ok(None)
        return await self.commit(departure, now)

    async def commit(
        self, departure: registry_pb2.RecordDeparture, now: float
    ) -> result.Result[None, NotRecorded]:
        """Commit a departure that was announced at `now`.

        After an error it must not be acknowledged.
        """
        if self.recorded.covers(departure):
            return result.Ok(None)
        command = commands_pb2.Command(record_departure=departure)
        is_committed = await proposals.is_committed_by(
            self.proposer,
            command.SerializeToString(),
            now + ANSWER_TIMEOUT_SECONDS,
        )
        seconds = clock.monotonic_seconds() - now
        LOGGER.info(
            'departure announced',
            extra={
                'upstream': departure.registration.id,
                'started_unix_ms': departure.registration.started_unix_ms,
                'removed': departure.removed,
                'covered_until_unix_ms': departure.covered_until_unix_ms,
                'committed': is_committed,
                'elapsed_ms': int(seconds * MILLISECONDS_PER_SECOND),
            },
        )
        if is_committed:
            return result.Ok(None)
        return result.Err(NotRecorded('the departure is not committed'))
