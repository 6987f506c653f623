"""Inject clock and disk faults into a process of the fleet.

Python imports a module of this name at each start. This folder is on the path
of the processes under test only. `SOAK_FAULTS` names a folder in which files
switch the faults: `clock` holds seconds to add to the wall clock, `full` makes
each fsync fail as on a full disk, `slow` delays each fsync.
"""

import errno
import os
import pathlib
import time
import typing

SLOW_SYNC_SECONDS = 0.4


class FaultyFunctions:
    """Replacements of `time.time` and `os.fsync` that wrap the originals."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.original_time = time.time
        self.original_sync = os.fsync

    def time(self) -> float:
        """Return the wall clock, shifted by the seconds in the file `clock`."""
        try:
            shift = float((self.folder / 'clock').read_text())
        except (OSError, ValueError):
            shift = 0
        return self.original_time() + shift

    def sync(self, fd: typing.Any) -> None:
        """Sync a file, late or with an error while a disk fault is set."""
        if (self.folder / 'full').exists():
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        if (self.folder / 'slow').exists():
            time.sleep(SLOW_SYNC_SECONDS)
        self.original_sync(fd)


FAULT_FOLDER = os.environ.get('SOAK_FAULTS')
if FAULT_FOLDER:
    FAULTY = FaultyFunctions(pathlib.Path(FAULT_FOLDER))
    time.time = FAULTY.time
    os.fsync = FAULTY.sync
