"""Connections to the other control members."""

from collections import abc

from grpclib import client

from cranberryrill import transport
from cranberryrill.certificates import roles
from cranberryrill.replication import replication_grpc


class Peers:
    """Pool of one connection to each other member.

    A connection whose call fails is replaced: it may stay broken while new
    connections work.
    """

    def __init__(
        self,
        dialer: transport.Dialer,
        addresses: abc.Mapping[str, transport.Address],
    ) -> None:
        self.dialer = dialer
        self.addresses = dict(addresses)
        self.channels: dict[str, client.Channel] = {}

    def channel(self, peer: str) -> client.Channel:
        """Return the pooled connection to `peer`; open it if needed."""
        if peer not in self.channels:
            self.channels[peer] = self.dial(peer)
        return self.channels[peer]

    def dial(self, peer: str) -> client.Channel:
        """Open a separate connection to `peer`; the caller closes it."""
        return self.dialer.dial(self.addresses[peer], roles.Role.control)

    def stub(self, peer: str) -> replication_grpc.ReplicationStub:
        """Return a stub for calls to `peer` over its pooled connection."""
        return replication_grpc.ReplicationStub(self.channel(peer))

    def reset(self, peer: str) -> None:
        """Close the connection to `peer`; the next call opens a new one."""
        channel = self.channels.pop(peer, None)
        if channel is not None:
            channel.close()

    def close(self) -> None:
        """Close all pooled connections."""
        for peer in list(self.channels):
            self.reset(peer)
