"""Decode pools of the fastest upstreams."""

import math
from collections import abc

from cranberryrill.engine_model import speed_level
from cranberryrill.forwarding import (
    decode_pool,
    departure,
    predicted_request,
    upstreams,
)


def fastest_members(
    candidates: abc.Iterable[upstreams.Upstream], count: float, now: float
) -> frozenset[str]:
    """Return the ids of the fastest upstreams, as decode pool.

    `count` is the number of upstreams of usual speed that would be needed; of
    faster ones, fewer are. Among those of one quantised speed, the order is
    that of `decode_pool.pool_members`, so that entries which have measured
    slightly different speeds agree. A larger pool contains every smaller one.
    """
    by_level: dict[int, list[upstreams.Upstream]] = {}
    for upstream in candidates:
        level = predicted_request.model_of(upstream).speed_level(now)
        by_level.setdefault(level, []).append(upstream)
    members: frozenset[str] = frozenset()
    needed = float(count)
    for level, same_level in sorted(by_level.items(), reverse=True):
        speed = speed_level.RATIO**level
        taken = min(math.ceil(needed / speed), len(same_level))
        members |= decode_pool.pool_members(same_level, taken)
        needed -= taken * speed
        if needed <= 0:
            break
    return members


def local_members(
    candidates: abc.Sequence[upstreams.Upstream], count: int, now: float
) -> frozenset[str]:
    """Return the ids of the decode pools of all data centres.

    Each has a part of the needed upstreams in proportion to its size, so that
    no request must leave for one; at most half of its upstreams are in a pool.
    """
    members: frozenset[str] = frozenset()
    for local in departure.by_data_centre(candidates).values():
        share = len(local) / len(candidates)
        needed = min(count * share, len(local) // 2)
        if needed > 0:
            members |= fastest_members(local, needed, now)
    return members
