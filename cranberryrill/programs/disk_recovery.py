"""Wait until a disk that has failed takes writes again."""

import asyncio
import contextlib
import errno
import os
import pathlib

from cranberryrill import tasks
from cranberryrill.programs import shutdown

DISK_ERRORS = frozenset((errno.ENOSPC, errno.EIO, errno.EDQUOT, errno.EROFS))
PROBE_NAME = 'probe'
# More than a start writes.
PROBE_BYTES = 262_144
PROBE_PERIOD_SECONDS = 0.3


async def wait_writable(folder: pathlib.Path) -> bool:
    """Return once the folder takes writes; false if told to stop before."""
    stop = shutdown.StopSignals(tasks.TaskGroup())
    while True:
        try:
            async with asyncio.timeout(PROBE_PERIOD_SECONDS):
                await stop.asked.wait()
        except TimeoutError:
            if await asyncio.to_thread(is_writable, folder):
                return True
        else:
            return False


def is_writable(folder: pathlib.Path) -> bool:
    """Say whether a file can be written and synced."""
    path = folder / PROBE_NAME
    try:
        with path.open('wb') as stream:
            stream.write(bytes(PROBE_BYTES))
            stream.flush()
            os.fsync(stream.fileno())
    except OSError:
        return False
    finally:
        with contextlib.suppress(OSError):
            path.unlink(missing_ok=True)
    return True
