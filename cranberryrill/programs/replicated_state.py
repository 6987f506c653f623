"""Replicated state of a control member, with the tasks that maintain it."""

import dataclasses
import pathlib
import random

from cranberryrill import clock, tasks, transport
from cranberryrill.authority import intents
from cranberryrill.claims import state as claims_state
from cranberryrill.configuration import state
from cranberryrill.evacuation import recorder as evacuation_recorder
from cranberryrill.evacuation import state as evacuation_state
from cranberryrill.membership import directory, peer_exchange, watch_service
from cranberryrill.quarantine import ledger
from cranberryrill.registry import (
    archive,
    departure_recorder,
    departures,
    registry_pb2,
    table,
)
from cranberryrill.replication import (
    compaction,
    election,
    folder_lock,
    freshness,
    group_founder,
    log_replicator,
    member,
    peers,
    proposals,
    roster,
    service,
    snapshot_transfer,
    store,
    voter_admission,
)
from cranberryrill.settings import quarantine_limits
from cranberryrill.state import machine, submission
from cranberryrill.usage import clock_windows, windows


@dataclasses.dataclass(frozen=True)
class MemberOptions:
    """Options of a control member: its identity, its peers and timing."""

    name: str
    data_folder: pathlib.Path
    # Addresses of the other members that the settings name, by their names.
    others: dict[str, transport.Address]
    # Port of each member that the settings don't name.
    port: int
    # Whether only the members in the settings can ever be in the group.
    fixed: bool
    # Members that may found the group. None means all in the settings; empty
    # means none, since the group was founded before.
    founding_members: tuple[str, ...] | None = None
    # Interval between the heartbeats of an upstream.
    heartbeat_seconds: float = 1.2
    # How long an upstream serves on after it announced its end.
    drain_seconds: float = 2.0
    quarantine: quarantine_limits.QuarantineLimits = (
        quarantine_limits.QuarantineLimits()
    )
    # Data centres that may be evacuated.
    data_centres: frozenset[str] = frozenset()
    # Lock of the data folder, if acquired before the slow imports.
    lock: folder_lock.FolderLock | None = None


@dataclasses.dataclass(frozen=True)
class PeerTasks:
    """Tasks that replicate to a peer and exchange directories with it."""

    group: tasks.TaskGroup
    replicator: log_replicator.Replicator
    snapshot_sender: snapshot_transfer.Sender
    exchange: peer_exchange.PeerExchange

    def start(self, peer: str) -> None:
        """Start the tasks for `peer`, which run until they are cancelled."""
        self.group.start(self.replicator.run_peer(peer), f'append to {peer}')
        self.group.start(
            self.snapshot_sender.run_peer(peer), f'snapshots to {peer}'
        )
        self.group.start(
            self.exchange.run_peer(peer),
            f'exchange with {peer}',
        )


