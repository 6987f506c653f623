"""Cache prompt prefixes in limited memory, and tell of it late."""

import collections
import hashlib
import random
import typing

BLOCK_TOKENS = 16
# One in this many cache events is lost, by design.
EVENT_GAP = 10


def block_digests(words: typing.Sequence[str]) -> list[str]:
    """Return a digest for each whole block, each covering all before it."""
    digest = hashlib.blake2b(digest_size=8)
    blocks: list[str] = []
    for start in range(0, len(words) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
        digest.update(' '.join(words[start : start + BLOCK_TOKENS]).encode())
        blocks.append(digest.hexdigest())
    return blocks


class PrefixCache:
    """Keep the least recently used blocks out."""

    def __init__(self, limit_blocks: int, seed: int) -> None:
        self.limit_blocks = limit_blocks
        self.held: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.events: list[tuple[float, str, str]] = []
        self.rng = random.Random(seed)

    def match(self, blocks: typing.Sequence[str]) -> int:
        """Return how many leading tokens need no prefill."""
        matched = 0
        for block in blocks:
            if block not in self.held:
                break
            self.held.move_to_end(block)
            matched += BLOCK_TOKENS
        return matched

    def store(self, blocks: typing.Sequence[str], now: float) -> None:
        """Keep a prompt's blocks, evicting the oldest."""
        for block in blocks:
            if block not in self.held:
                self._note(now, 'stored', block)
            self.held[block] = None
            self.held.move_to_end(block)
        while len(self.held) > self.limit_blocks:
            evicted, _ = self.held.popitem(last=False)
            self._note(now, 'evicted', evicted)

    def events_before(self, limit: float) -> list[tuple[float, str, str]]:
        """Return the events that happened before `limit`."""
        return [event for event in self.events if event[0] < limit]

    def _note(self, now: float, kind: str, block: str) -> None:
        if self.rng.randrange(EVENT_GAP):
            self.events.append((now, kind, block))
