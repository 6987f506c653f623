"""Hold what one member knows of its group, and decide on it."""

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
# Before any moment of the monotonic clock.
NEVER = float('-inf')
MAX_BATCH_ENTRIES = 512


class Role(enum.Enum):
    """Say what part a member plays."""

    follower = 'follower'
    candidate = 'candidate'
    leader = 'leader'


@dataclasses.dataclass
class PeerProgress:
    """Track what the leader knows of one peer."""

    next_index: int
    match_index: int = 0
    # The data folder that answered; only a voter's answers count.
    identity: str = ''
    # How many entries the next append holds at most.
    batch_entries: int = MAX_BATCH_ENTRIES
    # How much of snapshots was sent in this term.
    snapshot_bytes: int = 0
    # When the newest append that the peer has answered was sent.
    confirmed_at: float = NEVER

    def update_identity(self, identity: str) -> None:
        """Forget what another data folder under this name had stored."""
        if identity == self.identity:
            return
        self.identity = identity
        self.match_index = 0
        self.confirmed_at = NEVER


@dataclasses.dataclass(frozen=True)
class Freshness:
    """Prove that nothing newer than `index` existed at `as_of`."""

    index: int
    as_of: float


@dataclasses.dataclass(frozen=True)
class NotLeader:
    """Only the leader may propose; the command was not taken."""

    leader: str


@dataclasses.dataclass(frozen=True)
class TooManyPending:
    """The leader holds as many unfinished entries as it may."""

    pending: int


@dataclasses.dataclass(frozen=True)
class ProposalUnknown:
    """The command may or may not have been committed."""

    reason: str


ProposalFailure = NotLeader | TooManyPending | ProposalUnknown


class LeadershipLost(Exception):
    """The member stopped leading before the entry was committed."""


class ApplyFailed(files.StorageFailure):
    """An entry can't be applied here; to go on without it is no way."""

    def __init__(
        self,
        path: pathlib.Path,
        index: int,
        cause: Exception,
    ) -> None:
        super().__init__(path, f'entry {index} can not be applied: {cause}')


@dataclasses.dataclass(frozen=True)
class PendingProposal:
    """Wait for the entry proposed in `term`."""

    term: int
    future: asyncio.Future[bytes]


class Member:
    """One member of the replicated group."""

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
        # When this member last voted for another one.
        self.voted_at = NEVER
        # When this member last began to lead.
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
        """Take up a member that was not known; say whether it was new."""
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
        """Return who votes; nobody before a group is founded."""
        return self.store.group

    @property
    def majority(self) -> int:
        """Return how many voters must agree."""
        return groups.majority(self.group)

    @property
    def is_voter(self) -> bool:
        """Say whether this member's data folder may vote and lead."""
        return groups.is_voter(self.group, self.name, self.identity)

    def may_vote(self, now: float) -> bool:
        """Say whether no leader is there that an election would disturb.

        What a leader's lease protects doesn't rest on this: a new holder of
        authority waits until the lease before its own has run out.
        """
        if self.holds_lease(now):
            return False
        if now < self.started_at + timing.START_SILENCE_SECONDS:
            return False
        return now >= self.leader_contact_at + timing.VOTE_SILENCE_SECONDS

    def has_current_log(self, request: replication_pb2.VoteRequest) -> bool:
        """Say whether the candidate's log is at least as new as ours."""
        log = self.store.log
        theirs = (request.last_term, request.last_index)
        return theirs >= (log.last_term, log.last_index)

    def become_leader(self, now: float) -> None:
        """Start to lead in the present term."""
        self.leader_since = now
        self.role = Role.leader
        self.leader = self.name
        next_index = self.store.log.last_index + 1
        self.progress = {
            peer: PeerProgress(next_index=next_index) for peer in self.peers
        }
        self.stepped_down.clear()

    def step_down(self, leader: str) -> None:
        """Stop leading; whoever waits for an entry learns of it."""
        self.role = Role.follower
        self.leader = leader
        self.stepped_down.set()
        for waiting in self.pending.values():
            if not waiting.future.done():
                waiting.future.set_exception(LeadershipLost())
        self.pending.clear()

    def confirmed_at(self, now: float) -> float:
        """Return when a majority last confirmed this leader, by our clock."""
        moments = [known.confirmed_at for known in self._voters()]
        moments.append(now)
        return _majority_value(moments, self.majority, NEVER)

    def holds_lease(self, now: float) -> bool:
        """Say whether no other member can lead at this moment."""
        if self.role is not Role.leader:
            return False
        lease = timing.LEADER_LEASE_SECONDS * (1 - timing.CLOCK_DRIFT_SHARE)
        return now < self.confirmed_at(now) + lease

    def majority_index(self) -> int:
        """Return the highest index that a majority has stored."""
        matches = [known.match_index for known in self._voters()]
        matches.append(self.synced_index)
        return int(_majority_value(matches, self.majority, 0))

    def _voters(self) -> list[PeerProgress]:
        """Return what is known of the other voters."""
        voters = groups.identities(self.group)
        return [
            known
            for peer, known in self.progress.items()
            if known.identity and voters.get(peer) == known.identity
        ]

    def leads_with_committed_entry(self) -> bool:
        """Say whether an entry of this leader's own term is committed."""
        if self.role is not Role.leader:
            return False
        return self.store.log.term_at(self.commit_index) == self.term

    async def advance_commit(self, now: float) -> None:
        """Commit and apply what a majority has stored."""
        agreed = self.majority_index()
        log = self.store.log
        if agreed > self.commit_index and log.term_at(agreed) == self.term:
            await self.commit_to(agreed)
            # Followers learn at once what they may apply.
            for wake in self.peer_wakes.values():
                wake.set()
        if self.leads_with_committed_entry():
            self.freshness = Freshness(
                index=self.applied_index,
                as_of=self.confirmed_at(now),
            )

    async def commit_to(self, index: int) -> None:
        """Apply every entry up to `index`."""
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
        """Take over the state of a leader's snapshot, which is synced."""
        self.machine.load(snapshot.state)
        self.commit_index = snapshot.index
        self.applied_index = snapshot.index
        async with self.committed:
            self.committed.notify_all()

    async def wait_applied(self, index: int) -> None:
        """Wait until the entry at `index` is applied here."""
        async with self.committed:
            await self.committed.wait_for(lambda: self.applied_index >= index)

    def _apply_next(self) -> None:
        entry = self.store.log.entry_at(self.applied_index + 1)
        outcome = self.machine.apply(entry.command, entry.index, entry.unix_ms)
        self.applied_index = entry.index
        waiting = self.pending.pop(entry.index, None)
        if waiting is None or waiting.future.done():
            return
        if waiting.term == entry.term:
            waiting.future.set_result(outcome)
        else:
            waiting.future.set_exception(LeadershipLost())


def _majority_value(
    reached: collection_types.Sequence[float],
    majority: int,
    nothing: float,
) -> float:
    """Return what `majority` of the voters have reached."""
    ordered = sorted(reached, reverse=True)
    return ordered[majority - 1] if len(ordered) >= majority else nothing
