"""Parse for how long an upstream that turns a request away wants nothing."""

import logging
import re

LOGGER = logging.getLogger(__name__)
DECIMAL_NUMBER = re.compile('[0-9]{1,9}([.][0-9]{0,9})?|[.][0-9]{1,9}')
# Meaning of a value that is no number of seconds.
UNREADABLE_PAUSE_SECONDS = 1.0
# A longer pause would take an upstream out of use by one mistaken response.
MAX_PAUSE_SECONDS = 600.0
# Longest part of a value that is logged.
MAX_LOGGED_CHARACTERS = 32


def read_pause(text: str | None, upstream: str) -> float | None:
    """Return the seconds in a `Retry-After` header; None without one.

    A value that can't be read or is very long is logged and replaced.
    """
    if text is None:
        return None
    pause = UNREADABLE_PAUSE_SECONDS
    if DECIMAL_NUMBER.fullmatch(text.strip()):
        pause = float(text)
        if pause <= MAX_PAUSE_SECONDS:
            return pause
        pause = MAX_PAUSE_SECONDS
    LOGGER.warning(
        'pause replaced',
        extra={
            'upstream': upstream,
            'named': text[:MAX_LOGGED_CHARACTERS],
            'seconds': pause,
        },
    )
    return pause
