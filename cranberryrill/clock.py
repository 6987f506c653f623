"""Monotonic clock for decisions, wall clock for records and usage windows."""

import time

MILLISECONDS_PER_SECOND = 1000


def monotonic_seconds() -> float:
    """Return monotonic seconds, including time spent suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_milliseconds() -> int:
    """Return Unix time in milliseconds; leases never depend on it."""
    return int(time.time() * MILLISECONDS_PER_SECOND)


class SteadyUnixClock:
    """Unix time derived from the monotonic clock.

    The wall clock is read once, at creation, so later changes to it have no
    effect.
    """

    def __init__(self, monotonic_seconds: float, unix_ms: int) -> None:
        self.offset_ms = unix_ms - monotonic_seconds * MILLISECONDS_PER_SECOND

    def unix_ms(self, now: float) -> float:
        """Return the Unix time in milliseconds at monotonic time `now`."""
        return now * MILLISECONDS_PER_SECOND + self.offset_ms
