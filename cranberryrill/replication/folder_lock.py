"""Lock a data folder, which ends whatever a process before this one supported.

This module loads fast: a process may lock its folder first and load the rest
later, while other members wait for what the process before may have promised.
"""

import dataclasses
import fcntl
import pathlib
import typing

from cranberryrill import clock

LOCK_NAME = 'lock'


@dataclasses.dataclass(frozen=True)
class FolderLock:
    """Hold a folder for as long as the stream is open."""

    folder: pathlib.Path
    stream: typing.BinaryIO
    # No other process has written there since, on the monotonic clock.
    locked_at: float


def acquire(folder: pathlib.Path) -> FolderLock | None:
    """Lock `folder`; return none if another process holds it."""
    stream = (folder / LOCK_NAME).open('ab')
    try:
        fcntl.flock(stream.fileno(), fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        stream.close()
        return None
    return FolderLock(folder, stream, clock.monotonic_seconds())
