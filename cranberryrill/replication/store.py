"""Store the ballot and log of a member on disk."""

import asyncio
import contextlib
import os
import pathlib
import typing
from collections import abc

from cranberryrill import clock, identifiers, tasks
from cranberryrill.replication import (
    disk,
    files,
    folder_lock,
    log,
    replication_pb2,
    snapshots,
)

IDENTITY_NAME = 'identity'
BALLOT_NAME = 'ballot'
LOG_NAME = 'log'
PARTIAL_NAME = 'log.partial'


class Store:
    """Data folder of one member: ballot, log, snapshot and identity.

    A write runs to its end even if its caller is cancelled, so that it never
    overlaps the next one; what is in memory always matches the disk.

    Appended entries are buffered and not durable before `sync` returns. Raises
    `files.DiskFailed` when a write fails and at each write after that, and
    `files.CorruptRecord` when a stored record is damaged.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        lock: folder_lock.FolderLock | None = None,
    ) -> None:
        self.folder = folder
        self.disk = disk.Disk(folder, lock)
        self.path = folder / LOG_NAME
        self.log = log.Log()
        # End offsets in bytes of the base record and of each entry.
        self.offsets: list[int] = []
        # How long the last write of a ballot took.
        self.ballot_seconds = 0.0
        try:
            self.stream = self._open()
        except BaseException:
            # Release the lock, even one that the caller acquired.
            self.disk.close()
            raise

    @property
    def group(self) -> replication_pb2.Group:
        """Return the voters as of the newest entry, committed or not."""
        return self.group_at(self.log.last_index)

    def group_at(self, index: int) -> replication_pb2.Group:
        """Return the voters as of the entry at `index`."""
        return self.log.group_at(index) or self.snapshots.group

    @property
    def log_bytes(self) -> int:
        """Return the size of the log entries on disk in bytes."""
        return self.offsets[-1] - self.offsets[0]

    async def save_ballot(self, term: int, voted_for: str) -> None:
        """Store the term and the identity voted for in it, if any."""
        await tasks.run_uncancelled(self._save_ballot(term, voted_for))

    async def _save_ballot(self, term: int, voted_for: str) -> None:
        ballot = replication_pb2.Ballot(term=term, voted_for=voted_for)
        path = self.folder / BALLOT_NAME
        started_at = clock.monotonic_seconds()
        with self.disk.guard_write(path):
            await asyncio.to_thread(
                files.replace,
                path,
                ballot.SerializeToString(),
            )
        self.ballot = ballot
        self.ballot_seconds = clock.monotonic_seconds() - started_at

    def append(self, entries: abc.Sequence[replication_pb2.Entry]) -> None:
        """Append `entries` to the log, buffered until the next sync."""
        with self.disk.guard_write(self.path):
            for entry in entries:
                self.stream.write(files.frame(entry.SerializeToString()))
                self.log.append(entry)
                self.offsets.append(self.stream.tell())

    def truncate_from(self, index: int) -> None:
        """Drop the entry at `index` and all after it."""
        self.log.truncate_from(index)
        kept_count = index - self.log.base_index
        del self.offsets[kept_count:]
        with self.disk.guard_write(self.path):
            self.stream.flush()
            self.stream.truncate(self.offsets[-1])
            self.stream.seek(self.offsets[-1])

    async def sync(self) -> int:
        """Make all buffered entries durable; return the last index synced."""
        return await tasks.run_uncancelled(self._sync())

    async def _sync(self) -> int:
        last_index = self.log.last_index
        with self.disk.guard_write(self.path):
            self.stream.flush()
            await asyncio.to_thread(os.fsync, self.stream.fileno())
        return last_index

    async def rebase(self, index: int, term: int) -> int:
        """Make `index` the base of the log; return the last synced index.

        Entries after `index` are kept if the entry there has `term`. The
        caller holds the disk lock; a leader may append meanwhile.
        """
        return await tasks.run_uncancelled(self._rebase(index, term))

    async def _rebase(self, index: int, term: int) -> int:
        new_log = log.Log(index, term)
        if self.log.term_at(index) == term:
            for kept_entry in self.log.entries_after(index):
                new_log.append(kept_entry)
        written = new_log.last_index
        partial = self.folder / PARTIAL_NAME
        with self.disk.guard_write(partial):
            stream, offsets = await asyncio.to_thread(
                _write_log,
                partial,
                new_log,
            )
            for entry in self.log.entries_after(written):
                stream.write(files.frame(entry.SerializeToString()))
                new_log.append(entry)
                offsets.append(stream.tell())
            if new_log.last_index > written:
                stream.flush()
                os.fsync(stream.fileno())
            partial.rename(self.path)
            files.sync_folder(self.folder)
            self.stream.close()
        self.stream = stream
        self.offsets = offsets
        self.log = new_log
        return new_log.last_index

    def close(self) -> None:
        """Close the log and release the folder."""
        with contextlib.suppress(OSError):
            self.stream.close()
        self.disk.close()

    def _open(self) -> typing.BinaryIO:
        self.ballot = self._read_ballot()
        self.snapshots = snapshots.Snapshots(self.disk)
        self._read_log()
        self._check_log()
        self.identity = self._read_identity()
        stream = self.path.open('ab')
        # Entries read back may not have been synced before a crash.
        os.fsync(stream.fileno())
        return stream

    def _read_ballot(self) -> replication_pb2.Ballot:
        content = files.read_one(self.folder / BALLOT_NAME)
        if content is None:
            return replication_pb2.Ballot()
        return replication_pb2.Ballot.FromString(content)

    def _read_log(self) -> None:
        if not self.path.exists():
            self._create_log()
        records = files.records(self.path)
        end, content = next(records, (0, None))
        if content is None:
            raise files.CorruptRecord(self.path, 0)
        base = replication_pb2.LogBase.FromString(content)
        self.log = log.Log(base.index, base.term)
        self.offsets = [end]
        for record_end, entry in records:
            end = record_end
            self.log.append(replication_pb2.Entry.FromString(entry))
            self.offsets.append(end)
        if end < self.path.stat().st_size:
            # The last record was cut off, so it was never acknowledged.
            os.truncate(self.path, end)

    def _read_identity(self) -> str:
        """Return the identity of the folder; create it in a new folder."""
        path = self.folder / IDENTITY_NAME
        content = files.read_one(path)
        if content is not None:
            return content.decode()
        if self.log.last_index or self.ballot.term or self.snapshots.index:
            raise files.StorageFailure(
                path, 'missing although the folder has been used'
            )
        identity = identifiers.new_identifier('disk')
        files.replace(path, identity.encode())
        return identity

    def _create_log(self) -> None:
        names = (IDENTITY_NAME, BALLOT_NAME, snapshots.SNAPSHOT_NAME)
        if any((self.folder / name).exists() for name in names):
            raise files.StorageFailure(
                self.path,
                'missing although the folder has been used',
            )
        files.replace(self.path, replication_pb2.LogBase().SerializeToString())

    def _check_log(self) -> None:
        index, term = self.snapshots.index, self.snapshots.term
        if self.log.base_index > index:
            detail = (
                f'log begins at {self.log.base_index}, snapshot ends at {index}'
            )
            raise files.StorageFailure(self.path, detail)
        if self.log.term_at(index) == term:
            return
        # The process stopped after it had installed a snapshot of a leader and
        # before it replaced the log.
        base = replication_pb2.LogBase(index=index, term=term)
        files.replace(self.path, base.SerializeToString())
        self._read_log()


def _write_log(
    path: pathlib.Path,
    content: log.Log,
) -> tuple[typing.BinaryIO, list[int]]:
    stream = path.open('wb')
    base = replication_pb2.LogBase(
        index=content.base_index,
        term=content.base_term,
    )
    stream.write(files.frame(base.SerializeToString()))
    offsets = [stream.tell()]
    for entry in content.entries:
        stream.write(files.frame(entry.SerializeToString()))
        offsets.append(stream.tell())
    stream.flush()
    os.fsync(stream.fileno())
    return stream, offsets
