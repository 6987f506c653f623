"""Commit the departures of upstreams before they are acknowledged."""

import asyncio
import dataclasses
import logging

import result

from cranberryrill import clock, failures
from cranberryrill.registry import departures, registry_pb2, table
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
        drain_seconds: float,
    ) -> None:
        self.registry = registry
        self.recorded = recorded
        self.proposer = proposer
        # How long an upstream serves on after its end was acknowledged.
        self.drain_seconds = drain_seconds

    async def find(
        self, upstream: str, now: float
    ) -> registry_pb2.Registration:
        """Return the registration of the incarnation that ends.

        An upstream may register at one member and deregister at another, so one
        that is unknown here is awaited for a moment. If it stays unknown, the
        result stands for each incarnation that has started up to now.
        """
        deadline = now + SIGHTING_TIMEOUT_SECONDS
        known = self._find_known(upstream, now)
        while known is None:
            if clock.monotonic_seconds() >= deadline:
                return registry_pb2.Registration(
                    id=upstream, started_unix_ms=clock.unix_milliseconds()
                )
            await asyncio.sleep(SIGHTING_POLL_SECONDS)
            known = self._find_known(upstream, now)
        return known

    def _find_known(
        self, upstream: str, now: float
    ) -> registry_pb2.Registration | None:
        """Return the newest registration, if its end may be announced now.

        Soon after an end, another announcement is a repeat. After the drain
        time a later incarnation may have started, and ends.
        """
        record = self.registry.records.get(upstream)
        if record is None:
            return None
        if record.removed and now >= record.updated_at + self.drain_seconds:
            return None
        return record.registration

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
                'committed': is_committed,
                'elapsed_ms': int(seconds * MILLISECONDS_PER_SECOND),
            },
        )
        if is_committed:
            return result.Ok(None)
        return result.Err(NotRecorded('the departure is not committed'))
