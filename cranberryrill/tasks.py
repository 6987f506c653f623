"""Background tasks whose failure stops the process with an error."""

import asyncio
import logging
from collections import abc
import typing

LOGGER = logging.getLogger(__name__)
CANCEL_PERIOD_SECONDS = 0.2
Outcome = typing.TypeVar('Outcome')


class TaskFailed(Exception):
    """A background task that the process depends on has failed."""

    def __init__(self, task: str, cause: BaseException) -> None:
        detail = str(cause) or type(cause).__name__
        super().__init__(f'{task}: {detail}')


class TaskGroup:
    """The background tasks of one part of a process.

    `failed` is set when a task raises, and `failure` is the first such error.
    """

    def __init__(self) -> None:
        self.tasks: set[asyncio.Task[typing.Any]] = set()
        self.failed = asyncio.Event()
        self.failure: TaskFailed | None = None

    def start(
        self, work: abc.Coroutine[typing.Any, typing.Any, typing.Any], name: str
    ) -> None:
        """Start `work` as a task that runs until it ends or is cancelled."""
        task = asyncio.get_running_loop().create_task(work, name=name)
        self.tasks.add(task)
        task.add_done_callback(self._on_done)

    async def cancel(self) -> None:
        """Cancel every task and wait until all have ended."""
        pending = set(self.tasks)
        while pending:
            for task in pending:
                task.cancel()
            # `asyncio.wait_for` drops a cancellation that arrives in the same
            # loop step as its result, so tasks are cancelled until they end.
            _, pending = await asyncio.wait(
                pending, timeout=CANCEL_PERIOD_SECONDS
            )

    def check(self) -> None:
        """Raise `TaskFailed` if a task has failed."""
        if self.failure is not None:
            raise self.failure

    def _on_done(self, task: asyncio.Task[typing.Any]) -> None:
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
    """Cancel `task` and wait until it ends.

    An error of a type in `expected` is logged and not raised.
    """
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


async def run_uncancelled(
    work: abc.Coroutine[typing.Any, typing.Any, Outcome],
) -> Outcome:
    """Await `work`, which runs to its end even if the caller is cancelled.

    The cancellation takes effect then, so that locks that the caller holds
    cover all of the work.
    """
    task = asyncio.get_running_loop().create_task(work)
    is_cancelled = False
    while not task.done():
        try:
            await asyncio.wait({task})
        except asyncio.CancelledError:
            is_cancelled = True
    if is_cancelled and task.exception() is None:
        raise asyncio.CancelledError
    return task.result()


async def wait_for_event(event: asyncio.Event, timeout_seconds: float) -> bool:
    """Wait until `event` is set; return false on a timeout.

    The event stays set.
    """
    try:
        async with asyncio.timeout(timeout_seconds):
            await event.wait()
    except TimeoutError:
        return False
    return True


async def wait_and_clear(event: asyncio.Event, timeout_seconds: float) -> bool:
    """Wait until `event` is set, and clear it; return false on a timeout."""
    try:
        await asyncio.wait_for(event.wait(), timeout_seconds)
    except asyncio.TimeoutError:
        return False
    event.clear()
    return True
