"""Periodic update of the scheduler with the output of running requests."""

import asyncio

from cranberryrill import clock
from cranberryrill.scheduling import scheduler

OBSERVATION_INTERVAL_SECONDS = 0.05


async def run_observation(agent_scheduler: scheduler.Scheduler) -> None:
    """Call `observe` periodically until cancelled."""
    while True:
        await asyncio.sleep(OBSERVATION_INTERVAL_SECONDS)
        agent_scheduler.observe(clock.monotonic_seconds())
