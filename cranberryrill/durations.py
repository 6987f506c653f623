"""Bounds of configured durations."""

import typing

# Larger values would not fit the 32 bits that some receivers read.
MAX_MILLISECONDS = 0x7FFFFFFF
Milliseconds = typing.TypeVar('Milliseconds', int, float)


def bounded_ms(milliseconds: Milliseconds) -> Milliseconds:
    """Return a configured duration, or the longest that every hop supports."""
    return min(milliseconds, MAX_MILLISECONDS)
