"""Prefix cache of the stand-in engine, with a lossy log of its changes."""

import collections
import hashlib
import random
import typing

BLOCK_TOKENS = 16
# On average, one in this many cache events is deliberately not logged.
EVENTS_PER_LOSS = 10


def digest_blocks(words: typing.Sequence[str]) -> list[str]:
    """Return a digest for each complete block of a prompt's words.

    Each digest covers all words up to the end of its block. Words after the
    last complete block are left out.
    """
    digest = hashlib.blake2b(digest_size=8)
    blocks: list[str] = []
    for start in range(0, len(words) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
        digest.update(' '.join(words[start : start + BLOCK_TOKENS]).encode())
        blocks.append(digest.hexdigest())
    return blocks


class PrefixCache:
    """Cache of prompt blocks that evicts the least recently used ones."""

    def __init__(self, max_blocks: int, seed: int) -> None:
        self.max_blocks = max_blocks
        self.stored: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.events: list[tuple[float, str, str]] = []
        self.rng = random.Random(seed)

    def match(self, blocks: typing.Sequence[str]) -> int:
        """Return how many leading tokens are cached and need no prefill."""
        matched = 0
        for block in blocks:
            if block not in self.stored:
                break
            self.stored.move_to_end(block)
            matched += BLOCK_TOKENS
        return matched

    def store(self, blocks: typing.Sequence[str], now: float) -> None:
        """Store a prompt's blocks and evict the least recently used ones."""
        for block in blocks:
            if block not in self.stored:
                self._record_event(now, 'stored', block)
            self.stored[block] = None
            self.stored.move_to_end(block)
        while len(self.stored) > self.max_blocks:
            evicted, _ = self.stored.popitem(last=False)
            self._record_event(now, 'evicted', evicted)

    def events_before(self, timestamp: float) -> list[tuple[float, str, str]]:
        """Return the logged events before a time, as (time, kind, block)."""
        return [event for event in self.events if event[0] < timestamp]

    def _record_event(self, now: float, kind: str, block: str) -> None:
        if self.rng.randrange(EVENTS_PER_LOSS):
            self.events.append((now, kind, block))
