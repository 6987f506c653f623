"""State of one member of the replication group, and its commit rules."""

import asyncio
import dataclasses
import enum
import pathlib
from collections import abc as collection_types

from cranberryrill.replication import (
    files,
    groups,
    replication_pb2,
    store,
    timing,
)
from cranberryrill.state import machine

MAX_PENDING_ENTRIES = 4096
# Earlier than any time of the monotonic clock.
NEVER = float('-inf')
MAX_BATCH_ENTRIES = 512


class Role(enum.Enum):
    """Role of a member in the present term."""

    follower = 'follower'
    candidate = 'candidate'
    leader = 'leader'


@dataclasses.dataclass
class PeerProgress:
    """Replication progress of one peer, as tracked by the leader."""

    next_index: int
    match_index: int = 0
    # Identity of the data folder that answered; empty before any answer. It
    # counts for commits and the lease only if the folder is a voter.
    identity: str = ''
    # Maximum number of entries in the next append request.
    batch_entries: int = MAX_BATCH_ENTRIES
    # Bytes of snapshots sent in this term.
    snapshot_bytes: int = 0
    # Monotonic time at which the newest answered append was sent.
    confirmed_at: float = NEVER

    def update_identity(self, identity: str) -> None:
        """Reset the progress if another data folder answers as this peer."""
        if identity == self.identity:
            return
        self.identity = identity
        self.match_index = 0
        self.confirmed_at = NEVER


@dataclasses.dataclass(frozen=True)
class Freshness:
    """Proof that nothing after `index` was committed at time `as_of`."""

    index: int
    as_of: float


@dataclasses.dataclass(frozen=True)
class NotLeader:
    """This member does not lead; the command was not proposed.

    `leader` is empty if no leader is known.
    """

    leader: str


@dataclasses.dataclass(frozen=True)
class TooManyPending:
    """The leader has reached its limit of uncommitted entries."""

    pending: int


@dataclasses.dataclass(frozen=True)
class ProposalUnknown:
    """The command may or may not have been committed."""

    reason: str


ProposalFailure = NotLeader | TooManyPending | ProposalUnknown


class LeadershipLost(Exception):
    """The member stopped leading before the entry was committed."""


class ApplyFailed(files.StorageFailure):
    """A committed entry cannot be applied, so the process has to stop."""

    def __init__(
        self,
        path: pathlib.Path,
        index: int,
        cause: Exception,
    ) -> None:
        super().__init__(path, f'entry {index} cannot be applied: {cause}')


@dataclasses.dataclass(frozen=True)
class PendingProposal:
    """Entry proposed in `term`, whose outcome `future` receives."""

    term: int
    future: asyncio.Future[bytes]


