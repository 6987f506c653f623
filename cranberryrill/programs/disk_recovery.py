"""Wait until a failed disk is writable again."""

import asyncio
import contextlib
import errno
import os
import pathlib

from cranberryrill import tasks
from cranberryrill.programs import shutdown

DISK_ERRORS = frozenset((errno.ENOSPC, errno.EIO, errno.EDQUOT, errno.EROFS))
PROBE_NAME = 'probe'
# More than a control member writes at its start.
PROBE_BYTES = 262_144
PROBE_PERIOD_SECONDS = 0.3


async def wait_writable(folder: pathlib.Path) -> bool:
    """Return true once `folder` is writable, false at a stop signal.

    The first probe follows after a pause, so that repeated failures don't
    restart the member in a tight loop.
    """
    stop_signals = shutdown.StopSignals(tasks.TaskGroup())
    while True:
        try:
            async with asyncio.timeout(PROBE_PERIOD_SECONDS):
                await stop_signals.requested.wait()
        except TimeoutError:
            if await asyncio.to_thread(is_writable, folder):
                return True
        else:
            return False


def is_writable(folder: pathlib.Path) -> bool:
    """Return whether a file of `PROBE_BYTES` can be written and synced."""
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
