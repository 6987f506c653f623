"""Estimate which prompt parts are in the cache of an upstream."""

import collections
import dataclasses
from collections import abc as collection_types

from cranberryrill.forwarding import caller_request

# Assumed cache size of an upstream if its service does not configure one. Parts
# beyond it have probably been evicted.
DEFAULT_CACHE_TOKENS = 200_000


@dataclasses.dataclass(frozen=True)
class CachedPart:
    """Part of a prompt in the estimated cache of an upstream."""

    tokens: int
    # Whether it has been prefilled; False while its request is in progress.
    is_ready: bool


class CacheEstimate:
    """Estimate which prompt parts are in an upstream's cache.

    Parts that were used least recently are evicted first.
    """

    def __init__(self, capacity_tokens: int) -> None:
        self.capacity_tokens = capacity_tokens
        self.parts: collections.OrderedDict[str, CachedPart] = (
            collections.OrderedDict()
        )
        self.tokens = 0

    def record(self, part: str, tokens: int, *, is_ready: bool) -> None:
        """Record that the upstream will prefill a part, or has done so."""
        previous = self.parts.pop(part, None)
        if previous is not None:
            self.tokens -= previous.tokens
            is_ready = is_ready or previous.is_ready
        self.parts[part] = CachedPart(tokens, is_ready)
        self.tokens += tokens
        while self.tokens > self.capacity_tokens and self.parts:
            _, evicted = self.parts.popitem(last=False)
            self.tokens -= evicted.tokens

    def missing_tokens(
        self,
        prompt: collection_types.Sequence[caller_request.PromptPart],
        *,
        ready: bool = False,
    ) -> int:
        """Return how many tokens of a prompt are not cached.

        A part counts as cached only if all parts before it are cached, too.
        With `ready`, it must have been prefilled already.
        """
        missing = sum(part.tokens for part in prompt)
        for part in prompt:
            cached = self.parts.get(part.id)
            if cached is None or (ready and not cached.is_ready):
                break
            missing -= part.tokens
        return missing
