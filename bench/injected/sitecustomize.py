"""Harm a real program's clock and disk from outside, for the soak.

Python imports this module by its name at each start; the folder stands on the
path of the programs under test only. `SOAK_FAULTS` names a folder: a file
`clock` there holds seconds to add to the wall clock, `full` lets each sync fail
as a full disk does, `slow` lets each sync take a while.
"""

import errno
import os
import pathlib
import time
import typing

SLOW_SECONDS = 0.4


class Harmed:
    """Stand before the true clock and the true sync."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.true_time = time.time
        self.true_sync = os.fsync

    def time(self) -> float:
        """Return the wall clock, shifted as the file says."""
        try:
            shift = float((self.folder / 'clock').read_text())
        except (OSError, ValueError):
            shift = 0
        return self.true_time() + shift

    def sync(self, fd: typing.Any) -> None:
        """Sync a file as well as the disk can."""
        if (self.folder / 'full').exists():
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        if (self.folder / 'slow').exists():
            time.sleep(SLOW_SECONDS)
        self.true_sync(fd)


FOLDER = os.environ.get('SOAK_FAULTS')
if FOLDER:
    HARMED = Harmed(pathlib.Path(FOLDER))
    time.time = HARMED.time
    os.fsync = HARMED.sync
