"""Reserve some upstreams of a service for decode-heavy requests.

A request is decode-heavy if generating its response takes longer than
prefilling its prompt. While an engine prefills a long prompt, it pauses the
responses that it is generating. Decode-heavy requests therefore share a subset
of the upstreams, the decode pool, which other requests avoid where possible.
All processes compute the same pool without coordination, since the order of the
upstreams follows from a hash of their ids.
"""

import math
from collections import abc

import xxhash

from cranberryrill.forwarding import caller_request, upstreams

# An engine generates one output token in about the time in which it prefills
# this many prompt tokens.
PREFILL_TOKENS_PER_OUTPUT_TOKEN = 10
# With fewer upstreams no decode pool is formed.
MIN_UPSTREAMS = 3
# Share of an upstream's slots that decode-heavy requests may use: they slow
# down one another.
MAX_DECODE_HEAVY_SHARE = 0.4
# The recorded peak of open decode-heavy requests decays by half in this time.
PEAK_HALF_LIFE_SECONDS = 10.0


def is_decode_heavy(metadata: caller_request.Metadata) -> bool:
    """Return whether generating the response takes longer than prefill.

    False if the caller did not state the number of prompt tokens.
    """
    if not metadata.prompt_tokens:
        return False
    return (
        metadata.output_tokens * PREFILL_TOKENS_PER_OUTPUT_TOKEN
        >= metadata.prompt_tokens
    )


def pool_size(
    decode_heavy_requests: float, slots: int, upstream_count: int
) -> int:
    """Return the number of upstreams to reserve, at most half of them.

    `slots` is the number of slots of each upstream. 0 when there are too few
    upstreams or no decode-heavy requests.
    """
    if upstream_count < MIN_UPSTREAMS or decode_heavy_requests <= 0:
        return 0
    needed = math.ceil(
        decode_heavy_requests / (max(slots, 1) * MAX_DECODE_HEAVY_SHARE)
    )
    return min(needed, upstream_count // 2)


def pool_members(
    candidates: abc.Sequence[upstreams.Upstream],
    count: int,
) -> frozenset[str]:
    """Return the ids of the upstreams in a pool of the given size.

    A larger pool contains every smaller one.
    """
    ordered = sorted(
        (upstream.id for upstream in candidates),
        key=lambda upstream_id: xxhash.xxh64_intdigest(upstream_id.encode()),
    )
    return frozenset(ordered[:count])


class DecodeHeavyPeak:
    """Decaying peak of the number of open decode-heavy requests.

    It keeps the decode pool from shrinking at once after a burst.
    """

    def __init__(self) -> None:
        self.peak = 0.0
        self.peak_at = float('-inf')

    def record(self, count: int, now: float) -> None:
        """Record the number of decode-heavy requests that are open now."""
        self.peak = max(self.recent(now), count)
        self.peak_at = now

    def recent(self, now: float) -> float:
        """Return the latest peak, decayed to the time `now`."""
        age = now - self.peak_at
        return self.peak * math.exp2(-age / PEAK_HALF_LIFE_SECONDS)
