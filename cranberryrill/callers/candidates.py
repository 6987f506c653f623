"""Hand out the agents of a pool, each once, to one request."""

import asyncio
from collections import abc

from cranberryrill import clock, failures
from cranberryrill.membership import membership_pb2, serving_lease

# While a pool is restarted, a request waits this long for an agent to appear.
PATIENCE_SECONDS = 2.0
CHECK_SECONDS = 0.25
PASSING = (failures.AgentLeaving, failures.AgentUnreachable)
Order = abc.Callable[[], list[membership_pb2.Announcement]]


class Candidates:
    """Name the next agent to ask, best first by the newest announcements."""

    def __init__(
        self,
        holder: serving_lease.Holder,
        order: Order,
        now: float,
    ) -> None:
        self.holder = holder
        self.order = order
        self.deadline = now + PATIENCE_SECONDS
        self.named: set[str] = set()
        self.left: list[membership_pb2.Announcement] = []
        self._refresh()

    def take(self) -> membership_pb2.Announcement | None:
        """Return the best agent that was not named yet, if there is one."""
        if not self.left:
            return None
        agent = self.left.pop(0)
        self.named.add(agent.incarnation)
        return agent

    async def take_after(
        self,
        failure: failures.Failure,
    ) -> membership_pb2.Announcement | None:
        """Return the next agent; wait for one if the last only went away."""
        agent = self.take()
        while agent is None and isinstance(failure, PASSING):
            if clock.monotonic_seconds() > self.deadline:
                break
            await self._wait_update()
            self._refresh()
            agent = self.take()
        return agent

    def _refresh(self) -> None:
        self.left = [
            agent
            for agent in self.order()
            if agent.incarnation not in self.named
        ]

    async def _wait_update(self) -> None:
        try:
            async with asyncio.timeout(CHECK_SECONDS):
                async with self.holder.updated:
                    await self.holder.updated.wait()
        except TimeoutError:
            return
