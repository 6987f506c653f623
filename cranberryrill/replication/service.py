"""Serve the replication calls of the other control members."""

from grpclib import server

from cranberryrill import clock
from cranberryrill.replication import (
    group_founder,
    log_follower,
    member,
    proposals,
    replication_grpc,
    replication_pb2,
    snapshot_transfer,
    voter_admission,
    votes,
)

MILLISECONDS_PER_SECOND = 1000
Verdict = replication_pb2.ProposeAnswer


class ReplicationService(replication_grpc.ReplicationBase):
    """gRPC service of one member of the replication group."""

    def __init__(
        self,
        local: member.Member,
        proposer: proposals.Proposer,
        founder: group_founder.Founder,
        admission: voter_admission.Admission,
    ) -> None:
        self.member = local
        self.founder = founder
        self.admission = admission
        self.proposer = proposer
        self.voter = votes.Voter(local)
        self.follower = log_follower.Follower(local)
        self.receiver = snapshot_transfer.Receiver(local, self.follower)

    async def Vote(
        self,
        stream: server.Stream[
            replication_pb2.VoteRequest,
            replication_pb2.VoteAnswer,
        ],
    ) -> None:
        """Grant or refuse a vote."""
        request = await stream.recv_message()
        if request is None:
            return
        async with self.member.disk_lock:
            granted = await self.voter.vote(request, clock.monotonic_seconds())
        await stream.send_message(
            replication_pb2.VoteAnswer(
                term=self.member.term,
                granted=granted,
                identity=self.member.identity,
            ),
        )

    async def Append(
        self,
        stream: server.Stream[
            replication_pb2.AppendRequest,
            replication_pb2.AppendAnswer,
        ],
    ) -> None:
        """Append the entries of the leader."""
        request = await stream.recv_message()
        if request is None:
            return
        async with self.member.disk_lock:
            now = clock.monotonic_seconds()
            answer = await self.follower.append(request, now)
        await stream.send_message(answer)

    async def Install(self, stream: snapshot_transfer.ChunkStream) -> None:
        """Receive and install a snapshot of the leader."""
        await stream.send_message(await self.receiver.receive(stream))

    async def Read(
        self,
        stream: server.Stream[
            replication_pb2.ReadRequest,
            replication_pb2.ReadAnswer,
        ],
    ) -> None:
        """Return the commit index and how old its freshness proof is."""
        await stream.recv_message()
        await stream.send_message(self._read_answer(clock.monotonic_seconds()))

    async def Found(
        self,
        stream: server.Stream[
            replication_pb2.FoundRequest,
            replication_pb2.FoundAnswer,
        ],
    ) -> None:
        """Join the offered group; return whether this member was new."""
        request = await stream.recv_message()
        if request is None:
            return
        free = self.founder.is_free()
        await self.founder.accept(request.group)
        await stream.send_message(
            replication_pb2.FoundAnswer(
                identity=self.member.identity,
                free=free,
                hosts=(self.member.name, *self.member.peers),
            ),
        )

    async def Admit(
        self,
        stream: server.Stream[
            replication_pb2.AdmitRequest,
            replication_pb2.AdmitAnswer,
        ],
    ) -> None:
        """Admit or dismiss a voter for a follower that an operator called."""
        request = await stream.recv_message()
        if request is None:
            return
        changed = await self.admission.change_as_leader(request)
        answer = replication_pb2.AdmitAnswer()
        if changed.is_err():
            answer.verdict = changed.unwrap_err().verdict
        await stream.send_message(answer)

    async def Propose(
        self,
        stream: server.Stream[
            replication_pb2.ProposeRequest,
            replication_pb2.ProposeAnswer,
        ],
    ) -> None:
        """Commit a command that a follower has forwarded."""
        request = await stream.recv_message()
        if request is None:
            return
        outcome = await self.proposer.propose_as_leader(request.command)
        answer = _answer_of(outcome)
        answer.applied_index = self.member.applied_index
        await stream.send_message(answer)

    def _read_answer(self, now: float) -> replication_pb2.ReadAnswer:
        proof = self.member.freshness
        if not self.member.leads_with_committed_entry():
            return replication_pb2.ReadAnswer(known=False)
        age = max(now - proof.as_of, 0)
        return replication_pb2.ReadAnswer(
            known=True,
            commit_index=proof.index,
            age_ms=int(age * MILLISECONDS_PER_SECOND) + 1,
        )


def _answer_of(outcome: proposals.Outcome) -> replication_pb2.ProposeAnswer:
    if outcome.is_ok():
        return replication_pb2.ProposeAnswer(
            verdict=Verdict.COMMITTED,
            outcome=outcome.unwrap(),
        )
    failure = outcome.unwrap_err()
    if isinstance(failure, member.NotLeader):
        return replication_pb2.ProposeAnswer(verdict=Verdict.NOT_LEADER)
    if isinstance(failure, member.TooManyPending):
        return replication_pb2.ProposeAnswer(verdict=Verdict.OVERLOADED)
    return replication_pb2.ProposeAnswer(verdict=Verdict.OUTCOME_UNKNOWN)
