"""Encode the load of an agent for its announcement to entries."""

import collections

from cranberryrill.membership import membership_pb2
from cranberryrill.scheduling import scheduler

MICROSECONDS_PER_SECOND = 1_000_000


def announced_load(snapshot: scheduler.LoadSnapshot) -> membership_pb2.Load:
    """Return the announced form of a load snapshot."""
    return membership_pb2.Load(
        running=snapshot.running.total(),
        waiting=snapshot.waiting.total(),
        lowest_waiting_tier=snapshot.lowest_waiting_tier,
        running_by_tier=_by_tier(snapshot.running),
        waiting_by_tier=_by_tier(snapshot.waiting),
        token_micros=round(
            snapshot.seconds_per_token * MICROSECONDS_PER_SECOND
        ),
    )


def _by_tier(counts: collections.Counter[int]) -> list[int]:
    # Index 0 holds tier 1.
    return [counts[tier] for tier in range(1, max(counts, default=0) + 1)]
