"""Keep a member's ballot and log on disk."""

import asyncio
import contextlib
import os
import pathlib
import typing
from collections import abc

from cranberryrill import identifiers
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
    """Own the data folder of one member.

    Writes are buffered; nothing counts as stored before `sync` returns.
    Raises `files.DiskFailed` when the disk fails, from then on at each
    write, and `files.CorruptRecord` when what it holds is damaged.
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
        # The offset behind the base and behind each entry.
        self.offsets: list[int] = []
        try:
            self.stream = self._open()
        except BaseException:
            # The lock may be older than this store, and is not to outlive it.
            self.disk.close()
            raise

    @property
    def group(self) -> replication_pb2.Group:
        """Return who votes by the newest entry, committed or not."""
        return self.group_at(self.log.last_index)

    def group_at(self, index: int) -> replication_pb2.Group:
        """Return who voted when the entry at `index` was the newest."""
        return self.log.group_at(index) or self.snapshots.group

    @property
    def log_bytes(self) -> int:
        """Return how many bytes the log's entries take."""
        return self.offsets[-1] - self.offsets[0]

    async def save_ballot(self, term: int, voted_for: str) -> None:
        """Store the term and the vote given in it."""
        ballot = replication_pb2.Ballot(term=term, voted_for=voted_for)
        path = self.folder / BALLOT_NAME
        with self.disk.guard_write(path):
            await asyncio.to_thread(
                files.replace,
                path,
                ballot.SerializeToString(),
            )
        self.ballot = ballot

    def append(self, entries: abc.Sequence[replication_pb2.Entry]) -> None:
        """Buffer `entries` behind the newest one."""
        with self.disk.guard_write(self.path):
            for entry in entries:
                self.stream.write(files.frame(entry.SerializeToString()))
                self.log.append(entry)
                self.offsets.append(self.stream.tell())

    def truncate_from(self, index: int) -> None:
        """Drop the entry at `index` and all behind it."""
        self.log.truncate_from(index)
        kept = index - self.log.base_index
        del self.offsets[kept:]
        with self.disk.guard_write(self.path):
            self.stream.flush()
            self.stream.truncate(self.offsets[-1])
            self.stream.seek(self.offsets[-1])

    async def sync(self) -> int:
        """Make all buffered entries durable; return the last index."""
        last_index = self.log.last_index
        with self.disk.guard_write(self.path):
            self.stream.flush()
            await asyncio.to_thread(os.fsync, self.stream.fileno())
        return last_index

    async def rebase(self, index: int, term: int) -> int:
        """Let the log begin behind `index`; return the last synced index.

        Entries behind `index` are kept if the log holds `term` there. The
        caller holds the disk lock; a leader may append all the while.
        """
        kept = log.Log(index, term)
        if self.log.term_at(index) == term:
            for held in self.log.entries_after(index):
                kept.append(held)
        written = kept.last_index
        partial = self.folder / PARTIAL_NAME
        with self.disk.guard_write(partial):
            stream, offsets = await asyncio.to_thread(_write, partial, kept)
            for entry in self.log.entries_after(written):
                stream.write(files.frame(entry.SerializeToString()))
                kept.append(entry)
                offsets.append(stream.tell())
            if kept.last_index > written:
                stream.flush()
                os.fsync(stream.fileno())
            partial.rename(self.path)
            files.sync_folder(self.folder)
            self.stream.close()
        self.stream = stream
        self.offsets = offsets
        self.log = kept
        return kept.last_index

    def close(self) -> None:
        """Close the files."""
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
        # What was read may not have reached the disk before a crash.
        os.fsync(stream.fileno())
        return stream

    def _read_ballot(self) -> replication_pb2.Ballot:
        content = files.read_one(self.folder / BALLOT_NAME)
        if content is None:
            return replication_pb2.Ballot()
        return replication_pb2.Ballot.FromString(content)

    def _read_log(self) -> None:
        if not self.path.exists():
            self._make_log()
        reading = files.records(self.path)
        end, content = next(reading, (0, None))
        if content is None:
            raise files.CorruptRecord(self.path, 0)
        base = replication_pb2.LogBase.FromString(content)
        self.log = log.Log(base.index, base.term)
        self.offsets = [end]
        for record_end, entry in reading:
            end = record_end
            self.log.append(replication_pb2.Entry.FromString(entry))
            self.offsets.append(end)
        if end < self.path.stat().st_size:
            # A torn last record was never acknowledged.
            os.truncate(self.path, end)

    def _read_identity(self) -> str:
        """Return the folder's identity, made when the folder is new."""
        path = self.folder / IDENTITY_NAME
        content = files.read_one(path)
        if content is not None:
            return content.decode()
        if self.log.last_index or self.ballot.term or self.snapshots.index:
            raise files.StorageFailure(path, 'missing from a used folder')
        identity = identifiers.new_identifier('disk')
        files.replace(path, identity.encode())
        return identity

    def _make_log(self) -> None:
        names = (IDENTITY_NAME, BALLOT_NAME, snapshots.SNAPSHOT_NAME)
        if any((self.folder / name).exists() for name in names):
            raise files.StorageFailure(self.path, 'missing from a used folder')
        files.replace(self.path, replication_pb2.LogBase().SerializeToString())

    def _check_log(self) -> None:
        index, term = self.snapshots.index, self.snapshots.term
        if self.log.base_index > index:
            detail = (
                f'begins at {self.log.base_index}, snapshot ends at {index}'
            )
            raise files.StorageFailure(self.path, detail)
        if self.log.term_at(index) == term:
            return
        # The process ended between a leader's snapshot and the new log.
        base = replication_pb2.LogBase(index=index, term=term)
        files.replace(self.path, base.SerializeToString())
        self._read_log()


def _write(
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
