"""Exponential delay between retries."""

import asyncio

from cranberryrill.authority import timing

DELAY_FACTOR = 2.0


class Backoff:
    """Double the retry delay after each failure in a row.

    The delay grows from `MIN_RETRY_DELAY_SECONDS` to
    `MAX_RETRY_DELAY_SECONDS`.
    """

    def __init__(self) -> None:
        self.delay = timing.MIN_RETRY_DELAY_SECONDS

    def reset(self) -> None:
        """Return to the shortest delay after a success."""
        self.delay = timing.MIN_RETRY_DELAY_SECONDS

    async def wait(self) -> None:
        """Sleep for the current delay after a failure, then increase it."""
        delay = self.delay
        self.delay = min(delay * DELAY_FACTOR, timing.MAX_RETRY_DELAY_SECONDS)
        await asyncio.sleep(delay)
