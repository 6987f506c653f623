"""Lock a data folder, so that no earlier process can use it any more.

This module loads fast: a process can lock its folder first and load the rest
of the program while other members still wait for votes and leases of the
earlier process to expire.
"""

import dataclasses
import fcntl
import pathlib
import typing

from cranberryrill import clock

LOCK_NAME = 'lock'


@dataclasses.dataclass(frozen=True)
class FolderLock:
    """Exclusive lock of a folder, held as long as `stream` is open."""

    folder: pathlib.Path
    stream: typing.BinaryIO
    # In seconds of the monotonic clock; no other process has written to the
    # folder since then.
    locked_at: float


def acquire(folder: pathlib.Path) -> FolderLock | None:
    """Lock `folder`; return None if another process has locked it."""
    stream = (folder / LOCK_NAME).open('ab')
    try:
        fcntl.flock(stream.fileno(), fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        stream.close()
        return None
    return FolderLock(folder, stream, clock.monotonic_seconds())
