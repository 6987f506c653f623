"""Lock a data folder and block all writes after one has failed."""

import asyncio
import contextlib
import pathlib
import typing
from collections import abc

from cranberryrill.replication import files, folder_lock


class Disk:
    """Exclusive access to one data folder.

    Raises `files.FolderInUse` if another process has locked it.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        lock: folder_lock.FolderLock | None = None,
    ) -> None:
        files.make_folder(folder)
        self.folder = folder
        acquired = lock or folder_lock.acquire(folder)
        if acquired is None:
            raise files.FolderInUse(folder)
        self.lock = acquired
        self.failure: files.StorageFailure | None = None
        self.failed = asyncio.Event()

    async def raise_on_failure(self) -> None:
        """Wait for a storage failure and raise it."""
        await self.failed.wait()
        self.check()

    @contextlib.contextmanager
    def guard_write(self, path: pathlib.Path) -> abc.Iterator[None]:
        """Turn an `OSError` into a failure that blocks all later writes."""
        # After a failed sync the kernel may have dropped the written data, so
        # a later sync that succeeds does not prove that it is stored.
        self.check()
        try:
            yield
        except OSError as error:
            self.fail(files.DiskFailed(path, error))

    def fail(self, failure: files.StorageFailure) -> typing.NoReturn:
        """Block all later writes, stop the process, and raise `failure`."""
        self.failure = failure
        self.failed.set()
        raise failure

    def check(self) -> None:
        """Raise the recorded failure, if there is one."""
        if self.failure is not None:
            raise self.failure

    def close(self) -> None:
        """Release the lock of the folder."""
        self.lock.stream.close()
