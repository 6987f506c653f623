"""Replace the log's oldest entries by a snapshot."""

import dataclasses

from cranberryrill.replication import member, replication_pb2

MAX_LOG_BYTES = 16_000_000
MAX_TAIL_BYTES = 4_000_000


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Say how long the log may grow, and how much stays behind a snapshot."""

    entries: int = 4096
    log_bytes: int = MAX_LOG_BYTES
    # A follower that lags by less is sent entries, not a snapshot.
    tail_entries: int = 1024
    tail_bytes: int = MAX_TAIL_BYTES


class Compactor:
    """Take a snapshot whenever enough was applied since the last one."""

    def __init__(self, local: member.Member, bounds: Bounds) -> None:
        self.member = local
        self.bounds = bounds

    async def run(self) -> None:
        """Compact for as long as the process runs."""
        while True:
            async with self.member.committed:
                await self.member.committed.wait_for(self.is_due)
            await self.compact()

    def is_due(self) -> bool:
        """Say whether the log has outgrown its bounds."""
        disk = self.member.store
        gained = self.member.applied_index - disk.snapshots.index
        if gained >= self.bounds.entries:
            return True
        # Entries that are not yet applied can't go into a snapshot.
        end = disk.offsets[self.member.applied_index - disk.log.base_index]
        applied_bytes = end - disk.offsets[0]
        return gained > 0 and applied_bytes >= self.bounds.log_bytes

    async def compact(self) -> None:
        """Store a snapshot, and only then drop what it covers."""
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
                base = self.tail_base(snapshot.index)
                term = disk.log.term_at(base) or 0
                synced_index = await disk.rebase(base, term)
                local.synced_index = synced_index

    def tail_base(self, index: int) -> int:
        """Return behind which entry the kept tail begins."""
        disk = self.member.store
        oldest = disk.log.base_index
        base = max(oldest, index - self.bounds.tail_entries)
        end = disk.offsets[index - oldest]
        while end - disk.offsets[base - oldest] > self.bounds.tail_bytes:
            base += 1
        return base
