"""Serve watches: push state, directory and proofs of freshness."""

import asyncio
from collections import abc

from grpclib import server

from cranberryrill import clock, tasks, transport
from cranberryrill.configuration import state
from cranberryrill.membership import (
    directory,
    membership_grpc,
    membership_pb2,
    timing,
)
from cranberryrill.registry import cursor, table
from cranberryrill.replication import member, roster

MILLISECONDS_PER_SECOND = 1000
WatchStream = server.Stream[membership_pb2.Renewal, membership_pb2.Push]


class Watch:
    """Push to one watcher; one task reads and one writes."""

    def __init__(self, service: 'MembershipService', stream: WatchStream):
        self.service = service
        self.stream = stream
        self.wake = asyncio.Event()
        self.process = ''
        self.needs_directory = False
        self.revision = 0
        # Renewals that wait for a grant, with the time of their arrival.
        self.renewals: list[tuple[int, float]] = []
        self.last_renewal_at = clock.monotonic_seconds()
        self.cursor = directory.Cursor()
        self.directory_version = -1
        self.registry_cursor = cursor.Cursor()
        self.hosts: list[str] = []

    async def read(self) -> None:
        """Take renewals until the watcher leaves."""
        async for renewal in self.stream:
            now = clock.monotonic_seconds()
            self.last_renewal_at = now
            if not self.process:
                self.revision = renewal.revision
            self.process = renewal.announcement.process
            # Only entries choose among agents. Sent to all, the directory
            # would cost the square of the number of processes.
            self.needs_directory = (
                renewal.announcement.role == membership_pb2.Role.ENTRY
            )
            self.service.directory.record(
                renewal.announcement,
                self.service.member.name,
                now,
            )
            self.renewals.append((renewal.sequence, now))
            self.wake.set()

    async def write(self) -> None:
        """Push whatever the watcher lacks, until it falls silent."""
        while not self._is_silent(clock.monotonic_seconds()):
            await tasks.wait_event(self.wake, timing.DIRECTORY_PERIOD_SECONDS)
            if not self.process:
                continue
            # Read before the state, which then is at least as new.
            fresh = self.service.member.freshness
            await self._push_state()
            await self.push_directory(clock.monotonic_seconds())
            await self._push_registry(clock.monotonic_seconds())
            await self.push_grants(fresh)

    async def push_directory(self, now: float) -> None:
        """Push what the watcher lacks of the directory, if it wants any."""
        if not self.needs_directory:
            return
        known = self.service.directory
        if not known.is_ready(self.service.member.peers, now):
            return
        if known.version == self.directory_version:
            return
        self.directory_version = known.version
        update = self.cursor.next_update(known.announcements())
        await self.stream.send_message(membership_pb2.Push(directory=update))

    async def push_grants(self, fresh: member.Freshness) -> None:
        """Grant leases to renewals that a proof covers."""
        renewals = self.renewals
        self.renewals = []
        for sequence, arrived_at in renewals:
            age = max(arrived_at - fresh.as_of, 0)
            if age > timing.SERVING_LEASE_SECONDS:
                # The next proof covers it; only the newest one matters.
                self.renewals = [(sequence, arrived_at)]
                continue
            grant = membership_pb2.Grant(
                sequence=sequence,
                age_ms=int(age * MILLISECONDS_PER_SECOND) + 1,
                proof_ms=int(fresh.as_of * MILLISECONDS_PER_SECOND),
                revision=self.revision,
                fencing=self.service.fencing(),
            )
            await self.stream.send_message(membership_pb2.Push(grant=grant))

    async def _push_registry(self, now: float) -> None:
        if not self.needs_directory:
            return
        known = self.service.directory
        if not known.is_ready(self.service.member.peers, now):
            return
        update = self.registry_cursor.step(self.service.registry)
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

    def _is_silent(self, now: float) -> bool:
        return now >= self.last_renewal_at + timing.WATCHER_TIMEOUT_SECONDS

    async def _push_state(self) -> None:
        held = self.service.state
        if held.configuration.revision == self.revision:
            return
        update = held.update_since(self.revision)
        self.revision = update.revision
        await self.stream.send_message(membership_pb2.Push(state=update))


class MembershipService(membership_grpc.MembershipBase):
    """Serve the watches of entries and agents, and the other members."""

    def __init__(
        self,
        local: member.Member,
        held: state.ConfigurationState,
        known: directory.Directory,
        fencing: abc.Callable[[], int],
        registry: table.Table,
        members: roster.Roster,
    ) -> None:
        self.member = local
        self.registry = registry
        self.members = members
        self.state = held
        self.directory = known
        # Returns the newest holder's fencing number in the applied state.
        self.fencing = fencing
        self.watches: set[Watch] = set()
        self.has_proof = False

    async def Watch(self, stream: WatchStream) -> None:
        """Keep one watcher up to date until it leaves."""
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
            await tasks.drop(writer, transport.CALL_ERRORS)
            await tasks.drop(reader, transport.CALL_ERRORS)

    async def Exchange(
        self,
        stream: server.Stream[membership_pb2.Share, membership_pb2.ShareAnswer],
    ) -> None:
        """Take what another member knows of its own watchers."""
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
        self._merge(share, now)
        await stream.send_message(
            membership_pb2.ShareAnswer(hosts=self.members.hosts()),
        )

    def wake(self) -> None:
        """Let every watch look for what its watcher lacks."""
        for watch in self.watches:
            watch.wake.set()

    def _merge(self, share: membership_pb2.Share, now: float) -> None:
        version = self.registry.version
        for sighting in share.sightings:
            self.registry.merge(sighting, now)
        if self.registry.version != version:
            self.wake()
        self.members.meet_all(share.hosts)

    async def run_proof_wakes(self) -> None:
        """Wake every watch when there is a proof again after there was none.

        Processes that have just started wait for it.
        """
        while True:
            await asyncio.sleep(timing.PROOF_POLL_SECONDS)
            age = clock.monotonic_seconds() - self.member.freshness.as_of
            if self.has_proof != (age < timing.SERVING_LEASE_SECONDS):
                self.has_proof = not self.has_proof
                self.wake()

    async def run_commit_wakes(self) -> None:
        """Wake every watch when entries were committed."""
        local = self.member
        seen = self.state.configuration.revision
        while True:
            async with local.committed:
                await local.committed.wait()
            if self.state.configuration.revision != seen:
                seen = self.state.configuration.revision
                self.wake()
