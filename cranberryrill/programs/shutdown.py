"""Run a program until it is told to stop."""

import asyncio
import logging
import signal
import typing
from collections import abc

from cranberryrill import tasks

LOGGER = logging.getLogger(__name__)
SIGNALS = (signal.SIGTERM, signal.SIGINT)


async def wait_for_stop(group: tasks.TaskGroup) -> None:
    """Return at the first SIGTERM or SIGINT, or when a task has failed."""
    await StopSignals(group).wait_first()


class StopSignals:
    """Tell the first request to stop from the second."""

    def __init__(self, group: tasks.TaskGroup) -> None:
        # A process one of whose tasks has failed stops as if it were told to.
        self.asked = group.failed
        self.insisted = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in SIGNALS:
            loop.add_signal_handler(number, self._take)

    async def wait_first(self) -> None:
        """Return when the process is first told to stop."""
        await self.asked.wait()
        LOGGER.info('stopping')

    async def finish(
        self,
        work: abc.Coroutine[typing.Any, typing.Any, None],
    ) -> bool:
        """Finish `work` unless told again to stop; say whether it ended."""
        working = asyncio.create_task(work)
        insisting = asyncio.create_task(self.insisted.wait())
        try:
            await asyncio.wait(
                {working, insisting},
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            ended = working.done()
            working.cancel()
            insisting.cancel()
        return ended

    def _take(self) -> None:
        if self.asked.is_set():
            self.insisted.set()
        self.asked.set()