class ReplicatedState:
    """The replicated state of a control member, and its replication."""

    def __init__(
        self,
        options: MemberOptions,
        dialer: transport.Dialer,
        bounds: compaction.Bounds,
    ) -> None:
        self.bounds = bounds
        self.state = state.ConfigurationState()
        self.usage = windows.UsageState()
        self.clock_usage = clock_windows.ClockWindowsState()
        self.orders = intents.AuthorityState()
        self.registry = table.RegistrationTable(
            options.heartbeat_seconds,
            clock.monotonic_seconds(),
            options.drain_seconds,
        )
        self.departures = departures.DeparturesState(self._register_departure)
        self.evacuations = evacuation_state.EvacuationState()
        self.member = self._open_member(options)
        self.archive = archive.RegistrationArchive(
            options.data_folder, self.registry
        )
        self.archive.restore(clock.monotonic_seconds())
        self.peers = peers.Peers(dialer, options.others)
        self.roster = roster.Roster(
            self.member,
            self.peers,
            options.port,
            fixed=options.fixed,
        )
        self.directory = directory.Directory(clock.monotonic_seconds())
        self.evidence = ledger.Ledger(options.quarantine)
        self.proposer = proposals.Proposer(self.member, self.peers)
        self.departure_recorder = departure_recorder.DepartureRecorder(
            self.registry,
            self.departures,
            self.proposer,
            clock.SteadyUnixClock(
                clock.monotonic_seconds(), clock.unix_milliseconds()
            ),
        )
        self.evacuation_recorder = evacuation_recorder.EvacuationRecorder(
            options.data_centres, self.proposer
        )
        self.founder = group_founder.Founder(
            self.member,
            self.peers,
            options.founding_members,
        )
        self.admission = voter_admission.Admission(
            self.member,
            self.peers,
            self.proposer,
        )
        self.membership_service = self._make_membership_service()
        self.exchange = self._make_exchange()
        self.membership_service.on_evidence = self.exchange.wake

    @property
    def locked_at(self) -> float:
        """Return when the data folder was locked, in monotonic seconds."""
        return self.member.store.disk.lock.locked_at

    def services(self) -> list[transport.Servable]:
        """Return the gRPC services for other processes."""
        return [
            service.ReplicationService(
                self.member,
                self.proposer,
                self.founder,
                self.admission,
            ),
            self.membership_service,
            submission.SubmissionService(self.proposer),
        ]

    def start(self, group: tasks.TaskGroup) -> None:
        """Start the tasks of replication in `group`."""
        elector = election.Elector(
            self.member,
            self.peers,
            random.SystemRandom(),
        )
        replicator = log_replicator.Replicator(self.member, self.peers)
        snapshot_sender = snapshot_transfer.Sender(self.member, self.peers)
        compactor = compaction.Compactor(self.member, self.bounds)
        group.start(self.member.store.disk.raise_on_failure(), 'data folder')
        group.start(self.founder.run(), 'founder')
        group.start(elector.run(), 'elector')
        group.start(replicator.run_disk(), 'disk')
        group.start(compactor.run(), 'compactor')
        group.start(
            freshness.FreshnessPoller(self.member, self.peers).run(), 'reader'
        )
        group.start(self.membership_service.run_commit_wakes(), 'wakes')
        group.start(self.membership_service.run_proof_wakes(), 'proofs')
        group.start(self.exchange.run_expiry(), 'expiry')
        group.start(self.archive.run(), 'archive')

        peer_tasks = PeerTasks(
            group, replicator, snapshot_sender, self.exchange
        )
        for peer in self.member.peers:
            peer_tasks.start(peer)
        self.roster.on_added.append(peer_tasks.start)

    def close(self) -> None:
        """Close the connections to peers and the store."""
        self.peers.close()
        self.member.store.close()

    def _register_departure(
        self, departure: registry_pb2.RecordDeparture, unix_ms: int
    ) -> bool:
        age_seconds = departures.age_seconds(unix_ms, clock.unix_milliseconds())
        return self.registry.record(
            departure.registration,
            clock.monotonic_seconds() - age_seconds,
            removed=departure.removed,
            covered_until_ms=departure.covered_until_unix_ms,
        )

    def _make_membership_service(self) -> watch_service.MembershipService:
        membership_service = watch_service.MembershipService(
            self.member,
            self.state,
            self.directory,
            lambda: self.orders.highest_fencing,
            self.registry,
            self.roster,
            self.evidence,
        )
        membership_service.evacuations = self.evacuations
        return membership_service

    def _make_exchange(self) -> peer_exchange.PeerExchange:
        return peer_exchange.PeerExchange(
            self.member.name,
            self.directory,
            self.peers,
            self.state,
            self.registry,
            self.roster,
            self.evidence,
        )

    def _open_member(self, options: MemberOptions) -> member.Member:
        slices: list[machine.Slice] = [
            self.state,
            claims_state.ClaimsState(),
            self.usage,
            self.clock_usage,
            self.orders,
            self.departures,
            self.evacuations,
        ]
        member_store = store.Store(options.data_folder, options.lock)
        return member.Member(
            options.name,
            tuple(options.others),
            member_store,
            machine.Machine(slices),
            member_store.disk.lock.locked_at,
        )
