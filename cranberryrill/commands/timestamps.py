"""Show moments as operators read them."""

import datetime

MILLISECONDS_PER_SECOND = 1000


def format_timestamp(unix_ms: int) -> str:
    """Return the UTC time to the second; nothing for 0."""
    if not unix_ms:
        return ''
    moment = datetime.datetime.fromtimestamp(
        unix_ms / MILLISECONDS_PER_SECOND,
        datetime.UTC,
    )
    return moment.isoformat(sep=' ', timespec='seconds')
