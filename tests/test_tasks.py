"""Background tasks are cancelled even if they drop a cancellation."""

import asyncio

from cranberryrill import tasks

CANCEL_TIMEOUT_SECONDS = 5
WAIT_SECONDS = 3600


async def listen(event: asyncio.Event) -> None:
    """Wait for events in a loop, as a connection's task does.

    `asyncio.wait_for` returns the event, and drops the cancellation, when
    both arrive in the same step of the event loop.
    """
    while True:
        await asyncio.wait_for(event.wait(), WAIT_SECONDS)
        event.clear()


async def test_task_that_dropped_a_cancellation_ends() -> None:
    group = tasks.TaskGroup()
    event = asyncio.Event()
    group.start(listen(event), 'listen')
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    event.set()
    await asyncio.sleep(0)
    await asyncio.wait_for(group.cancel(), CANCEL_TIMEOUT_SECONDS)
    assert not group.tasks
