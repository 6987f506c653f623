"""Service of a control member for the watches of entries and agents.

A watch receives the state, the directory and proofs that they are current.
"""

import asyncio
from collections import abc

from grpclib import server

from cranberryrill import clock, tasks, transport
from cranberryrill.configuration import state
from cranberryrill.evacuation import state as evacuation_state
from cranberryrill.membership import (
    directory,
    membership_grpc,
    membership_pb2,
    timing,
)
from cranberryrill.quarantine import ledger, quarantine_pb2
from cranberryrill.registry import cursor, table
from cranberryrill.replication import member, roster

MILLISECONDS_PER_SECOND = 1000
WatchStream = server.Stream[membership_pb2.Renewal, membership_pb2.Push]


class Watch:
    """Stream to one watcher, with one task that reads and one that writes."""

    def __init__(self, service: 'MembershipService', stream: WatchStream):
        self.service = service
        self.stream = stream
        self.wake = asyncio.Event()
        self.process = ''
        self.needs_directory = False
        self.revision = 0
        # Sequence and arrival time of the renewals without a grant yet.
        self.renewals: list[tuple[int, float]] = []
        self.opened_at = clock.monotonic_seconds()
        self.last_renewal_at = self.opened_at
        # Whether the watcher has a state, and so upstreams, from elsewhere.
        self.has_moved = False
        self.cursor = directory.Cursor()
        self.directory_version = -1
        self.registry_cursor = cursor.Cursor()
        self.hosts: list[str] = []
        # Change number up to which the evidence was pushed.
        self.evidence_number = 0
        # Index of the evacuations that were pushed.
        self.evacuation_index = 0

    async def read(self) -> None:
        """Receive renewals until the watcher closes the stream."""
        async for renewal in self.stream:
            now = clock.monotonic_seconds()
            self.last_renewal_at = now
            if not self.process:
                self.revision = renewal.revision
                self.has_moved = bool(renewal.revision)
            self.process = renewal.announcement.process
            # Only entries choose among agents. If every process got the
            # directory, its cost would grow with the square of their number.
            self.needs_directory = (
                renewal.announcement.role == membership_pb2.Role.ENTRY
            )
            self.service.directory.record(
                renewal.announcement,
                self.service.member.name,
                now,
            )
            self.service.merge_evidence(renewal.evidence, now)
            self.renewals.append((renewal.sequence, now))
            self.wake.set()

    async def write(self) -> None:
        """Push what the watcher lacks until its renewals stop."""
        while not self._has_timed_out(clock.monotonic_seconds()):
            await tasks.wait_and_clear(
                self.wake, timing.DIRECTORY_PERIOD_SECONDS
            )
            if not self.process:
                continue
            # Read before the state, so that the state pushed is at least as
            # new as the proof.
            freshness = self.service.member.freshness
            await self._push_state()
            await self.push_evacuations()
            await self.push_directory(clock.monotonic_seconds())
            await self.push_registry(freshness, clock.monotonic_seconds())
            # Before the grants, so that a process that has just started knows
            # the quarantined parts when it begins to serve.
            await self._push_evidence(clock.monotonic_seconds())
            await self.push_grants(freshness)

    async def push_directory(self, now: float) -> None:
        """Push changes of the directory if the watcher needs it."""
        if not self.needs_directory:
            return
        process_directory = self.service.directory
        if not process_directory.is_ready(self.service.member.peers, now):
            return
        if process_directory.version == self.directory_version:
            return
        self.directory_version = process_directory.version
        update = self.cursor.next_update(process_directory.announcements())
        await self.stream.send_message(membership_pb2.Push(directory=update))

    async def push_evacuations(self) -> None:
        """Push the evacuations if they have changed.

        They precede the grants of the same round, so that the serving lease
        covers them: an entry that holds it knows every evacuation that was
        committed before the proof.
        """
        evacuations = self.service.evacuations
        unchanged = evacuations.index == self.evacuation_index
        if unchanged or not self.needs_directory:
            return
        self.evacuation_index = evacuations.index
        await self.stream.send_message(
            membership_pb2.Push(evacuations=evacuations.current()),
        )

    async def push_grants(self, freshness: member.Freshness) -> None:
        """Send grants for the renewals that `freshness` covers."""
        renewals = self.renewals
        self.renewals = []
        for sequence, arrived_at in renewals:
            age = max(arrived_at - freshness.as_of, 0)
            if age > timing.SERVING_LEASE_SECONDS:
                # A later proof will cover it. Keep only the newest such
                # renewal: its grant replaces those of older ones.
                self.renewals = [(sequence, arrived_at)]
                continue
            grant = membership_pb2.Grant(
                sequence=sequence,
                age_ms=int(age * MILLISECONDS_PER_SECOND) + 1,
                proof_ms=int(freshness.as_of * MILLISECONDS_PER_SECOND),
                revision=self.revision,
                fencing=self.service.newest_fencing(),
            )
            await self.stream.send_message(membership_pb2.Push(grant=grant))

    async def push_registry(
        self, freshness: member.Freshness, now: float
    ) -> None:
        """Push changes of the registry if the watcher needs it.

        A watcher that knows upstreams is sent nothing before a proof that this
        member has every departure that the watcher may know of.
        """
        if not self.needs_directory:
            return
        if self.has_moved and freshness.as_of < self.opened_at:
            return
        if not self._knows_upstreams(now):
            return
        update = self.registry_cursor.next_update(self.service.registry, now)
        if update is not None:
            await self.stream.send_message(
                membership_pb2.Push(registry=update),
            )
        hosts = self.service.members.hosts()
        if hosts != self.hosts:
            self.hosts = hosts
            control = membership_pb2.ControlMembers(hosts=hosts)
            await self.stream.send_message(
                membership_pb2.Push(control=control),
            )

    def _knows_upstreams(self, now: float) -> bool:
        """Return whether this member knows most upstreams.

        After a restart it knows them from its archive, or else from the shares
        of the other members. Entries that got only a few of them would send
        these the load of all.
        """
        return self.service.registry.is_restored or (
            self.service.directory.is_ready(self.service.member.peers, now)
        )

    async def _push_evidence(self, now: float) -> None:
        evidence = self.service.evidence
        unchanged = evidence.change_number == self.evidence_number
        if unchanged or not self.needs_directory:
            return
        parts = evidence.changes_since(self.evidence_number, now)
        self.evidence_number = evidence.change_number
        await self.stream.send_message(
            membership_pb2.Push(evidence=membership_pb2.Evidence(parts=parts)),
        )

    def _has_timed_out(self, now: float) -> bool:
        return now >= self.last_renewal_at + timing.WATCHER_TIMEOUT_SECONDS

    async def _push_state(self) -> None:
        serving_state = self.service.state
        if serving_state.configuration.revision == self.revision:
            return
        update = serving_state.update_since(self.revision)
        self.revision = update.revision
        await self.stream.send_message(membership_pb2.Push(state=update))


