"""Let the scheduler see what running requests have produced."""

import asyncio

from cranberryrill import clock
from cranberryrill.scheduling import scheduler

OBSERVATION_INTERVAL_SECONDS = 0.05


async def run_observation(places: scheduler.Scheduler) -> None:
    """Observe regularly for as long as the process runs."""
    while True:
        await asyncio.sleep(OBSERVATION_INTERVAL_SECONDS)
        places.observe(clock.monotonic_seconds())
