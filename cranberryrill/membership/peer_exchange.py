"""Tell the other control members who is connected to this one."""

import asyncio
import logging

from cranberryrill import clock, transport
from cranberryrill.configuration import state
from cranberryrill.membership import (
    directory,
    membership_grpc,
    membership_pb2,
    timing,
)
from cranberryrill.registry import table
from cranberryrill.replication import peers, roster

LOGGER = logging.getLogger(__name__)


class PeerExchange:
    """Share this member's own watchers with each other member."""

    def __init__(
        self,
        name: str,
        known: directory.Directory,
        others: peers.Peers,
        held: state.ConfigurationState,
        registry: table.Table,
        members: roster.Roster,
    ) -> None:
        self.name = name
        self.registry = registry
        self.members = members
        self.state = held
        self.directory = known
        self.peers = others

    async def run_expiry(self) -> None:
        """Drop processes that fell silent."""
        while True:
            now = clock.monotonic_seconds()
            self.directory.expire(now)
            for name in self.registry.expire(now):
                LOGGER.info('upstream silent', extra={'upstream': name})
            await asyncio.sleep(timing.DIRECTORY_PERIOD_SECONDS)

    def confirmed_revision(self, now: float) -> int:
        """Return the revision that every new watcher here gets at least."""
        if not self.directory.old_leases_expired(now):
            return 0
        return self.state.configuration.revision

    async def run_peer(self, peer: str) -> None:
        """Keep `peer` up to date."""
        cursor = directory.Cursor()
        stamp = 0
        while True:
            now = clock.monotonic_seconds()
            newest = self.registry.stamp
            step = cursor.next_update(self.directory.announcements(self.name))
            share = membership_pb2.Share(
                member=self.name,
                full=step.full,
                present=step.present,
                gone=step.gone,
                confirmed_revision=self.confirmed_revision(now),
                sightings=self.registry.sightings_since(stamp, now),
                hosts=self.members.hosts(),
            )
            stub = membership_grpc.MembershipStub(self.peers.channel(peer))
            try:
                answer = await stub.Exchange(
                    share,
                    timeout=timing.EXCHANGE_TIMEOUT_SECONDS,
                )
            except transport.CALL_ERRORS:
                self.peers.reset(peer)
                cursor = directory.Cursor()
                stamp = 0
            else:
                stamp = newest
                self.members.meet_all(answer.hosts)
            await asyncio.sleep(timing.DIRECTORY_PERIOD_SECONDS)
