"""Read the status line of an HTTP response."""

import re

STATUS_LINE = re.compile('HTTP/[0-9.]+ ([1-5][0-9]{2})(?: |$)')


def parse_status(line: str) -> int | None:
    """Return the status, from 100 to 599; None if the line has no such one."""
    match = STATUS_LINE.match(line)
    return int(match.group(1)) if match else None
