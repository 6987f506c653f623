"""Format timestamps for the output of commands."""

import datetime

MILLISECONDS_PER_SECOND = 1000


def format_timestamp(unix_ms: int) -> str:
    """Return the UTC time to the second; the empty string for 0."""
    if not unix_ms:
        return ''
    timestamp = datetime.datetime.fromtimestamp(
        unix_ms / MILLISECONDS_PER_SECOND,
        datetime.UTC,
    )
    return timestamp.isoformat(sep=' ', timespec='seconds')
