"""Candidate agents for one request, each offered once."""

import asyncio
from collections import abc

from cranberryrill import clock, failures
from cranberryrill.membership import membership_pb2, serving_lease

# How long after its start a request still waits for a new agent, for example
# while all agents of its target restart.
AGENT_WAIT_SECONDS = 2.0
RECHECK_SECONDS = 0.25
AGENT_GONE_FAILURES = (failures.AgentLeaving, failures.AgentUnreachable)
RankAgents = abc.Callable[[], list[membership_pb2.Announcement]]


class Candidates:
    """Agents that one request has not been sent to yet, best first.

    `rank_agents` ranks the agents by their newest announcements. `now` is in
    seconds on the monotonic clock.
    """

    def __init__(
        self,
        holder: serving_lease.Holder,
        rank_agents: RankAgents,
        now: float,
    ) -> None:
        self.holder = holder
        self.rank_agents = rank_agents
        self.deadline = now + AGENT_WAIT_SECONDS
        self.taken: set[str] = set()
        self.remaining: list[membership_pb2.Announcement] = []
        self._refresh()

    def take(self) -> membership_pb2.Announcement | None:
        """Return the best agent not taken yet, or None if none remains."""
        if not self.remaining:
            return None
        agent = self.remaining.pop(0)
        self.taken.add(agent.incarnation)
        return agent

    async def take_after(
        self,
        failure: failures.Failure,
    ) -> membership_pb2.Announcement | None:
        """Return the next agent, or None if no candidate remains.

        `failure` is that of the previous agent. If that agent was leaving or
        unreachable and no candidate remains, wait for a new agent until the
        deadline.
        """
        agent = self.take()
        while agent is None and isinstance(failure, AGENT_GONE_FAILURES):
            if clock.monotonic_seconds() > self.deadline:
                break
            await self._wait_for_update()
            self._refresh()
            agent = self.take()
        return agent

    def _refresh(self) -> None:
        self.remaining = [
            agent
            for agent in self.rank_agents()
            if agent.incarnation not in self.taken
        ]

    async def _wait_for_update(self) -> None:
        try:
            async with asyncio.timeout(RECHECK_SECONDS):
                async with self.holder.updated:
                    await self.holder.updated.wait()
        except TimeoutError:
            return
