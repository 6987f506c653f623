"""Read the status line of an HTTP response."""

import re

# A reason may hold no control byte but the tab (RFC 9112, section 4).
STATUS_LINE = re.compile(
    r'HTTP/1\.[01] ([1-5][0-9]{2})(?: [\t\x20-\x7e\x80-\xff]*)?'
)


def parse_status(line: str) -> int | None:
    """Return the status, from 100 to 599; None for a malformed line.

    The line comes without its end, decoded as latin-1.
    """
    match = STATUS_LINE.fullmatch(line)
    return int(match.group(1)) if match else None