class MembershipService(membership_grpc.MembershipBase):
    """Serve watches, and receive the shares of other control members."""

    def __init__(
        self,
        local: member.Member,
        serving_state: state.ConfigurationState,
        process_directory: directory.Directory,
        newest_fencing: abc.Callable[[], int],
        registry: table.RegistrationTable,
        members: roster.Roster,
        evidence: ledger.Ledger,
    ) -> None:
        self.member = local
        self.evidence = evidence
        self.registry = registry
        self.members = members
        self.state = serving_state
        self.directory = process_directory
        self.evacuations = evacuation_state.EvacuationState()
        # Returns the highest fencing number in the applied state.
        self.newest_fencing = newest_fencing
        self.watches: set[Watch] = set()
        self.has_proof = False
        # Called after news of evidence, to share it with other members.
        self.on_evidence: abc.Callable[[], None] | None = None

    async def Watch(self, stream: WatchStream) -> None:
        """Push updates to one watcher until either side ends the stream."""
        watch = Watch(self, stream)
        self.watches.add(watch)
        writer = asyncio.create_task(watch.write())
        reader = asyncio.create_task(watch.read())
        try:
            await asyncio.wait(
                {writer, reader},
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            self.watches.discard(watch)
            await tasks.cancel_and_wait(writer, transport.CALL_ERRORS)
            await tasks.cancel_and_wait(reader, transport.CALL_ERRORS)

    async def Exchange(
        self,
        stream: server.Stream[membership_pb2.Share, membership_pb2.ShareAnswer],
    ) -> None:
        """Merge a share from another control member; answer with the hosts."""
        share = await stream.recv_message()
        if share is None:
            return
        now = clock.monotonic_seconds()
        self.directory.refresh(share.member, now)
        if share.full:
            self.directory.clear_source(share.member)
        for announcement in share.present:
            self.directory.record(announcement, share.member, now)
        for name in share.gone:
            self.directory.remove(name, share.member)
        self.directory.confirmed_revisions[share.member] = (
            share.confirmed_revision
        )
        self._merge_share(share, now)
        await stream.send_message(
            membership_pb2.ShareAnswer(hosts=self.members.hosts()),
        )

    def merge_evidence(
        self, parts: abc.Iterable[quarantine_pb2.SuspectRecord], now: float
    ) -> None:
        """Merge evidence on prompt parts; wake the watches if it is news."""
        if self.evidence.merge(parts, now):
            self.wake()
            if self.on_evidence is not None:
                self.on_evidence()

    def wake(self) -> None:
        """Make every watch check what its watcher lacks."""
        for watch in self.watches:
            watch.wake.set()

    def _merge_share(self, share: membership_pb2.Share, now: float) -> None:
        version = self.registry.version
        for sighting in share.sightings:
            self.registry.merge(sighting, now)
        if self.registry.version != version:
            self.wake()
        self.members.add_all(share.hosts)
        self.merge_evidence(share.evidence, now)

    async def run_proof_wakes(self) -> None:
        """Wake every watch when a fresh proof becomes available or is lost.

        Processes that have just started wait for their first proof.
        """
        while True:
            await asyncio.sleep(timing.PROOF_POLL_SECONDS)
            age = clock.monotonic_seconds() - self.member.freshness.as_of
            if self.has_proof != (age < timing.SERVING_LEASE_SECONDS):
                self.has_proof = not self.has_proof
                self.wake()

    async def run_commit_wakes(self) -> None:
        """Wake every watch when a commit changes what it pushes.

        That is the configuration, the evacuations, or the upstreams that have
        departed.
        """
        pushed = self._versions()
        while True:
            async with self.member.committed:
                await self.member.committed.wait()
            if self._versions() != pushed:
                pushed = self._versions()
                self.wake()

    def _versions(self) -> tuple[int, int, int]:
        return (
            self.state.configuration.revision,
            self.evacuations.index,
            self.registry.version,
        )
