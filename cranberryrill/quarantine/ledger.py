"""Evidence on prompt parts and requests, shared by entries and control members.

Each entry records what it sees and merges what the others have seen. Merging
is idempotent and the order doesn't matter, so all processes converge. A
process that has restarted receives all records again.
"""

import collections
import dataclasses
import logging
from collections import abc as collection_types

from cranberryrill.quarantine import (
    quarantine_pb2,
    records,
    request_key,
    verdict,
)
from cranberryrill.settings import quarantine_limits

LOGGER = logging.getLogger(__name__)
# A request that upstreams survived before it was quarantined may have been
# open by chance where they ended, as in a loss of power. It is tried again
# after this time.
KNOWN_REQUEST_SECONDS = 10.0
# Crashes remembered of one suspect.
MAX_CRASHES = 16
# A time is replaced by a later one only if it is later by this much. Messages
# shift times by their transit, which must not pass for news.
COMPLETION_TOLERANCE_SECONDS = 0.5
SEEN_TOLERANCE_SECONDS = 30.0


class Ledger:
    """Records of suspected prompt parts and requests, bounded, by key.

    `change_number` increases with each stored record.
    """

    def __init__(self, limits: quarantine_limits.QuarantineLimits) -> None:
        self.limits = limits
        self.records: dict[str, records.SuspectRecord] = {}
        # Number of requests with a record, by the keys of their heads.
        self.request_heads: collections.Counter[str] = collections.Counter()
        self.change_number = 0

    def record_crash(
        self,
        key: str,
        crash: records.Crash,
        completed_at: float = records.NEVER,
    ) -> None:
        """Record that an upstream ended under a request.

        `completed_at` is when an upstream last survived a response to the part
        or request, as far as this process knows.
        """
        self._merge(
            records.SuspectRecord(
                key,
                crashes=(crash,),
                completed_at=completed_at,
                seen_at=crash.ended_at,
            )
        )

    def record_completion(self, key: str, now: float) -> None:
        """Record that an upstream responded to a suspect and ran on."""
        if key in self.records:
            self._merge(records.SuspectRecord(key, completed_at=now))

    def recall_completions(
        self, completed_at: collection_types.Mapping[str, float]
    ) -> None:
        """Add earlier completions to the records of suspects without any.

        Another process may have recorded a crash under a part of which only
        this one knows that upstreams survive it.
        """
        for key, record in list(self.records.items()):
            if record.completed_at == records.NEVER and key in completed_at:
                self._merge(
                    records.SuspectRecord(key, completed_at=completed_at[key])
                )

    def record_refusal(self, key: str, now: float) -> None:
        """Record that a quarantined request was refused."""
        self._merge(records.SuspectRecord(key, seen_at=now))

    def quarantine(self, now: float) -> list[str]:
        """Quarantine what is fatal by the evidence; return the keys."""
        fatal = verdict.fatal_keys(self.records.values(), self.limits)
        for key in fatal:
            self._merge(records.SuspectRecord(key, quarantined_at=now))
        return fatal

    def quarantined_key(
        self, keys: collection_types.Iterable[str]
    ) -> str | None:
        """Return the first of `keys` that is quarantined, or None.

        With the quarantine turned off, none is, whatever others say.
        """
        for key in keys:
            record = self.records.get(key)
            if record is None or not record.is_quarantined:
                continue
            if self.limits.crashes_for(is_request=record.is_request):
                return key
        return None

    def quarantined_count(self, *, requests: bool) -> int:
        """Return how many requests are quarantined, or else prompt parts."""
        return sum(
            record.is_quarantined and record.is_request == requests
            for record in self.records.values()
        )

    def may_be_fatal(self, keys: collection_types.Iterable[str]) -> bool:
        """Return whether one of `keys` may have crashed an upstream."""
        return any(
            verdict.may_be_fatal(self.records[key])
            for key in keys
            if key in self.records
        )

    def names_crash_of(self, incarnation: str) -> bool:
        """Return whether an incarnation is known to have ended."""
        return any(
            crash.incarnation == incarnation
            for record in self.records.values()
            for crash in record.crashes
        )

    def changes_since(
        self, change_number: int, now: float
    ) -> list[quarantine_pb2.SuspectRecord]:
        """Return the records stored after `change_number`, as messages."""
        return [
            records.encode(record, now)
            for record in self.records.values()
            if record.change_number > change_number
        ]

    def merge(
        self,
        messages: collection_types.Iterable[quarantine_pb2.SuspectRecord],
        now: float,
    ) -> bool:
        """Merge records of another process; return whether any was news."""
        before = self.change_number
        for message in messages:
            record = records.decode(message, now)
            if not self._is_expired(record, now):
                self._merge(record)
        return self.change_number != before

    def expire(self, now: float) -> None:
        """Drop the records of suspects that have not been seen for long."""
        for record in list(self.records.values()):
            if self._is_expired(record, now):
                self._remove(record, 'not seen for long')

    def _is_expired(self, record: records.SuspectRecord, now: float) -> bool:
        if record.is_request and record.is_quarantined:
            if record.completed_at != records.NEVER:
                return now >= record.quarantined_at + KNOWN_REQUEST_SECONDS
        lifetime = (
            self.limits.idle_seconds
            if record.is_quarantined
            else self.limits.evidence_seconds
        )
        return now >= record.seen_at + lifetime

    def _merge(self, incoming: records.SuspectRecord) -> None:
        current = self.records.get(incoming.key)
        if current is None:
            self._store(incoming)
            self._evict(is_request=incoming.is_request)
            return
        merged = dataclasses.replace(
            current,
            crashes=_merged_crashes(current.crashes, incoming.crashes),
            completed_at=_later(
                current.completed_at,
                incoming.completed_at,
                COMPLETION_TOLERANCE_SECONDS,
            ),
            seen_at=_later(
                current.seen_at, incoming.seen_at, SEEN_TOLERANCE_SECONDS
            ),
        )
        if not current.is_quarantined:
            merged = _with_quarantine(merged, incoming.quarantined_at)
        if merged != current:
            self._store(merged)

    def _store(self, record: records.SuspectRecord) -> None:
        previous = self.records.get(record.key)
        was_quarantined = previous is not None and previous.is_quarantined
        self.change_number += 1
        self.records[record.key] = dataclasses.replace(
            record, change_number=self.change_number
        )
        if previous is None and record.is_request:
            self.request_heads[request_key.head_of(record.key)] += 1
        if record.is_quarantined and not was_quarantined:
            _log_quarantine(record)
        if was_quarantined and not record.is_quarantined:
            _log_release(record, 'an upstream ran on under it')

    def _evict(self, *, is_request: bool) -> None:
        """Drop the suspect that has been unseen for longest, if there are more.

        Only those of the same kind compete, so that requests, which each caller
        can vary at will, don't displace prompt parts. Quarantined ones are
        dropped last.
        """
        rivals = [
            record
            for record in self.records.values()
            if record.is_request == is_request
        ]
        limit = (
            self.limits.max_requests if is_request else self.limits.max_parts
        )
        if len(rivals) <= limit:
            return
        evicted = min(
            rivals, key=lambda record: (record.is_quarantined, record.seen_at)
        )
        self._remove(evicted, 'too many suspects')

    def _remove(self, record: records.SuspectRecord, cause: str) -> None:
        del self.records[record.key]
        if record.is_request:
            head = request_key.head_of(record.key)
            self.request_heads[head] -= 1
            if not self.request_heads[head]:
                del self.request_heads[head]
        if record.is_quarantined:
            _log_release(record, cause)


