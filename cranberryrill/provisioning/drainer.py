"""Bring an upstream to rest before it is stopped."""

import logging

from cranberryrill import transport
from cranberryrill.authority import authority_grpc, authority_pb2, timing
from cranberryrill.certificates import roles
from cranberryrill.membership import directory, membership_pb2

LOGGER = logging.getLogger(__name__)
# An upstream whose agent has been silent for so many seconds is at rest: no
# other process speaks to it.
MISSING_TIMEOUT_SECONDS = 60.0


class Drainer:
    """Ask agents to take no new work, and watch them come to rest."""

    def __init__(
        self,
        name: str,
        known: directory.Directory,
        dialer: transport.Dialer,
    ) -> None:
        self.name = name
        self.directory = known
        self.dialer = dialer
        self.drain_sent_at: dict[str, float] = {}
        self.missing_since: dict[str, float] = {}

    def is_drained(self, upstream: str, now: float) -> bool:
        """Say whether an upstream takes no work and has none left."""
        announced = self.directory.announcements().get(upstream)
        if announced is None:
            missed_since = self.missing_since.setdefault(upstream, now)
            return now >= missed_since + MISSING_TIMEOUT_SECONDS
        self.missing_since.pop(upstream, None)
        idle = not (announced.load.running or announced.load.waiting)
        return announced.leaving and idle

    async def drain(self, upstream: str, fencing: int, now: float) -> None:
        """Ask an agent that is not leaving yet to take no new work."""
        announced = self.directory.announcements().get(upstream)
        if announced is None or announced.leaving:
            return
        asked_at = self.drain_sent_at.get(upstream, float('-inf'))
        if now >= asked_at + timing.DRAIN_RETRY_PERIOD_SECONDS:
            self.drain_sent_at[upstream] = now
            await self._send_drain_order(announced, fencing)

    async def _send_drain_order(
        self,
        agent: membership_pb2.Announcement,
        fencing: int,
    ) -> None:
        address = transport.Address(agent.host, agent.port)
        channel = self.dialer.dial(address, roles.Role.agent)
        order = authority_pb2.EngineOrder(
            fencing=fencing,
            kind=authority_pb2.DRAIN,
            sender=self.name,
        )
        try:
            await authority_grpc.OrdersStub(channel).Pass(
                order,
                timeout=timing.DRAIN_TIMEOUT_SECONDS,
            )
        except transport.CALL_ERRORS as error:
            LOGGER.warning(
                'drain not answered',
                extra={
                    'upstream': agent.process,
                    'cause': type(error).__name__,
                },
            )
        finally:
            channel.close()
