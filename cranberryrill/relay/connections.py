"""Pool of connections to agents, one for each address."""

import contextlib
from collections import abc

from grpclib import client

from cranberryrill import clock, transport
from cranberryrill.certificates import roles
from cranberryrill.membership import membership_pb2
from cranberryrill.relay import timing


class Connection:
    """A channel to an agent, with the number of its open streams.

    A retired connection takes no new streams and is closed with its last one.
    """

    def __init__(self, channel: client.Channel) -> None:
        self.channel = channel
        self.streams = 0
        self.retired = False
        self.used_at = float('-inf')

    def is_idle(self, now: float) -> bool:
        """Return whether it was unused for `IDLE_CONNECTION_SECONDS`."""
        return (
            not self.streams
            and now > self.used_at + timing.IDLE_CONNECTION_SECONDS
        )


class ConnectionPool:
    """Connections to agents, shared by the streams to the same address."""

    def __init__(self, dialer: transport.Dialer) -> None:
        self.dialer = dialer
        self.current: dict[transport.Address, Connection] = {}

    @contextlib.contextmanager
    def acquire(
        self,
        agent: membership_pb2.Announcement,
    ) -> abc.Iterator[Connection]:
        """Provide a connection to `agent` for one stream; dial if needed."""
        now = clock.monotonic_seconds()
        connection = self._find_or_dial(agent, now)
        connection.streams += 1
        try:
            yield connection
        finally:
            connection.streams -= 1
            connection.used_at = clock.monotonic_seconds()
            if connection.retired and not connection.streams:
                connection.channel.close()

    def retire(self, failed: Connection) -> None:
        """Open no new streams on a failed connection; current ones continue."""
        failed.retired = True
        for address, connection in list(self.current.items()):
            if connection is failed:
                del self.current[address]

    def _find_or_dial(
        self,
        agent: membership_pb2.Announcement,
        now: float,
    ) -> Connection:
        address = transport.Address(agent.host, agent.port)
        existing = self.current.get(address)
        if existing is not None:
            return existing
        self._close_idle(now)
        dialed = Connection(self.dialer.dial(address, roles.Role.agent))
        self.current[address] = dialed
        return dialed

    def _close_idle(self, now: float) -> None:
        for address, connection in list(self.current.items()):
            if connection.is_idle(now):
                connection.channel.close()
                del self.current[address]
