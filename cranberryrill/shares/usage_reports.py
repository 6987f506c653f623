"""Reports of one entry to the others on what organisations have used.

Handles the load of many organisations at many entries: what is sent is bounded
in bytes, whatever the number of changes and of entries that listen.
"""

import collections
import dataclasses
import math
import weakref
from collections import abc as collection_types

from cranberryrill import identifiers
from cranberryrill.forwarding import loads_pb2
from cranberryrill.shares import decay, recording, shares

PERIOD_SECONDS = 0.5
# What has changed by less than this part, beyond its decay, is not sent.
MIN_CHANGE = 0.05
# Less than this is as good as nothing; a request uses more in 10 ms.
MIN_USED = 0.01
# Of the 11 KB/s that a node may exchange with others, nearly half. It is what
# all streams of an entry may carry together, and what 24 may that it watches.
BYTES_PER_SECOND = 4800
STREAM_BYTES_PER_SECOND = 200
# What was not needed may be sent within this time.
BURST_SECONDS = 2.0
# Batches that are kept for the streams, each for one period. A stream is opened
# again after 1.3 s of silence and then starts from all uses.
MAX_BATCHES = 16
# Uses of entries that are gone which a new stream begins with, at most.
MAX_RELAYED = 600
ORIGIN_LENGTH = 8
# Tag and length of a record in its message.
RECORD_PREFIX_BYTES = 2
Key = tuple[str, str]
Records = list[loads_pb2.OrganisationUsage]


@dataclasses.dataclass(frozen=True)
class Batch:
    """Changes that all streams send; sequence numbers increase by 1."""

    sequence: int
    records: Records


class Publisher:
    """Selects the changes of the uses through this entry.

    The selection is made once for all streams, so that its processor time does
    not grow with the number of entries that listen.
    """

    def __init__(self, recorder: recording.ShareRecorder) -> None:
        self.recorder = recorder
        self.origin = identifiers.new_identifier('')[-ORIGIN_LENGTH:]
        # What every stream has, or will have after the batches.
        self.published: dict[Key, decay.DecayingSum] = {}
        self.batches: collections.deque[Batch] = collections.deque(
            maxlen=MAX_BATCHES
        )
        self.batch_count = 0
        self.refreshed_at = -math.inf
        self.affordable_bytes = 0.0
        self.streams: weakref.WeakSet[Stream] = weakref.WeakSet()

    def refresh(self, now: float) -> None:
        """Select the changes of the last period, if it is over."""
        elapsed = now - self.refreshed_at
        if elapsed < PERIOD_SECONDS:
            return
        self.refreshed_at = now
        rate = min(
            STREAM_BYTES_PER_SECOND,
            BYTES_PER_SECOND / max(len(self.streams), 1),
        )
        self.affordable_bytes = min(
            self.affordable_bytes + rate * elapsed, rate * BURST_SECONDS
        )
        if elapsed > BURST_SECONDS:
            # No stream was open. The first one begins with all uses.
            self.affordable_bytes = math.inf
        records = self._affordable_changes(now)
        if records:
            self.batch_count += 1
            self.batches.append(Batch(self.batch_count, records))

    def complete(self, now: float) -> Records:
        """Return all that was published, decayed to the time `now`."""
        return [
            self._encode(key, counted.value(now))
            for key, counted in self.published.items()
        ]

    def _affordable_changes(self, now: float) -> Records:
        """Take the largest changes for published, while bytes are left.

        One record may overdraw what is left, and the next ones wait for it.
        """
        self.recorder.accrue(now)
        current = {
            (usage.service, usage.organisation): usage.used
            for usage in self.recorder.shares.summary(now)
            if usage.used >= MIN_USED
        }
        records: Records = []
        for key in self._changed_keys(current, now):
            if self.affordable_bytes <= 0:
                break
            record = self._publish(key, current, now)
            records.append(record)
            self.affordable_bytes -= record.ByteSize() + RECORD_PREFIX_BYTES
        return records

    def _changed_keys(
        self, current: collection_types.Mapping[Key, float], now: float
    ) -> list[Key]:
        """Return what has changed, the largest part of a service first.

        Organisations that are no longer listed come before all: they count
        twice until this is known, here and in the rest.
        """
        totals = _service_totals(current)
        sizes: dict[Key, float] = {}
        for key in current.keys() | self.published.keys():
            counted = self.published.get(key)
            known = 0 if counted is None else counted.value(now)
            latest = current.get(key, 0)
            change = abs(latest - known)
            if not latest:
                sizes[key] = math.inf
            elif change > MIN_CHANGE * max(latest, known):
                sizes[key] = change / totals[key[0]]
        return sorted(sizes, key=lambda changed: (-sizes[changed], changed))

    def _publish(
        self,
        key: Key,
        current: collection_types.Mapping[Key, float],
        now: float,
    ) -> loads_pb2.OrganisationUsage:
        used = current.get(key, 0)
        if used:
            self.published[key] = decay.DecayingSum(used, now)
        else:
            del self.published[key]
        return self._encode(key, used)

    def _encode(self, key: Key, used: float) -> loads_pb2.OrganisationUsage:
        service, organisation = key
        return loads_pb2.OrganisationUsage(
            service=service,
            organisation=organisation,
            used=used,
            origin=self.origin,
        )


