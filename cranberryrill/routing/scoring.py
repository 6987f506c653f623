"""Score agents by predicted wait and compare their speed."""

import statistics
from collections import abc

from cranberryrill.membership import membership_pb2

# An agent this many times slower than the median is a straggler.
STRAGGLER_SLOWNESS = 2.5
# Lower-tier requests can be preempted, but preemption has a cost.
LOWER_TIER_WEIGHT = 0.5


def score(
    agent: membership_pb2.Announcement,
    tier: int,
    unannounced: int,
    slowness: float,
) -> float:
    """Return the load ahead of a request of `tier`, in full batches.

    `unannounced` counts own dispatches that the announced load may not
    include. Lower tiers count in part, and the load is multiplied by
    `slowness`.
    """
    load = agent.load
    total = load.running + load.waiting
    ahead = sum(load.running_by_tier[:tier]) + sum(load.waiting_by_tier[:tier])
    lower = max(total - ahead, 0)
    work = ahead + LOWER_TIER_WEIGHT * lower + unannounced
    return work / max(agent.offer.slots, 1) * slowness


def has_capacity(agent: membership_pb2.Announcement, tier: int) -> bool:
    """Return whether the announced load shows room for `tier`.

    There is room when fewer requests of the same or higher tiers run and
    wait than the agent has slots, or a waiting request of a lower tier can
    be evicted.
    """
    load = agent.load
    ahead = sum(load.running_by_tier[:tier]) + sum(load.waiting_by_tier[:tier])
    return load.lowest_waiting_tier > tier or ahead < agent.offer.slots


def slowness_by_agent(
    agents: abc.Collection[membership_pb2.Announcement],
) -> dict[str, float]:
    """Return each agent's time between tokens relative to the median.

    Keys are process names. Values are at least 1, and all 1 when fewer than
    two agents have a measured speed.
    """
    measured = [
        agent.load.token_micros for agent in agents if agent.load.token_micros
    ]
    if len(measured) < 2:
        return {agent.process: 1 for agent in agents}
    # The low median of two agents is the faster one.
    median = statistics.median_low(measured)
    return {
        agent.process: max(agent.load.token_micros / median, 1)
        for agent in agents
    }
