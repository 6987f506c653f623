"""Start background tasks whose failure ends the process loudly."""

import asyncio
import logging
from collections import abc
import typing

LOGGER = logging.getLogger(__name__)
CANCEL_PERIOD_SECONDS = 0.2


class TaskFailed(Exception):
    """A background task ended that its process can't do without."""

    def __init__(self, task: str, cause: BaseException) -> None:
        detail = str(cause) or type(cause).__name__
        super().__init__(f'{task}: {detail}')


class TaskGroup:
    """Own the background tasks of one part of a process."""

    def __init__(self) -> None:
        self.tasks: set[asyncio.Task[typing.Any]] = set()
        self.failed = asyncio.Event()
        self.failure: TaskFailed | None = None

    def start(
        self, work: abc.Coroutine[typing.Any, typing.Any, typing.Any], name: str
    ) -> None:
        """Run `work` until it ends or the group is cancelled."""
        task = asyncio.get_running_loop().create_task(work, name=name)
        self.tasks.add(task)
        task.add_done_callback(self._finished)

    async def cancel(self) -> None:
        """Cancel every task and wait for each to end."""
        running = set(self.tasks)
        while running:
            for task in running:
                task.cancel()
            # A task may lose a cancellation that comes together with what it
            # waits for, so it is cancelled until it ends.
            _, running = await asyncio.wait(
                running, timeout=CANCEL_PERIOD_SECONDS
            )

    def check(self) -> None:
        """Raise `TaskFailed` if a task has failed."""
        if self.failure is not None:
            raise self.failure

    def _finished(self, task: asyncio.Task[typing.Any]) -> None:
        self.tasks.discard(task)
        if task.cancelled():
            return
        cause = task.exception()
        if cause is not None:
            LOGGER.error('task failed', exc_info=cause)
            self.failure = self.failure or TaskFailed(task.get_name(), cause)
            self.failed.set()


async def cancel_and_wait(
    task: asyncio.Task[typing.Any],
    expected: tuple[type[BaseException], ...],
) -> None:
    """Cancel `task` and wait for its end, which may be one that is expected."""
    task.cancel()
    try:
        await task
    except asyncio.CancelledError:
        return
    except expected as error:
        LOGGER.debug(
            'task dropped',
            extra={'task': task.get_name(), 'cause': str(error)},
        )


async def wait_for_event(event: asyncio.Event, seconds: float) -> bool:
    """Wait for `event`, leave it as it is, and say whether it came in time."""
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        return False
    return True


async def wait_and_clear(event: asyncio.Event, seconds: float) -> bool:
    """Wait for `event`, clear it, and say whether it came in time."""
    try:
        await asyncio.wait_for(event.wait(), seconds)
    except asyncio.TimeoutError:
        return False
    event.clear()
    return True
