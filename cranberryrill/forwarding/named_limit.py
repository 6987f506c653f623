"""Parse the limits that upstreams name in their responses."""

import logging
import re

LOGGER = logging.getLogger(__name__)
# Longest part of a value that is logged.
MAX_LOGGED_CHARACTERS = 32
DECIMAL_NUMBER = re.compile(r'[0-9]{1,9}([.][0-9]{0,9})?')


def read_limit(text: str | None, upstream: str) -> float | None:
    """Return the limit in a response header; None without one.

    A value that is no decimal number is logged and counts as none.
    """
    if text is None:
        return None
    if DECIMAL_NUMBER.fullmatch(text.strip()):
        return float(text)
    LOGGER.warning(
        'limit not understood',
        extra={'upstream': upstream, 'limit': text[:MAX_LOGGED_CHARACTERS]},
    )
    return None
