"""Stop signals: the first requests a shutdown, the second forces it."""

import asyncio
import logging
import signal
import typing
from collections import abc

from cranberryrill import tasks

LOGGER = logging.getLogger(__name__)
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


async def wait_for_stop(group: tasks.TaskGroup) -> None:
    """Return at the first SIGTERM or SIGINT, or when a task has failed."""
    await StopSignals(group).wait_first()


class StopSignals:
    """Handler of SIGTERM and SIGINT.

    The first signal sets `requested`, the next one sets `forced`.
    """

    def __init__(self, group: tasks.TaskGroup) -> None:
        # A failed task stops the process as a signal does.
        self.requested = group.failed
        self.forced = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signal_number in STOP_SIGNALS:
            loop.add_signal_handler(signal_number, self._on_signal)

    async def wait_first(self) -> None:
        """Wait for the first signal, or for a failed task."""
        await self.requested.wait()
        LOGGER.info('stopping')

    async def finish(
        self,
        work: abc.Coroutine[typing.Any, typing.Any, None],
    ) -> bool:
        """Run `work` until it ends, or cancel it at the second signal.

        Return whether it ended.
        """
        work_task = asyncio.create_task(work)
        forced_task = asyncio.create_task(self.forced.wait())
        try:
            await asyncio.wait(
                {work_task, forced_task},
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            ended = work_task.done()
            work_task.cancel()
            forced_task.cancel()
        return ended

    def _on_signal(self) -> None:
        if self.requested.is_set():
            self.forced.set()
        self.requested.set()
