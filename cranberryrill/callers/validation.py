"""Validate callers' requests before they are forwarded."""

import re
from collections import abc
from urllib import parse as url_parse

import result
from tornado import httputil

from cranberryrill import decimal_numbers, durations, failures
from cranberryrill.callers import refusals
from cranberryrill.keys import digests
from cranberryrill.relay import deadlines

IDEMPOTENCY_KEY_HEADER = 'Idempotency-Key'
MAX_IDEMPOTENCY_KEY_CHARACTERS = 255
UNSUPPORTED_VERSION = 'HTTP/1.0'
BODILESS_METHODS = frozenset(('GET', 'HEAD'))
HEXADECIMAL_BASE = 16
DOT_SEGMENTS = frozenset(('.', '..'))
# A lookahead finds overlapping matches: the prefix of a key can also occur
# right before another key.
KEY_PATTERN = re.compile(rf'(?=({digests.KEY_PREFIX}[A-Za-z0-9_-]{{43}}))')
JSON_UNICODE_ESCAPE = re.compile(r'\\u([0-9a-fA-F]{4})')
FindOrganisation = abc.Callable[[bytes], str | None]


def validate_request(
    request: httputil.HTTPServerRequest,
) -> failures.MalformedRequest | None:
    """Return why a request can't be forwarded, or None if it can."""
    if request.version == UNSUPPORTED_VERSION:
        # The end of a streamed HTTP/1.0 response is the end of the connection,
        # so a truncated response would look complete.
        return failures.MalformedRequest('HTTP/1.1 is needed')
    segments = url_parse.unquote(request.path).replace('\\', '/').split('/')
    if DOT_SEGMENTS.intersection(segments):
        return failures.MalformedRequest('the path holds dot segments')
    if request.method in BODILESS_METHODS and request.body:
        return failures.MalformedRequest(f'{request.method} takes no body')
    return None


def parse_idempotency_key(
    headers: httputil.HTTPHeaders,
) -> result.Result[str, failures.MalformedRequest]:
    """Return the caller's idempotency key, or an empty string for none."""
    values = headers.get_list(IDEMPOTENCY_KEY_HEADER)
    if not values:
        return result.Ok('')
    key = values[0]
    usable = key.isascii() and key.isprintable()
    if (
        len(values) > 1
        or not usable
        or not 0 < len(key) <= MAX_IDEMPOTENCY_KEY_CHARACTERS
    ):
        return result.Err(
            failures.MalformedRequest(
                f'{IDEMPOTENCY_KEY_HEADER}: one value of 1 to '
                f'{MAX_IDEMPOTENCY_KEY_CHARACTERS} printable ASCII characters '
                'is needed',
            ),
        )
    return result.Ok(key)


def effective_timeout_ms(
    headers: httputil.HTTPHeaders,
    timeout_ms: int,
) -> result.Result[int, failures.MalformedRequest]:
    """Return the shorter of `timeout_ms` and the caller's timeout, if any."""
    longest_ms = durations.bounded_ms(timeout_ms)
    header = headers.get(deadlines.TIMEOUT_HEADER)
    if header is None:
        return result.Ok(longest_ms)
    caller_ms = decimal_numbers.parse(header)
    if not caller_ms:
        return result.Err(
            failures.MalformedRequest(
                f'{deadlines.TIMEOUT_HEADER}: a whole number above 0 is needed',
            ),
        )
    return result.Ok(min(longest_ms, caller_ms))


def find_exposed_key(
    request: httputil.HTTPServerRequest,
    forwarded_values: abc.Iterable[str],
    find_organisation: FindOrganisation,
) -> refusals.KeyExposed | None:
    """Return a failure if a valid key is in what would be forwarded.

    Cookies and most headers are never forwarded. A key in the path, the query,
    the body or a forwarded header would reach the upstream, so the request is
    refused. `find_organisation` returns the organisation that has the key with
    a given digest, or None.
    """
    body = request.body.decode('latin-1')
    searched = {
        'path or query': url_parse.unquote(str(request.uri)),
        'body': JSON_UNICODE_ESCAPE.sub(_unescape, url_parse.unquote(body)),
        'headers': '\n'.join(forwarded_values),
    }
    for place, text in searched.items():
        for match in KEY_PATTERN.finditer(text):
            if find_organisation(digests.digest_of(match.group(1))) is not None:
                return refusals.KeyExposed(f'a key stands in the {place}')
    return None


def _unescape(escape: re.Match[str]) -> str:
    return chr(int(escape.group(1), HEXADECIMAL_BASE))
