"""Wire the replicated state of a control process."""

import dataclasses
import pathlib
import random

from cranberryrill import clock, tasks, transport
from cranberryrill.authority import intents
from cranberryrill.claims import state as claims_state
from cranberryrill.configuration import state
from cranberryrill.membership import directory, peer_exchange, watch_service
from cranberryrill.registry import table
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
from cranberryrill.state import machine, submission
from cranberryrill.usage import clock_windows, windows


@dataclasses.dataclass(frozen=True)
class MemberOptions:
    """Say who a control process is and whom it knows at its start."""

    name: str
    data_folder: pathlib.Path
    # Every other member that the settings name.
    others: dict[str, transport.Address]
    # Where members listen that the settings don't name.
    port: int
    # Whether the settings name every member there will ever be.
    fixed: bool
    # Who may found the group; nobody where it was founded before.
    founding_members: tuple[str, ...] | None = None
    heartbeat_seconds: float = 1.2
    # Taken on the data folder before the rest of the program was loaded.
    lock: folder_lock.FolderLock | None = None


@dataclasses.dataclass(frozen=True)
class PeerTasks:
    """Start what serves one other member."""

    group: tasks.TaskGroup
    lead: log_replicator.Replicator
    sender: snapshot_transfer.Sender
    exchange: peer_exchange.PeerExchange

    def start(self, peer: str) -> None:
        """Serve `peer` for as long as the process runs."""
        self.group.start(self.lead.run_peer(peer), f'append to {peer}')
        self.group.start(self.sender.run_peer(peer), f'snapshots to {peer}')
        self.group.start(
            self.exchange.run_peer(peer),
            f'exchange with {peer}',
        )


class ReplicatedState:
    """Hold the replicated state and what keeps it."""

    def __init__(
        self,
        place: MemberOptions,
        dialer: transport.Dialer,
        bounds: compaction.Bounds,
    ) -> None:
        self.bounds = bounds
        self.state = state.ConfigurationState()
        self.usage = windows.UsageState()
        self.clock_usage = clock_windows.ClockWindowsState()
        self.orders = intents.AuthorityState()
        self.member = self._open_member(place)
        self.peers = peers.Peers(dialer, place.others)
        self.roster = roster.Roster(
            self.member,
            self.peers,
            place.port,
            fixed=place.fixed,
        )
        self.directory = directory.Directory(clock.monotonic_seconds())
        self.registry = table.RegistrationTable(place.heartbeat_seconds)
        self.proposer = proposals.Proposer(self.member, self.peers)
        self.founder = group_founder.Founder(
            self.member,
            self.peers,
            place.founding_members,
        )
        self.admission = voter_admission.Admission(
            self.member,
            self.peers,
            self.proposer,
        )
        self.watching = self._make_watching()
        self.exchange = self._make_exchange()

    @property
    def locked_since(self) -> float:
        """Return since when this process has held its data folder."""
        return self.member.store.disk.lock.locked_at

    def services(self) -> list[transport.Servable]:
        """Return what other processes may call."""
        return [
            service.ReplicationService(
                self.member,
                self.proposer,
                self.founder,
                self.admission,
            ),
            self.watching,
            submission.SubmissionService(self.proposer),
        ]

    def start(self, group: tasks.TaskGroup) -> None:
        """Start to replicate, as tasks of `group`."""
        elector = election.Elector(
            self.member,
            self.peers,
            random.SystemRandom(),
        )
        lead = log_replicator.Replicator(self.member, self.peers)
        sender = snapshot_transfer.Sender(self.member, self.peers)
        compactor = compaction.Compactor(self.member, self.bounds)
        group.start(self.member.store.disk.raise_on_failure(), 'data folder')
        group.start(self.founder.run(), 'founder')
        group.start(elector.run(), 'elector')
        group.start(lead.run_disk(), 'disk')
        group.start(compactor.run(), 'compactor')
        group.start(
            freshness.FreshnessPoller(self.member, self.peers).run(), 'reader'
        )
        group.start(self.watching.run_commit_wakes(), 'wakes')
        group.start(self.watching.run_proof_wakes(), 'proofs')
        group.start(self.exchange.run_expiry(), 'expiry')

        served = PeerTasks(group, lead, sender, self.exchange)
        for peer in self.member.peers:
            served.start(peer)
        self.roster.on_added.append(served.start)

    def close(self) -> None:
        """Close the connections and files."""
        self.peers.close()
        self.member.store.close()

    def _make_watching(self) -> watch_service.MembershipService:
        return watch_service.MembershipService(
            self.member,
            self.state,
            self.directory,
            lambda: self.orders.highest_fencing,
            self.registry,
            self.roster,
        )

    def _make_exchange(self) -> peer_exchange.PeerExchange:
        return peer_exchange.PeerExchange(
            self.member.name,
            self.directory,
            self.peers,
            self.state,
            self.registry,
            self.roster,
        )

    def _open_member(self, place: MemberOptions) -> member.Member:
        slices: list[machine.Slice] = [
            self.state,
            claims_state.ClaimsState(),
            self.usage,
            self.clock_usage,
            self.orders,
        ]
        kept = store.Store(place.data_folder, place.lock)
        return member.Member(
            place.name,
            tuple(place.others),
            kept,
            machine.Machine(slices),
            kept.disk.lock.locked_at,
        )
