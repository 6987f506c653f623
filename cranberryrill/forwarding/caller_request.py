"""Represent a caller's request and parse the metadata in its headers."""

import dataclasses
from collections import abc

from cranberryrill import decimal_numbers
from cranberryrill.forwarding import http_names

Headers = abc.Sequence[tuple[str, str]]
MAX_TOKENS = 100_000_000
MAX_DEADLINE_MS = 86_400_000
MIN_PARTS_WITH_PRIVATE_LAST = 2


@dataclasses.dataclass(frozen=True)
class PromptPart:
    """Part of a prompt that several requests may share."""

    id: str
    tokens: int


@dataclasses.dataclass(frozen=True)
class Metadata:
    """Metadata from a request's headers; zero or empty where it is missing."""

    attempt_id: str
    # None if the request has no key; empty if it has an empty one or several.
    key: str | None
    # How long the caller waits, in milliseconds; None if not stated.
    deadline_ms: float | None
    prompt_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Return the ids of the parts that other requests may have, too.

        The last of several parts belongs to this request alone; a single part
        counts as shared.
        """
        if len(self.parts) >= MIN_PARTS_WITH_PRIVATE_LAST:
            return tuple(part.id for part in self.parts[:-1])
        return tuple(part.id for part in self.parts)

    @property
    def session(self) -> str:
        """Return the id by which related requests are sent to one upstream.

        This is the id of the last shared part; empty if the prompt has no
        parts.
        """
        return self.shared_parts[-1] if self.parts else ''


@dataclasses.dataclass(frozen=True)
class Request:
    """A caller's complete request, unchanged."""

    method: str
    # Path and query, with each byte decoded as Latin-1.
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    received_at: float

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition('?')[0]

    def header(self, name: str) -> str | None:
        """Return the first value of a header; `name` is in lower case."""
        for header_name, content in self.headers:
            if header_name.lower() == name:
                return content
        return None


def read_metadata(request: Request, names: http_names.HttpNames) -> Metadata:
    """Parse a request's headers; malformed values count as missing."""
    prompt, output = _parse_token_counts(request.header(names.tokens) or '')
    return Metadata(
        attempt_id=request.header(names.attempt) or '',
        key=_read_key(request, names.key_scheme),
        deadline_ms=_parse_milliseconds(request.header(names.deadline)),
        prompt_tokens=prompt,
        output_tokens=output,
        parts=_parse_parts(request.header(names.prompt_parts) or ''),
    )


def _read_key(request: Request, scheme: str) -> str | None:
    keys = {
        _parse_key(content, scheme)
        for name, content in request.headers
        if name.lower() == 'authorization'
    }
    keys.discard(None)
    if len(keys) > 1:
        # Which of them the caller means is not for the router to guess.
        return ''
    return keys.pop() if keys else None


def _parse_key(text: str, scheme: str) -> str | None:
    """Return the key in a header value, or None for another scheme."""
    given_scheme, *key = text.split(maxsplit=1)[:2] or ['']
    if given_scheme.lower() != scheme.lower():
        return None
    return key[0].strip() if key else ''


def _parse_milliseconds(text: str | None) -> float | None:
    if text is None:
        return None
    try:
        milliseconds = float(text)
    except ValueError:
        return None
    if not 0 <= milliseconds <= MAX_DEADLINE_MS:
        return None
    return milliseconds


def _parse_token_counts(text: str) -> tuple[int, int]:
    prompt, _, output = text.partition(',')
    return _parse_count(prompt), _parse_count(output)


def _parse_count(text: str) -> int:
    return min(decimal_numbers.parse(text) or 0, MAX_TOKENS)


def _parse_parts(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for entry in text.split(','):
        name, colon, tokens = entry.strip().partition(':')
        if colon and name:
            parts.append(PromptPart(name, _parse_count(tokens)))
    return tuple(parts)
