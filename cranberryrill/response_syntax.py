"""Syntax that heads and trailers of HTTP responses share."""

from tornado import httputil

MAX_QUOTED_CHARACTERS = 40


class MalformedResponse(Exception):
    """What was received is not an HTTP response."""


def read_field(fields: httputil.HTTPHeaders, line: str) -> None:
    """Add the field of a line, decoded as latin-1, to `fields`.

    The line comes without its end. Raises MalformedResponse unless name and
    value are as in RFC 9110.
    """
    # tornado accepts a line feed at the end.
    if '\n' in line:
        raise MalformedResponse(f'a line feed in {quoted(line)}')
    try:
        fields.parse_line(line)
    except httputil.HTTPInputError as error:
        raise MalformedResponse(f'no field in {quoted(line)}') from error


def quoted(received: object) -> str:
    """Return the start of what was received, for a message."""
    return repr(received)[:MAX_QUOTED_CHARACTERS]
