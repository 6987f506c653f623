"""Find what may not be passed on in a caller's request."""

import re
from collections import abc
from urllib import parse as url_parse

import result
from tornado import httputil

from cranberryrill import failures
from cranberryrill.callers import refusals
from cranberryrill.keys import digests
from cranberryrill.relay import deadlines

IDEMPOTENCY_KEY_HEADER = 'Idempotency-Key'
MAX_IDEMPOTENCY_KEY = 255
OLD_VERSION = 'HTTP/1.0'
BODILESS_METHODS = frozenset(('GET', 'HEAD'))
HEXADECIMAL = 16
DOT_SEGMENTS = frozenset(('.', '..'))
# A lookahead, because one key's prefix may stand before another's.
KEY_SHAPE = re.compile(rf'(?=({digests.KEY_PREFIX}[A-Za-z0-9_-]{{43}}))')
ESCAPE = re.compile(r'\\u([0-9a-fA-F]{4})')
Whose = abc.Callable[[bytes], str | None]


def find_fault(
    request: httputil.HTTPServerRequest,
) -> failures.MalformedRequest | None:
    """Return why a request can't be passed on as it stands."""
    if request.version == OLD_VERSION:
        # Its end is the end of the connection: a cut answer looks whole.
        return failures.MalformedRequest('HTTP/1.1 is needed')
    segments = url_parse.unquote(request.path).replace('\\', '/').split('/')
    if DOT_SEGMENTS.intersection(segments):
        return failures.MalformedRequest('the path holds dot segments')
    if request.method in BODILESS_METHODS and request.body:
        return failures.MalformedRequest(f'{request.method} takes no body')
    return None


def idempotency_key(
    headers: httputil.HTTPHeaders,
) -> result.Result[str, failures.MalformedRequest]:
    """Return the caller's idempotency key; empty when there is none."""
    given = headers.get_list(IDEMPOTENCY_KEY_HEADER)
    if not given:
        return result.Ok('')
    key = given[0]
    usable = key.isascii() and key.isprintable()
    if len(given) > 1 or not usable or not 0 < len(key) <= MAX_IDEMPOTENCY_KEY:
        return result.Err(
            failures.MalformedRequest(
                f'{IDEMPOTENCY_KEY_HEADER}: one value of 1 to '
                f'{MAX_IDEMPOTENCY_KEY} printable ASCII characters is needed',
            ),
        )
    return result.Ok(key)


def shorter_timeout(
    headers: httputil.HTTPHeaders,
    timeout_ms: int,
) -> result.Result[int, failures.MalformedRequest]:
    """Return the caller's timeout if it is shorter than the route's."""
    given = headers.get(deadlines.TIMEOUT_HEADER)
    if given is None:
        return result.Ok(timeout_ms)
    if not given.isascii() or not given.isdigit() or not int(given):
        return result.Err(
            failures.MalformedRequest(
                f'{deadlines.TIMEOUT_HEADER}: a whole number above 0 is needed',
            ),
        )
    return result.Ok(min(timeout_ms, int(given)))


def find_exposed_key(
    request: httputil.HTTPServerRequest,
    passed: abc.Iterable[str],
    whose: Whose,
) -> refusals.KeyExposed | None:
    """Return a failure when a key stands in what would be passed on.

    Cookies and all headers but a few are never passed on; a key in the path,
    the query, the body or in one of those few can only be refused.
    """
    body = request.body.decode('latin-1')
    places = {
        'path or query': url_parse.unquote(str(request.uri)),
        'body': ESCAPE.sub(_unescape, url_parse.unquote(body)),
        'headers': '\n'.join(passed),
    }
    for place, text in places.items():
        for shaped in KEY_SHAPE.finditer(text):
            if whose(digests.digest_of(shaped.group(1))) is not None:
                return refusals.KeyExposed(f'a key stands in the {place}')
    return None


def _unescape(escape: re.Match[str]) -> str:
    return chr(int(escape.group(1), HEXADECIMAL))
