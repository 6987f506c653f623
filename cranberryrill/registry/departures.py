"""Replicated state of the upstreams that have announced their departure.

An acknowledged departure must hold whatever becomes of the member that
acknowledged it, so it is committed to the log first. Heartbeats are not: an
upstream sends the next one soon, but it announces its departure only once.
"""

import collections
import logging
from collections import abc as collection_types

from google.protobuf import message

from cranberryrill.registry import endings, registry_pb2, timing
from cranberryrill.state import commands_pb2

LOGGER = logging.getLogger(__name__)
MILLISECONDS_PER_SECOND = 1000
# A few days of departures at 230 restarts a day; about 100 bytes each.
MAX_DEPARTURES = 2048

# Applies a departure to the registrations; returns whether it was news. Also
# takes the Unix milliseconds of its commit, 0 if they are not known.
Register = collection_types.Callable[[registry_pb2.RecordDeparture, int], bool]


class DeparturesState:
    """Slice of the replicated state with the newest departure of each id.

    `register` is called with each departure that is applied or restored, since
    the registrations of a member start empty.
    """

    name = 'departures'
    kinds = ('record_departure',)

    def __init__(self, register: Register) -> None:
        self.register = register
        self.by_id: collections.OrderedDict[
            str, registry_pb2.RecordDeparture
        ] = collections.OrderedDict()

    def covers(self, departure: registry_pb2.RecordDeparture) -> bool:
        """Return whether this or a later departure of the id is recorded."""
        recorded = self.by_id.get(departure.registration.id)
        if recorded is None or _order(recorded) < _order(departure):
            return False
        return not recorded.covered_until_unix_ms or not endings.has_returned(
            recorded.registration, departure.registration
        )

    def apply(
        self,
        command: commands_pb2.Command,
        index: int,
        unix_ms: int,
    ) -> message.Message:
        """Record a departure, unless a later one of the id is recorded."""
        departure = command.record_departure
        if not self.covers(departure):
            self.by_id[departure.registration.id] = departure
            self.by_id.move_to_end(departure.registration.id)
            while len(self.by_id) > MAX_DEPARTURES:
                self.by_id.popitem(last=False)
            LOGGER.info(
                'departure recorded',
                extra={
                    'upstream': departure.registration.id,
                    'removed': departure.removed,
                    'covered_until_unix_ms': departure.covered_until_unix_ms,
                    'taken': self.register(departure, unix_ms),
                },
            )
        return registry_pb2.DepartureOutcome()

    def dump(self) -> bytes:
        """Return the whole state for a snapshot."""
        dump = registry_pb2.DeparturesDump(departures=self.by_id.values())
        return dump.SerializeToString(deterministic=True)

    def load(self, content: bytes) -> None:
        """Replace the state with the content of a snapshot."""
        dump = registry_pb2.DeparturesDump.FromString(content)
        self.by_id = collections.OrderedDict(
            (departure.registration.id, departure)
            for departure in dump.departures
        )
        for departure in dump.departures:
            self.register(departure, 0)


def age_seconds(committed_unix_ms: int, now_unix_ms: int) -> float:
    """Return how long ago a departure was committed, up to a limit."""
    elapsed_ms = max(now_unix_ms - committed_unix_ms, 0)
    return min(
        elapsed_ms / MILLISECONDS_PER_SECOND,
        timing.RESTORED_DEPARTURE_AGE_SECONDS,
    )


def _order(
    departure: registry_pb2.RecordDeparture,
) -> tuple[int, bool, int]:
    started_ms = departure.registration.started_unix_ms
    latest_start_ms = max(started_ms, departure.covered_until_unix_ms)
    return latest_start_ms, departure.removed, started_ms