def _log_quarantine(record: records.SuspectRecord) -> None:
    upstreams = [crash.incarnation for crash in record.crashes]
    if record.is_request:
        LOGGER.warning(
            'request quarantined',
            extra={'request_key': record.key, 'upstreams': upstreams},
        )
    else:
        LOGGER.warning(
            'part quarantined',
            extra={'part': record.key, 'upstreams': upstreams},
        )


def _log_release(record: records.SuspectRecord, cause: str) -> None:
    if record.is_request:
        LOGGER.warning(
            'request released',
            extra={'request_key': record.key, 'cause': cause},
        )
    else:
        LOGGER.warning(
            'part released', extra={'part': record.key, 'cause': cause}
        )


def _merged_crashes(
    current: tuple[records.Crash, ...], incoming: tuple[records.Crash, ...]
) -> tuple[records.Crash, ...]:
    """Return the newest crashes, one for each incarnation."""
    known = {crash.incarnation for crash in current}
    added = tuple(crash for crash in incoming if crash.incarnation not in known)
    if not added:
        return current
    merged = sorted(current + added, key=lambda crash: crash.ended_at)
    return tuple(merged[-MAX_CRASHES:])


def _with_quarantine(
    record: records.SuspectRecord, quarantined_at: float
) -> records.SuspectRecord:
    """Return the record with a quarantine that began after its last release."""
    was_released = record.quarantined_at != records.NEVER
    tolerance = COMPLETION_TOLERANCE_SECONDS if was_released else 0
    if quarantined_at <= record.completed_at + tolerance:
        return record
    return dataclasses.replace(record, quarantined_at=quarantined_at)


def _later(current: float, incoming: float, tolerance: float) -> float:
    """Return `incoming` if it is later than `current` by the tolerance."""
    return incoming if incoming > current + tolerance else current
