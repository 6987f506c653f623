"""Compact the log: replace its oldest entries with a snapshot."""

import dataclasses

from cranberryrill.replication import member, replication_pb2

MAX_LOG_BYTES = 16_000_000
MAX_TAIL_BYTES = 4_000_000


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Limits that trigger compaction, and the tail of the log that is kept."""

    entries: int = 4096
    log_bytes: int = MAX_LOG_BYTES
    # A follower that lags by no more than the tail is sent entries, not a
    # snapshot.
    tail_entries: int = 1024
    tail_bytes: int = MAX_TAIL_BYTES


class Compactor:
    """Take a snapshot whenever the log exceeds its bounds."""

    def __init__(self, local: member.Member, bounds: Bounds) -> None:
        self.member = local
        self.bounds = bounds

    async def run(self) -> None:
        """Compact the log whenever it is due, until cancelled."""
        while True:
            async with self.member.committed:
                await self.member.committed.wait_for(self.is_due)
            await self.compact()

    def is_due(self) -> bool:
        """Return whether the applied part of the log exceeds the bounds."""
        disk = self.member.store
        entries_since_snapshot = (
            self.member.applied_index - disk.snapshots.index
        )
        if entries_since_snapshot >= self.bounds.entries:
            return True
        # Only applied entries can go into a snapshot.
        end = disk.offsets[self.member.applied_index - disk.log.base_index]
        applied_bytes = end - disk.offsets[0]
        return (
            entries_since_snapshot > 0
            and applied_bytes >= self.bounds.log_bytes
        )

    async def compact(self) -> None:
        """Save a snapshot, then drop the log before the tail."""
        local = self.member
        disk = local.store
        async with disk.snapshots.lock:
            snapshot = replication_pb2.Snapshot(
                index=local.applied_index,
                term=disk.log.term_at(local.applied_index) or 0,
                state=local.machine.dump(),
                group=disk.group_at(local.applied_index),
            )
            await disk.snapshots.save(snapshot)
            async with local.disk_lock:
                base = self.find_tail_base(snapshot.index)
                term = disk.log.term_at(base) or 0
                synced_index = await disk.rebase(base, term)
                local.synced_index = synced_index

    def find_tail_base(self, index: int) -> int:
        """Return the index of the entry before the kept tail.

        The tail ends at `index`, the last entry of the snapshot.
        """
        disk = self.member.store
        oldest = disk.log.base_index
        base = max(oldest, index - self.bounds.tail_entries)
        end = disk.offsets[index - oldest]
        while end - disk.offsets[base - oldest] > self.bounds.tail_bytes:
            base += 1
        return base