class Receiver:
    """Merges the reports of the other entries into the shares.

    Uses are kept by the start of the entry that they went through, its origin:
    an entry that has restarted counts anew, beside what it had said before.
    """

    def __init__(
        self, organisation_shares: shares.Shares, own_origin: str
    ) -> None:
        self.shares = organisation_shares
        self.own_origin = own_origin
        # Origin of each entry that is connected.
        self.connected: dict[str, str] = {}
        # Origins known only from what others passed on. It is not passed on
        # again: a restarted entry would send it to all that listen.
        self.hearsay: set[str] = set()

    def apply(
        self, entry: str, update: loads_pb2.LoadUpdate, now: float
    ) -> None:
        """Merge the uses that an update of an entry holds."""
        by_origin: dict[str, list[shares.Usage]] = {}
        relayed: dict[str, list[shares.Usage]] = {}
        for record in update.usage:
            chosen = relayed if record.relayed else by_origin
            chosen.setdefault(record.origin or entry, []).append(
                shares.Usage(record.service, record.organisation, record.used)
            )
        # An entry reports only on its own start.
        for origin, summary in list(by_origin.items())[:1]:
            if origin != self.own_origin:
                self.connected[entry] = origin
                self.hearsay.discard(origin)
                self.shares.merge(origin, summary, now, is_complete=update.full)
        for gone, summary in relayed.items():
            self._merge_relayed(gone, summary, now)
        self.shares.forget_gone(self.connected.values(), now)
        self.hearsay &= self.shares.received.keys()

    def disconnect(self, entry: str) -> None:
        """Keep what an entry has said until it has decayed."""
        self.connected.pop(entry, None)

    def relayed_records(self, now: float) -> Records:
        """Return the heaviest uses through entries that are gone.

        An entry that has restarted learns from them what went through it.
        """
        known = self.hearsay.union(self.connected.values())
        gone = self.shares.received.keys() - known
        records = [
            loads_pb2.OrganisationUsage(
                service=usage.service,
                organisation=usage.organisation,
                used=usage.used,
                origin=origin,
                relayed=True,
            )
            for origin in gone
            for usage in self.shares.received_summary(origin, now)
            if usage.used >= MIN_USED
        ]
        totals = _service_totals(
            {
                (record.service, f'{record.origin} {record.organisation}'): (
                    record.used
                )
                for record in records
            }
        )
        records.sort(
            key=lambda relayed: -relayed.used / totals[relayed.service]
        )
        return records[:MAX_RELAYED]

    def _merge_relayed(
        self, origin: str, summary: list[shares.Usage], now: float
    ) -> None:
        """Merge what others say of an entry that is gone, if it is news.

        Several say about the same of it, and the entry itself knows better.
        """
        if origin == self.own_origin or origin in self.shares.received:
            return
        # Hearsay doesn't replace what an entry said itself.
        if len(self.shares.received) < shares.MAX_ENTRIES:
            self.hearsay.add(origin)
            self.shares.merge(origin, summary, now)


class Stream:
    """Reports that one other entry lacks."""

    def __init__(self, publisher: Publisher, receiver: Receiver) -> None:
        self.publisher = publisher
        self.receiver = receiver
        self.sequence: int | None = None
        publisher.streams.add(self)

    def next_records(self, now: float) -> Records:
        """Return the records that are news, and take them for sent."""
        self.publisher.refresh(now)
        previous = self.sequence
        self.sequence = self.publisher.batch_count
        if previous is None:
            return [
                *self.publisher.complete(now),
                *self.receiver.relayed_records(now),
            ]
        return [
            record
            for batch in self.publisher.batches
            if batch.sequence > previous
            for record in batch.records
        ]


class UsageExchange:
    """What an entry has used, sends and receives of uses."""

    def __init__(self) -> None:
        self.shares = shares.Shares()
        self.recorder = recording.ShareRecorder(self.shares)
        self.publisher = Publisher(self.recorder)
        self.receiver = Receiver(self.shares, self.publisher.origin)

    def open_stream(self) -> Stream:
        """Return the reports for an entry that begins to listen."""
        return Stream(self.publisher, self.receiver)


def _service_totals(
    uses: collection_types.Mapping[Key, float],
) -> dict[str, float]:
    """Return the sum of the uses of each service."""
    totals: dict[str, float] = {}
    for (service, _), used in uses.items():
        totals[service] = totals.get(service, 0) + used
    return totals
