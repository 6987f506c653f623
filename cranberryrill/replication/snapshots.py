"""Store the newest snapshot, taken here or received from a leader."""

import asyncio
import os
import pathlib
import typing

from cranberryrill import tasks
from cranberryrill.replication import disk, files, replication_pb2

SNAPSHOT_NAME = 'snapshot'
INCOMING_NAME = 'snapshot.incoming'


class Snapshots:
    """The snapshot on disk, replaced atomically by newer ones.

    A write runs to its end even if its caller is cancelled.
    """

    def __init__(self, data_disk: disk.Disk) -> None:
        self.disk = data_disk
        self.path = data_disk.folder / SNAPSHOT_NAME
        self.incoming_path = data_disk.folder / INCOMING_NAME
        # Guards writes of a snapshot; acquired before the disk lock.
        self.lock = asyncio.Lock()
        self.index = 0
        self.term = 0
        self.group = replication_pb2.Group()
        self.set_current(self.read())

    def set_current(self, snapshot: replication_pb2.Snapshot) -> None:
        """Record which snapshot is on disk."""
        self.index = snapshot.index
        self.term = snapshot.term
        self.group = snapshot.group

    def read(self) -> replication_pb2.Snapshot:
        """Return the snapshot on disk, or an empty one if there is none."""
        content = files.read_one(self.path)
        if content is None:
            return replication_pb2.Snapshot()
        return replication_pb2.Snapshot.FromString(content)

    async def save(self, snapshot: replication_pb2.Snapshot) -> None:
        """Store a snapshot taken by this member."""
        await tasks.run_uncancelled(self._save(snapshot))

    async def _save(self, snapshot: replication_pb2.Snapshot) -> None:
        with self.disk.guard_write(self.path):
            await asyncio.to_thread(
                files.replace,
                self.path,
                snapshot.SerializeToString(),
            )
        self.set_current(snapshot)

    def open_incoming(self) -> typing.BinaryIO:
        """Open the file for a snapshot from a leader."""
        with self.disk.guard_write(self.incoming_path):
            return self.incoming_path.open('wb')

    def write_incoming(self, stream: typing.BinaryIO, content: bytes) -> None:
        """Append received bytes to the incoming snapshot."""
        with self.disk.guard_write(self.incoming_path):
            stream.write(content)

    async def finish_incoming(
        self,
        stream: typing.BinaryIO,
        total_bytes: int,
    ) -> replication_pb2.Snapshot | None:
        """Sync and return the incoming snapshot.

        Return None if it is incomplete or damaged.
        """
        with self.disk.guard_write(self.incoming_path):
            size = await tasks.run_uncancelled(asyncio.to_thread(_sync, stream))
        if size != total_bytes:
            return None
        return await asyncio.to_thread(_read_incoming, self.incoming_path)

    async def install_incoming(
        self,
        snapshot: replication_pb2.Snapshot,
    ) -> None:
        """Replace the snapshot on disk by the incoming one."""
        await tasks.run_uncancelled(self._install_incoming(snapshot))

    async def _install_incoming(
        self, snapshot: replication_pb2.Snapshot
    ) -> None:
        with self.disk.guard_write(self.path):
            self.incoming_path.rename(self.path)
            await asyncio.to_thread(files.sync_folder, self.disk.folder)
        self.set_current(snapshot)


def _sync(stream: typing.BinaryIO) -> int:
    stream.flush()
    os.fsync(stream.fileno())
    return stream.tell()


def _read_incoming(path: pathlib.Path) -> replication_pb2.Snapshot | None:
    try:
        content = files.read_one(path)
    except files.CorruptRecord:
        return None
    return replication_pb2.Snapshot.FromString(content or b'')
