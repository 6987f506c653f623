"""Predict how long each agent of a pool would let a request wait."""

import statistics
from collections import abc

from cranberryrill.membership import membership_pb2

# An agent this much slower than its peers is a straggler.
STRAGGLER_SLOWNESS = 2.5
# Requests of lower tiers can be paused, which is not free.
LOWER_TIER_WEIGHT = 0.5


def score(
    agent: membership_pb2.Announcement,
    tier: int,
    unannounced: int,
    slowness: float,
) -> float:
    """Return the work before a request of `tier`, in full batches."""
    load = agent.load
    total = load.running + load.waiting
    before = sum(load.running_by_tier[:tier]) + sum(load.waiting_by_tier[:tier])
    lower = max(total - before, 0)
    work = before + LOWER_TIER_WEIGHT * lower + unannounced
    return work / max(agent.offer.slots, 1) * slowness


def has_capacity(agent: membership_pb2.Announcement, tier: int) -> bool:
    """Say whether the agent's own word is that `tier` needs no refusal."""
    load = agent.load
    before = sum(load.running_by_tier[:tier]) + sum(load.waiting_by_tier[:tier])
    return load.lowest_waiting_tier > tier or before < agent.offer.slots


def slowness_by_agent(
    agents: abc.Collection[membership_pb2.Announcement],
) -> dict[str, float]:
    """Return each agent's time between tokens against its peers' median."""
    measured = [
        agent.load.token_micros for agent in agents if agent.load.token_micros
    ]
    if len(measured) < 2:
        return {agent.process: 1 for agent in agents}
    # With two agents, the faster one is the measure.
    typical = statistics.median_low(measured)
    return {
        agent.process: max(agent.load.token_micros / typical, 1)
        for agent in agents
    }
