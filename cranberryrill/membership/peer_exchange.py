"""Exchange of watchers, upstreams and evidence between control members."""

import asyncio
import dataclasses
import logging

from cranberryrill import clock, tasks, transport
from cranberryrill.configuration import state
from cranberryrill.membership import (
    directory,
    membership_grpc,
    membership_pb2,
    timing,
)
from cranberryrill.quarantine import ledger
from cranberryrill.registry import table
from cranberryrill.replication import peers, roster

LOGGER = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True)
class SentChanges:
    """Change numbers up to which another member has received everything."""

    registry: int = 0
    evidence: int = 0


class PeerExchange:
    """Send what this member has received to each other member.

    That is the processes that watch through this member, the sightings of
    upstreams, the evidence on prompt parts, and the hosts of control members.
    """

    def __init__(
        self,
        name: str,
        process_directory: directory.Directory,
        connections: peers.Peers,
        serving_state: state.ConfigurationState,
        registry: table.RegistrationTable,
        members: roster.Roster,
        evidence: ledger.Ledger,
    ) -> None:
        self.name = name
        self.registry = registry
        self.evidence = evidence
        self.members = members
        self.state = serving_state
        self.directory = process_directory
        self.peers = connections
        self.wakes: dict[str, asyncio.Event] = {}

    async def run_expiry(self) -> None:
        """Remove processes and upstreams that are no longer announced."""
        while True:
            now = clock.monotonic_seconds()
            self.directory.expire(now)
            for name in self.registry.expire(now):
                LOGGER.info('upstream silent', extra={'upstream': name})
            self.evidence.expire(now)
            await asyncio.sleep(timing.DIRECTORY_PERIOD_SECONDS)

    def confirmed_revision(self, now: float) -> int:
        """Return the revision that this member confirms to the others.

        New watchers here get at least this revision. 0 while a lease from
        before the start of this member may still run.
        """
        if not self.directory.old_leases_expired(now):
            return 0
        return self.state.configuration.revision

    def wake(self) -> None:
        """Send the changes to all other members at once."""
        for wake in self.wakes.values():
            wake.set()

    async def run_peer(self, peer: str) -> None:
        """Send changes to `peer` for as long as this member runs.

        After a failed call, everything is sent again.
        """
        wake = self.wakes.setdefault(peer, asyncio.Event())
        cursor = directory.Cursor()
        sent = SentChanges()
        while True:
            now = clock.monotonic_seconds()
            newest = SentChanges(
                self.registry.change_number, self.evidence.change_number
            )
            update = cursor.next_update(self.directory.announcements(self.name))
            share = membership_pb2.Share(
                member=self.name,
                full=update.full,
                present=update.present,
                gone=update.gone,
                confirmed_revision=self.confirmed_revision(now),
                sightings=self.registry.sightings_since(sent.registry, now),
                evidence=self.evidence.changes_since(sent.evidence, now),
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
                sent = SentChanges()
            else:
                sent = newest
                self.members.add_all(answer.hosts)
            await tasks.wait_and_clear(wake, timing.DIRECTORY_PERIOD_SECONDS)
