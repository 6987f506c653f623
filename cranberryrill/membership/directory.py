"""Hold which entries and agents are alive, as they announce themselves."""

import dataclasses
from collections import abc

from cranberryrill.membership import membership_pb2, timing

# A process may serve this long after it was last heard of, so that whoever
# asks whether a revision is in force must still count it.
ANNOUNCEMENT_LIFETIME_SECONDS = timing.MAX_LEASE_SECONDS


@dataclasses.dataclass(frozen=True)
class Record:
    """Remember an announcement, who passed it on and when."""

    announcement: membership_pb2.Announcement
    source: str
    refreshed_at: float


class Directory:
    """Keep the newest announcement of each process."""

    def __init__(self, started_at: float) -> None:
        self.started_at = started_at
        self.records: dict[str, Record] = {}
        # For each other member, the newest revision that it has confirmed to
        # pass on alone, with every process that it passed older ones to.
        self.confirmed_revisions: dict[str, int] = {}
        # Grows with each change, so that a reader sees whether it is behind.
        self.version = 0

    def record(
        self,
        announcement: membership_pb2.Announcement,
        source: str,
        now: float,
    ) -> None:
        """Take an announcement that came through `source`."""
        name = announcement.process
        known = self.records.get(name)
        self.records[name] = Record(announcement, source, now)
        if known is None or known.announcement != announcement:
            self.version += 1

    def old_leases_expired(self, now: float) -> bool:
        """Say whether nobody can serve on what came before this start."""
        return now >= self.started_at + timing.MAX_LEASE_SECONDS

    def is_ready(self, members: abc.Collection[str], now: float) -> bool:
        """Say whether the directory may be handed out."""
        if now >= self.started_at + timing.DIRECTORY_WARM_UP_SECONDS:
            return True
        return self.confirmed_revisions.keys() >= set(members)

    def is_in_force(self, revision: int, members: abc.Collection[str]) -> bool:
        """Say whether every process, through any member, has `revision`."""
        if any(
            self.confirmed_revisions.get(name, 0) < revision for name in members
        ):
            return False
        return all(
            known.announcement.revision >= revision
            for known in self.records.values()
        )

    def refresh(self, source: str, now: float) -> None:
        """Renew everything that came through `source`."""
        for name, known in self.records.items():
            if known.source == source:
                self.records[name] = dataclasses.replace(
                    known, refreshed_at=now
                )

    def remove(self, name: str, source: str) -> None:
        """Drop a process, if `source` is who spoke for it."""
        known = self.records.get(name)
        if known is not None and known.source == source:
            del self.records[name]
            self.version += 1

    def clear_source(self, source: str) -> None:
        """Let what came through `source` expire, unless it comes anew."""
        for name, known in self.records.items():
            if known.source == source:
                self.records[name] = dataclasses.replace(known, source='')

    def expire(self, now: float) -> None:
        """Drop every process that has not been heard of lately."""
        limit = now - ANNOUNCEMENT_LIFETIME_SECONDS
        old = [
            name
            for name, known in self.records.items()
            if known.refreshed_at < limit
        ]
        for name in old:
            del self.records[name]
            self.version += 1

    def announcements(
        self,
        source: str | None = None,
    ) -> dict[str, membership_pb2.Announcement]:
        """Return what is known, or only what came through `source`."""
        return {
            name: known.announcement
            for name, known in self.records.items()
            if source is None or known.source == source
        }


class Cursor:
    """Work out what a reader of announcements lacks."""

    def __init__(self) -> None:
        self.sent: dict[str, membership_pb2.Announcement] = {}
        self.started = False

    def next_update(
        self,
        present: dict[str, membership_pb2.Announcement],
    ) -> membership_pb2.DirectoryUpdate:
        """Return the difference since the last step."""
        changed = _changed(self.sent, present.items())
        gone = [name for name in self.sent if name not in present]
        update = membership_pb2.DirectoryUpdate(
            full=not self.started,
            present=changed,
            gone=gone,
        )
        self.sent = present
        self.started = True
        return update


def _changed(
    known: dict[str, membership_pb2.Announcement],
    present: abc.Iterable[tuple[str, membership_pb2.Announcement]],
) -> list[membership_pb2.Announcement]:
    return [
        announcement
        for name, announcement in present
        if known.get(name) != announcement
    ]
