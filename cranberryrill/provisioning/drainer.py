"""Drain an upstream before it is stopped."""

import logging

from cranberryrill import transport
from cranberryrill.authority import authority_grpc, authority_pb2, timing
from cranberryrill.certificates import roles
from cranberryrill.membership import directory, membership_pb2

LOGGER = logging.getLogger(__name__)
# An upstream counts as drained once its agent has been missing from the
# directory this long: no process except that agent sends it requests.
MISSING_TIMEOUT_SECONDS = 60.0


class Drainer:
    """Send drain orders to agents and track when their upstreams are idle."""

    def __init__(
        self,
        name: str,
        process_directory: directory.Directory,
        dialer: transport.Dialer,
    ) -> None:
        self.name = name
        self.directory = process_directory
        self.dialer = dialer
        # Monotonic seconds, by the name of the upstream.
        self.drain_sent_at: dict[str, float] = {}
        self.missing_since: dict[str, float] = {}

    def is_drained(self, upstream: str, now: float) -> bool:
        """Return whether an upstream accepts no new work and has none left.

        Also true for an upstream that has been missing from the directory for
        `MISSING_TIMEOUT_SECONDS`. `now` is in monotonic seconds.
        """
        announcement = self.directory.announcements().get(upstream)
        if announcement is None:
            missing_since = self.missing_since.setdefault(upstream, now)
            return now >= missing_since + MISSING_TIMEOUT_SECONDS
        self.missing_since.pop(upstream, None)
        idle = not (announcement.load.running or announcement.load.waiting)
        return announcement.leaving and idle

    async def drain(self, upstream: str, fencing: int, now: float) -> None:
        """Send a drain order to an agent that is not leaving yet.

        Repeated at most once per `DRAIN_RETRY_PERIOD_SECONDS`. An upstream
        that is not in the directory is skipped.
        """
        announcement = self.directory.announcements().get(upstream)
        if announcement is None or announcement.leaving:
            return
        sent_at = self.drain_sent_at.get(upstream, float('-inf'))
        if now >= sent_at + timing.DRAIN_RETRY_PERIOD_SECONDS:
            self.drain_sent_at[upstream] = now
            await self._send_drain_order(announcement, fencing)

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
