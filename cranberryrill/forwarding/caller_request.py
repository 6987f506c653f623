"""Read what a caller's request asks for."""

import dataclasses
from collections import abc

from cranberryrill.forwarding import vocabulary

Headers = abc.Sequence[tuple[str, str]]
LARGEST_TOKENS = 100_000_000
LARGEST_DEADLINE_MS = 86_400_000
SHORTEST_KEYED = 2


@dataclasses.dataclass(frozen=True)
class PromptPart:
    """One part of a prompt that requests may share."""

    id: str
    tokens: int


@dataclasses.dataclass(frozen=True)
class Metadata:
    """Hold what a request says of itself; zero and empty where it doesn't."""

    attempt_id: str
    key: str
    # How long the caller waits, in milliseconds; none if it does not say.
    deadline_ms: float | None
    prompt_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()

    @property
    def session(self) -> str:
        """Return what keeps related requests together.

        The last part belongs to the request alone if there are several.
        """
        if len(self.parts) >= SHORTEST_KEYED:
            return self.parts[-2].id
        return self.parts[-1].id if self.parts else ''


@dataclasses.dataclass(frozen=True)
class Request:
    """Hold a caller's whole request, as it came."""

    method: str
    # The path and query byte for byte, as Latin-1.
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    received_at: float

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition('?')[0]

    def first(self, name: str) -> str | None:
        """Return the first value under a lower-case header name."""
        for known, content in self.headers:
            if known.lower() == name:
                return content
        return None


def read_metadata(request: Request, names: vocabulary.Vocabulary) -> Metadata:
    """Return the request's terms; what can't be read counts as unsaid."""
    prompt, output = _token_counts(request.first(names.tokens) or '')
    return Metadata(
        attempt_id=request.first(names.attempt) or '',
        key=_key(request.first('authorization') or '', names.key_scheme),
        deadline_ms=_milliseconds(request.first(names.deadline)),
        prompt_tokens=prompt,
        output_tokens=output,
        parts=_parts(request.first(names.prompt_parts) or ''),
    )


def _key(text: str, scheme: str) -> str:
    word, _, key = text.strip().partition(' ')
    return key.strip() if word.lower() == scheme.lower() else ''


def _milliseconds(text: str | None) -> float | None:
    if text is None:
        return None
    try:
        milliseconds = float(text)
    except ValueError:
        return None
    if not 0 <= milliseconds <= LARGEST_DEADLINE_MS:
        return None
    return milliseconds


def _token_counts(text: str) -> tuple[int, int]:
    prompt, _, output = text.partition(',')
    return _count(prompt), _count(output)


def _count(text: str) -> int:
    stripped = text.strip()
    if not stripped.isascii() or not stripped.isdigit():
        return 0
    return min(int(stripped), LARGEST_TOKENS)


def _parts(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for entry in text.split(','):
        name, colon, tokens = entry.strip().partition(':')
        if colon and name:
            parts.append(PromptPart(name, _count(tokens)))
    return tuple(parts)
