"""Tell the entries how busy an agent is."""

import collections

from cranberryrill.membership import membership_pb2
from cranberryrill.scheduling import scheduler

MICROSECONDS_PER_SECOND = 1_000_000


def announced_load(standing: scheduler.LoadSnapshot) -> membership_pb2.Load:
    """Return what the agent announces of its standing."""
    return membership_pb2.Load(
        running=standing.running.total(),
        waiting=standing.waiting.total(),
        lowest_waiting_tier=standing.lowest_waiting_tier,
        running_by_tier=_by_tier(standing.running),
        waiting_by_tier=_by_tier(standing.waiting),
        token_micros=round(
            standing.seconds_per_token * MICROSECONDS_PER_SECOND
        ),
    )


def _by_tier(counts: collections.Counter[int]) -> list[int]:
    return [counts[tier] for tier in range(1, max(counts, default=0) + 1)]
