"""Routing policies: rank the agents of a pool for one request."""

import random
import typing
from collections import abc

from cranberryrill.membership import membership_pb2
from cranberryrill.relay import relay_pb2
from cranberryrill.routing import affinity, agent_health, scoring

Agents = abc.Sequence[membership_pb2.Announcement]
# A larger pool is sampled down to this many agents for each request.
MAX_COMPARED_AGENTS = 32
# Load that a warm prefix cache outweighs. One full batch is one request in
# each slot of an agent.
AFFINITY_BONUS_BATCHES = 0.25
REMOTE_DATA_CENTRE_PENALTY_BATCHES = 0.06


class Router(typing.Protocol):
    """Policy that ranks agents by load and observed health."""

    def order(
        self,
        call: relay_pb2.Call,
        agents: Agents,
        now: float,
    ) -> list[membership_pb2.Announcement]:
        """Return the agents to send the call to, best first."""

    def health(
        self, agent: membership_pb2.Announcement
    ) -> agent_health.AgentHealth:
        """Return the health of an agent; callers update it in place."""


class HealthTracker:
    """Health of each agent, by incarnation."""

    def __init__(self) -> None:
        self.health_by_incarnation: dict[str, agent_health.AgentHealth] = {}

    def health(
        self, agent: membership_pb2.Announcement
    ) -> agent_health.AgentHealth:
        """Return the health of an agent; callers update it in place."""
        return self.health_by_incarnation.setdefault(
            agent.incarnation, agent_health.AgentHealth()
        )

    def prune(self, agents: Agents) -> None:
        """Drop the health of agents that are not in `agents`."""
        present = {agent.incarnation for agent in agents}
        gone = [key for key in self.health_by_incarnation if key not in present]
        for incarnation in gone:
            del self.health_by_incarnation[incarnation]


class LeastLoadedRouter(HealthTracker):
    """Rank by announced load: the baseline for comparing policies."""

    def __init__(self, data_centre: str, rng: random.Random) -> None:
        super().__init__()
        self.data_centre = data_centre
        self.rng = rng

    def order(
        self,
        call: relay_pb2.Call,
        agents: Agents,
        now: float,
    ) -> list[membership_pb2.Announcement]:
        """Return the agents, lowest load per slot first.

        Equal loads prefer this data centre, then a random order.
        """
        return sorted(
            self.rng.sample(agents, len(agents)),
            key=lambda agent: (
                (agent.load.running + agent.load.waiting)
                / max(agent.offer.slots, 1),
                agent.data_centre != self.data_centre,
            ),
        )


class PredictedWaitRouter(HealthTracker):
    """Rank by predicted wait; skip ejected agents, penalise stragglers.

    When every agent is ejected, all of them are ranked.
    """

    def __init__(self, data_centre: str, rng: random.Random) -> None:
        super().__init__()
        self.data_centre = data_centre
        self.rng = rng

    def order(
        self,
        call: relay_pb2.Call,
        agents: Agents,
        now: float,
    ) -> list[membership_pb2.Announcement]:
        """Return the agents to send the call to, best first."""
        available = [
            agent for agent in agents if not self.health(agent).is_ejected(now)
        ] or list(agents)
        session = affinity.session_key(call)
        warm = affinity.preferred_agent(session, available)
        candidates = self._sample(available)
        if warm is not None and warm not in candidates:
            candidates.append(warm)
        slowness = scoring.slowness_by_agent(candidates)
        scores = {
            agent.process: self._score(
                agent,
                call.tier,
                slowness[agent.process],
                now,
            )
            - AFFINITY_BONUS_BATCHES * (agent is warm)
            for agent in candidates
        }
        return sorted(candidates, key=lambda agent: scores[agent.process])

    def _sample(self, agents: Agents) -> list[membership_pb2.Announcement]:
        return self.rng.sample(agents, min(len(agents), MAX_COMPARED_AGENTS))

    def _score(
        self,
        agent: membership_pb2.Announcement,
        tier: int,
        slowness: float,
        now: float,
    ) -> float:
        health = self.health(agent)
        score = scoring.score(
            agent,
            tier,
            health.unannounced_dispatches(now),
            slowness,
        )
        if agent.data_centre != self.data_centre:
            score += REMOTE_DATA_CENTRE_PENALTY_BATCHES
        is_straggler = slowness >= scoring.STRAGGLER_SLOWNESS
        if is_straggler and not self._may_probe(health, tier, now):
            # Ranks it behind the others, which is still better than refusing
            # the request.
            score += slowness
        return score

    def _may_probe(
        self,
        health: agent_health.AgentHealth,
        tier: int,
        now: float,
    ) -> bool:
        # Requests of the highest tier are never used as probes.
        return tier > 1 and health.probe_is_due(now)
