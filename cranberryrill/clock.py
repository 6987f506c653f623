"""Monotonic clock for decisions, wall clock for records and usage windows."""

import time

MILLISECONDS_PER_SECOND = 1000


def monotonic_seconds() -> float:
    """Return monotonic seconds, including time spent suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_milliseconds() -> int:
    """Return Unix time in milliseconds; leases never depend on it."""
    return int(time.time() * MILLISECONDS_PER_SECOND)
