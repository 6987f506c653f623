"""Choose which agents of a pool to ask, and in which order."""

import random
import typing
from collections import abc

from cranberryrill.membership import membership_pb2
from cranberryrill.relay import relay_pb2
from cranberryrill.routing import affinity, agent_health, scoring

Agents = abc.Sequence[membership_pb2.Announcement]
# Of a larger pool, so many agents are looked at for one request.
MAX_COMPARED_AGENTS = 32
# A warm prefix cache is worth this much more work, in full batches.
AFFINITY_BONUS_BATCHES = 0.25
# Another data centre costs this much, in full batches.
REMOTE_DATA_CENTRE_PENALTY_BATCHES = 0.06


class Router(typing.Protocol):
    """Order agents, and learn from what became of the requests."""

    def order(
        self,
        call: relay_pb2.Call,
        agents: Agents,
        now: float,
    ) -> list[membership_pb2.Announcement]:
        """Return the agents to ask, the best first."""

    def health(
        self, agent: membership_pb2.Announcement
    ) -> agent_health.AgentHealth:
        """Return what is remembered of an agent."""


class HealthTracker:
    """Keep the record of each agent by its incarnation."""

    def __init__(self) -> None:
        self.health_by_incarnation: dict[str, agent_health.AgentHealth] = {}

    def health(
        self, agent: membership_pb2.Announcement
    ) -> agent_health.AgentHealth:
        """Return what is remembered of an agent."""
        return self.health_by_incarnation.setdefault(
            agent.incarnation, agent_health.AgentHealth()
        )

    def prune(self, agents: Agents) -> None:
        """Drop the records of agents that are no more."""
        present = {agent.incarnation for agent in agents}
        gone = [one for one in self.health_by_incarnation if one not in present]
        for incarnation in gone:
            del self.health_by_incarnation[incarnation]


class LeastLoadedRouter(HealthTracker):
    """Order by announced load: the policy that others are measured by."""

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
        """Return the agents, least loaded for its slots first."""
        return sorted(
            self.rng.sample(agents, len(agents)),
            key=lambda agent: (
                (agent.load.running + agent.load.waiting)
                / max(agent.offer.slots, 1),
                agent.data_centre != self.data_centre,
            ),
        )


class PredictedWaitRouter(HealthTracker):
    """Order by predicted wait, leaving out those that fail or lag."""

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
        """Return the agents to ask, the best first."""
        alive = [
            agent for agent in agents if not self.health(agent).is_ejected(now)
        ] or list(agents)
        session = affinity.session_key(call)
        warm = affinity.preferred_agent(session, alive)
        compared = self._sample(alive)
        if warm is not None and warm not in compared:
            compared.append(warm)
        slowness = scoring.slowness_by_agent(compared)
        scores = {
            agent.process: self._score(
                agent,
                call.tier,
                slowness[agent.process],
                now,
            )
            - AFFINITY_BONUS_BATCHES * (agent is warm)
            for agent in compared
        }
        return sorted(compared, key=lambda agent: scores[agent.process])

    def _sample(self, agents: Agents) -> list[membership_pb2.Announcement]:
        return self.rng.sample(agents, min(len(agents), MAX_COMPARED_AGENTS))

    def _score(
        self,
        agent: membership_pb2.Announcement,
        tier: int,
        slowness: float,
        now: float,
    ) -> float:
        record = self.health(agent)
        score = scoring.score(
            agent,
            tier,
            record.unannounced_dispatches(now),
            slowness,
        )
        if agent.data_centre != self.data_centre:
            score += REMOTE_DATA_CENTRE_PENALTY_BATCHES
        straggles = slowness >= scoring.STRAGGLER_SLOWNESS
        if straggles and not self._may_probe(record, tier, now):
            # After all others, but before a refusal.
            score += slowness
        return score

    def _may_probe(
        self,
        record: agent_health.AgentHealth,
        tier: int,
        now: float,
    ) -> bool:
        # The most urgent requests are no probes.
        return tier > 1 and record.probe_is_due(now)
