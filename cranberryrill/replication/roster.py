"""Know the other control members, also those that the settings don't name."""

import logging
from collections import abc

from cranberryrill import transport
from cranberryrill.replication import member, peers

LOGGER = logging.getLogger(__name__)


class Roster:
    """Take up members as they are heard of; all listen at one port.

    A fixed roster names its members in the settings and meets nobody else.
    """

    def __init__(
        self,
        local: member.Member,
        others: peers.Peers,
        port: int,
        *,
        fixed: bool = False,
    ) -> None:
        self.member = local
        self.peers = others
        self.port = port
        self.fixed = fixed
        # Called with each member that was met, to serve it from then on.
        self.on_added: list[abc.Callable[[str], None]] = []

    def hosts(self) -> list[str]:
        """Return where every known member listens; none if they are fixed."""
        if self.fixed:
            return []
        return sorted((self.member.name, *self.member.peers))

    def add_all(self, hosts: abc.Iterable[str]) -> None:
        """Take up whichever of these members are new."""
        if self.fixed:
            return
        for host in hosts:
            self._meet(host)

    def _meet(self, host: str) -> None:
        if not self.member.add_peer(host):
            return
        self.peers.addresses[host] = transport.Address(host, self.port)
        LOGGER.info('control member met', extra={'peer': host})
        for serve in self.on_added:
            serve(host)
