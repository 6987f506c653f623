"""Keep long prompts away from long answers.

While an engine reads a long prompt, every answer that it is writing pauses.
Requests with little to read and much to write therefore share some upstreams
of a service, which others avoid while they can. All processes come to the
same upstreams without talking, since the order follows from the names.
"""

import math
from collections import abc

import xxhash

from cranberryrill.forwarding import caller_request, upstreams

# Writing a token takes an engine about as long as reading so many.
READ_FOR_WRITTEN = 10
# Fewer upstreams than this are not worth separating.
LEAST_UPSTREAMS = 3
# An upstream with this share of its places writing long answers is full: each
# of them slows the others.
FULL_SHARE = 0.4
# How long answers that were open are remembered, by half, in seconds.
HALF_LIFE = 10.0


def is_decode_heavy(asked: caller_request.Metadata) -> bool:
    """Say whether a request has more to write than to read."""
    if not asked.prompt_tokens:
        return False
    return asked.output_tokens * READ_FOR_WRITTEN >= asked.prompt_tokens


def pool_size(open_answers: float, slots: int, known: int) -> int:
    """Return how many of the known upstreams long answers need."""
    if known < LEAST_UPSTREAMS or open_answers <= 0:
        return 0
    needed = math.ceil(open_answers / (max(slots, 1) * FULL_SHARE))
    return min(needed, known // 2)


def pool_members(
    candidates: abc.Sequence[upstreams.Upstream],
    count: int,
) -> frozenset[str]:
    """Return the upstreams that long answers share."""
    ordered = sorted(
        (known.id for known in candidates),
        key=lambda name: xxhash.xxh64_intdigest(name.encode()),
    )
    return frozenset(ordered[:count])


class LongAnswerPeak:
    """Remember how many long answers were open lately."""

    def __init__(self) -> None:
        self.peak = 0.0
        self.peak_at = float('-inf')

    def record(self, count: int, now: float) -> None:
        """Note how many are open now."""
        self.peak = max(self.recent(now), count)
        self.peak_at = now

    def recent(self, now: float) -> float:
        """Return how many there were, with those of a moment ago."""
        age = now - self.peak_at
        return self.peak * math.exp2(-age / HALF_LIFE)
