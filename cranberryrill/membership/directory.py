"""Directory of live entries and agents, built from their announcements."""

import dataclasses
from collections import abc

from cranberryrill.membership import membership_pb2, timing

# A process may serve this long after its last announcement, so a check
# whether a revision is in force must still count it.
ANNOUNCEMENT_LIFETIME_SECONDS = timing.MAX_LEASE_SECONDS


@dataclasses.dataclass(frozen=True)
class Record:
    """An announcement, the member it came through, and when it was renewed."""

    announcement: membership_pb2.Announcement
    source: str
    refreshed_at: float


class Directory:
    """Store the newest announcement of each process."""

    def __init__(self, started_at: float) -> None:
        self.started_at = started_at
        self.records: dict[str, Record] = {}
        # The newest revision that each other member has confirmed: it sends
        # nothing older to new watchers, and it has shared every process that
        # may still serve an older revision.
        self.confirmed_revisions: dict[str, int] = {}
        # Increases with each change, so that a reader can skip an unchanged
        # directory.
        self.version = 0

    def record(
        self,
        announcement: membership_pb2.Announcement,
        source: str,
        now: float,
    ) -> None:
        """Store an announcement that came through the member `source`."""
        name = announcement.process
        previous = self.records.get(name)
        self.records[name] = Record(announcement, source, now)
        if previous is None or previous.announcement != announcement:
            self.version += 1

    def old_leases_expired(self, now: float) -> bool:
        """Return whether every lease from before this start has expired.

        Until then a process that is missing here may still serve.
        """
        return now >= self.started_at + timing.MAX_LEASE_SECONDS

    def is_ready(self, members: abc.Collection[str], now: float) -> bool:
        """Return whether the directory may be sent to watchers.

        True once every member in `members` has sent a share, or
        `DIRECTORY_WARM_UP_SECONDS` after the start.
        """
        if now >= self.started_at + timing.DIRECTORY_WARM_UP_SECONDS:
            return True
        return self.confirmed_revisions.keys() >= set(members)

    def is_in_force(self, revision: int, members: abc.Collection[str]) -> bool:
        """Return whether every known process has `revision` or a newer one.

        Each other control member, in `members`, must have confirmed it too.
        """
        if any(
            self.confirmed_revisions.get(name, 0) < revision for name in members
        ):
            return False
        return all(
            record.announcement.revision >= revision
            for record in self.records.values()
        )

    def refresh(self, source: str, now: float) -> None:
        """Renew every record that came through `source`."""
        for name, record in self.records.items():
            if record.source == source:
                self.records[name] = dataclasses.replace(
                    record, refreshed_at=now
                )

    def remove(self, name: str, source: str) -> None:
        """Remove a process if its newest announcement came through `source`."""
        record = self.records.get(name)
        if record is not None and record.source == source:
            del self.records[name]
            self.version += 1

    def clear_source(self, source: str) -> None:
        """Detach the records of `source`, which `refresh` then ignores.

        They expire unless the processes are announced again.
        """
        for name, record in self.records.items():
            if record.source == source:
                self.records[name] = dataclasses.replace(record, source='')

    def expire(self, now: float) -> None:
        """Remove every process whose announcement lifetime has passed."""
        oldest = now - ANNOUNCEMENT_LIFETIME_SECONDS
        expired = [
            name
            for name, record in self.records.items()
            if record.refreshed_at < oldest
        ]
        for name in expired:
            del self.records[name]
            self.version += 1

    def announcements(
        self,
        source: str | None = None,
    ) -> dict[str, membership_pb2.Announcement]:
        """Return announcements by process name.

        With `source`, only those that came through that member.
        """
        return {
            name: record.announcement
            for name, record in self.records.items()
            if source is None or record.source == source
        }


class Cursor:
    """Track what one reader was sent, and compute its next update."""

    def __init__(self) -> None:
        self.sent: dict[str, membership_pb2.Announcement] = {}
        self.started = False

    def next_update(
        self,
        present: dict[str, membership_pb2.Announcement],
    ) -> membership_pb2.DirectoryUpdate:
        """Return the changes since the last call; the first update is full."""
        changed = _changed_announcements(self.sent, present.items())
        gone = [name for name in self.sent if name not in present]
        update = membership_pb2.DirectoryUpdate(
            full=not self.started,
            present=changed,
            gone=gone,
        )
        self.sent = present
        self.started = True
        return update


def _changed_announcements(
    sent: dict[str, membership_pb2.Announcement],
    present: abc.Iterable[tuple[str, membership_pb2.Announcement]],
) -> list[membership_pb2.Announcement]:
    return [
        announcement
        for name, announcement in present
        if sent.get(name) != announcement
    ]
