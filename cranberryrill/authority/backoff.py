"""Wait longer after each failure in a row."""

import asyncio

from cranberryrill.authority import timing

DELAY_FACTOR = 2.0


class Backoff:
    """Grow the pause from `RETRY_PAUSE` to `LONGEST_PAUSE` seconds."""

    def __init__(self) -> None:
        self.delay = timing.MIN_RETRY_DELAY_SECONDS

    def reset(self) -> None:
        """Begin with the shortest pause again."""
        self.delay = timing.MIN_RETRY_DELAY_SECONDS

    async def wait(self) -> None:
        """Wait after a failure."""
        pause = self.delay
        self.delay = min(pause * DELAY_FACTOR, timing.MAX_RETRY_DELAY_SECONDS)
        await asyncio.sleep(pause)
