"""Hold a data folder, and write nothing more once a write has failed."""

import asyncio
import contextlib
import pathlib
import typing
from collections import abc

from cranberryrill.replication import files, folder_lock


class Disk:
    """Own one data folder; only one process at a time can."""

    def __init__(
        self,
        folder: pathlib.Path,
        lock: folder_lock.FolderLock | None = None,
    ) -> None:
        files.make_folder(folder)
        self.folder = folder
        held = lock or folder_lock.acquire(folder)
        if held is None:
            raise files.FolderInUse(folder)
        self.lock = held
        self.failure: files.StorageFailure | None = None
        self.failed = asyncio.Event()

    async def raise_on_failure(self) -> None:
        """Wait for a failure, and raise it."""
        await self.failed.wait()
        self.check()

    @contextlib.contextmanager
    def guard_write(self, path: pathlib.Path) -> abc.Iterator[None]:
        """Turn an `OSError` into a failure that lasts."""
        # After a failed sync the kernel may have dropped what was written:
        # a later sync that succeeds proves nothing.
        self.check()
        try:
            yield
        except OSError as error:
            self.fail(files.DiskFailed(path, error))

    def fail(self, failure: files.StorageFailure) -> typing.NoReturn:
        """Write nothing more, stop the process, and raise `failure`."""
        self.failure = failure
        self.failed.set()
        raise failure

    def check(self) -> None:
        """Raise the failure that there was, if any."""
        if self.failure is not None:
            raise self.failure

    def close(self) -> None:
        """Give the folder up."""
        self.lock.stream.close()