class Member:
    """State of one member of the replication group.

    Combines the stored log and ballot, the state machine, and what is known
    of the leader and the peers. Times are seconds of the monotonic clock.
    """

    def __init__(
        self,
        name: str,
        peers: tuple[str, ...],
        disk: store.Store,
        state: machine.Machine,
        now: float,
    ) -> None:
        self.name = name
        self.peers = peers
        self.store = disk
        self.machine = state
        self.started_at = now
        self.role = Role.follower
        self.leader = ''
        self.leader_contact_at = NEVER
        # When this member last granted a vote to a candidate.
        self.voted_at = NEVER
        # When this member last became the leader.
        self.leader_since = NEVER
        snapshot = disk.snapshots.read()
        if snapshot.index:
            state.load(snapshot.state)
        self.commit_index = snapshot.index
        self.applied_index = snapshot.index
        self.synced_index = disk.log.last_index
        self.progress: dict[str, PeerProgress] = {}
        self.pending: dict[int, PendingProposal] = {}
        self.freshness = Freshness(index=0, as_of=NEVER)
        self.disk_lock = asyncio.Lock()
        self.committed = asyncio.Condition()
        self.proposed = asyncio.Event()
        self.peer_wakes = {peer: asyncio.Event() for peer in peers}
        self.snapshot_wakes = {peer: asyncio.Event() for peer in peers}
        self.stepped_down = asyncio.Event()

    def add_peer(self, peer: str) -> bool:
        """Add `peer` to the known members; return whether it was new."""
        if peer == self.name or peer in self.peers:
            return False
        self.peers = (*self.peers, peer)
        self.peer_wakes[peer] = asyncio.Event()
        self.snapshot_wakes[peer] = asyncio.Event()
        if self.role is Role.leader:
            next_index = self.store.log.last_index + 1
            self.progress[peer] = PeerProgress(next_index=next_index)
        return True

    @property
    def term(self) -> int:
        """Return the newest term this member has seen."""
        return self.store.ballot.term

    @property
    def identity(self) -> str:
        """Return the identity of this member's data folder."""
        return self.store.identity

    @property
    def group(self) -> replication_pb2.Group:
        """Return the group of voters; it is empty until one is founded."""
        return self.store.group

    @property
    def majority(self) -> int:
        """Return how many voters are a majority."""
        return groups.majority(self.group)

    @property
    def is_voter(self) -> bool:
        """Return whether the data folder of this member is a voter."""
        return groups.is_voter(self.group, self.name, self.identity)

    def may_vote(self, now: float) -> bool:
        """Return whether this member may vote without disturbing a leader.

        The safety of a leader's lease does not depend on this: a voter that
        restarted may vote before the lease expires, so a new holder of
        authority waits until the previous lease has expired.
        """
        if self.holds_lease(now):
            return False
        if now < self.started_at + timing.START_SILENCE_SECONDS:
            return False
        return now >= self.leader_contact_at + timing.VOTE_SILENCE_SECONDS

    def has_current_log(self, request: replication_pb2.VoteRequest) -> bool:
        """Return whether the candidate's log is as new as this one or newer."""
        log = self.store.log
        candidate_position = (request.last_term, request.last_index)
        return candidate_position >= (log.last_term, log.last_index)

    def become_leader(self, now: float) -> None:
        """Become the leader of the present term."""
        self.leader_since = now
        self.role = Role.leader
        self.leader = self.name
        next_index = self.store.log.last_index + 1
        self.progress = {
            peer: PeerProgress(next_index=next_index) for peer in self.peers
        }
        self.stepped_down.clear()

    def step_down(self, leader: str) -> None:
        """Follow `leader`, empty if unknown, and fail the pending proposals."""
        self.role = Role.follower
        self.leader = leader
        self.stepped_down.set()
        for proposal in self.pending.values():
            if not proposal.future.done():
                proposal.future.set_exception(LeadershipLost())
        self.pending.clear()

    def confirmed_at(self, now: float) -> float:
        """Return the latest time at which a majority confirmed this leader.

        A confirmation counts from when the answered append was sent. Return
        `NEVER` if there is no majority.
        """
        confirmations = [
            progress.confirmed_at for progress in self._voter_progress()
        ]
        confirmations.append(now)
        return _majority_value(confirmations, self.majority, NEVER)

    def holds_lease(self, now: float) -> bool:
        """Return whether this member leads and its lease has not expired."""
        if self.role is not Role.leader:
            return False
        lease = timing.LEADER_LEASE_SECONDS * (1 - timing.CLOCK_DRIFT_SHARE)
        return now < self.confirmed_at(now) + lease

    def majority_index(self) -> int:
        """Return the highest index that a majority has synced."""
        match_indexes = [
            progress.match_index for progress in self._voter_progress()
        ]
        match_indexes.append(self.synced_index)
        return int(_majority_value(match_indexes, self.majority, 0))

    def _voter_progress(self) -> list[PeerProgress]:
        """Return the progress of the other voters."""
        voters = groups.identities(self.group)
        return [
            progress
            for peer, progress in self.progress.items()
            if progress.identity and voters.get(peer) == progress.identity
        ]

    def leads_with_committed_entry(self) -> bool:
        """Return whether this leader has committed an entry of its term."""
        if self.role is not Role.leader:
            return False
        return self.store.log.term_at(self.commit_index) == self.term

    async def advance_commit(self, now: float) -> None:
        """Commit and apply what a majority has synced."""
        agreed = self.majority_index()
        log = self.store.log
        if agreed > self.commit_index and log.term_at(agreed) == self.term:
            await self.commit_to(agreed)
            # Send the new commit index to the followers at once.
            for wake in self.peer_wakes.values():
                wake.set()
        if self.leads_with_committed_entry():
            self.freshness = Freshness(
                index=self.applied_index,
                as_of=self.confirmed_at(now),
            )

    async def commit_to(self, index: int) -> None:
        """Commit and apply every entry up to `index`."""
        if index <= self.commit_index:
            return
        self.commit_index = index
        try:
            while self.applied_index < index:
                self._apply_next()
        except Exception as error:
            failure = ApplyFailed(
                self.store.folder,
                self.applied_index + 1,
                error,
            )
            self.store.disk.fail(failure)
        async with self.committed:
            self.committed.notify_all()

    async def install(self, snapshot: replication_pb2.Snapshot) -> None:
        """Replace the state by that of a synced snapshot of the leader."""
        self.machine.load(snapshot.state)
        self.commit_index = snapshot.index
        self.applied_index = snapshot.index
        async with self.committed:
            self.committed.notify_all()

    async def wait_applied(self, index: int) -> None:
        """Wait until the entry at `index` is applied."""
        async with self.committed:
            await self.committed.wait_for(lambda: self.applied_index >= index)

    def _apply_next(self) -> None:
        entry = self.store.log.entry_at(self.applied_index + 1)
        outcome = self.machine.apply(entry.command, entry.index, entry.unix_ms)
        self.applied_index = entry.index
        proposal = self.pending.pop(entry.index, None)
        if proposal is None or proposal.future.done():
            return
        if proposal.term == entry.term:
            proposal.future.set_result(outcome)
        else:
            proposal.future.set_exception(LeadershipLost())


def _majority_value(
    values: collection_types.Sequence[float],
    majority: int,
    default: float,
) -> float:
    """Return the highest value that `majority` of the voters reach.

    Return `default` if fewer values than that are given.
    """
    ordered = sorted(values, reverse=True)
    return ordered[majority - 1] if len(ordered) >= majority else default
