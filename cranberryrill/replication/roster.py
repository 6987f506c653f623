"""Track the control members, including those that no settings name."""

import logging
from collections import abc

from cranberryrill import transport
from cranberryrill.replication import member, peers

LOGGER = logging.getLogger(__name__)


class Roster:
    """Add control members as they become known; all listen at one port.

    A fixed roster has just the members that the settings name.
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
        # Called with each added member, to start its tasks.
        self.on_added: list[abc.Callable[[str], None]] = []

    def hosts(self) -> list[str]:
        """Return the hosts of all known members; empty if they are fixed."""
        if self.fixed:
            return []
        return sorted((self.member.name, *self.member.peers))

    def add_all(self, hosts: abc.Iterable[str]) -> None:
        """Add the members at `hosts` that are not known yet."""
        if self.fixed:
            return
        for host in hosts:
            self._add(host)

    def _add(self, host: str) -> None:
        if not self.member.add_peer(host):
            return
        self.peers.addresses[host] = transport.Address(host, self.port)
        LOGGER.info('control member met', extra={'peer': host})
        for notify in self.on_added:
            notify(host)
