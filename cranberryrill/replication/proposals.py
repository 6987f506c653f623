"""Propose commands to the replicated log."""

import asyncio
import contextlib
import typing

import result

from cranberryrill import clock, transport
from cranberryrill.replication import (
    member,
    peers,
    replication_pb2,
    timing,
)

Verdict = replication_pb2.ProposeAnswer
Outcome = result.Result[bytes, member.ProposalFailure]


class Proposer:
    """Propose commands as the leader, or forward them to it."""

    def __init__(self, local: member.Member, others: peers.Peers) -> None:
        self.member = local
        self.peers = others

    async def propose(self, command: bytes) -> Outcome:
        """Commit `command` and return its outcome.

        After `ProposalUnknown` the command may have been committed: retry it
        only if it carries its own identifier.
        """
        if self.member.role is member.Role.leader:
            return await self.propose_as_leader(command)
        return await self._forward(command)

    async def propose_until(self, command: bytes, deadline: float) -> Outcome:
        """Retry until there is an outcome or `deadline` has passed.

        Only for commands that carry their own identifier. `deadline` is in
        seconds of the monotonic clock.
        """
        while True:
            outcome = await self.propose(command)
            if outcome.is_ok() or clock.monotonic_seconds() >= deadline:
                return outcome
            await asyncio.sleep(timing.RETRY_PAUSE_SECONDS * 2)

    async def propose_as_leader(
        self,
        command: bytes,
        group: replication_pb2.Group | None = None,
    ) -> Outcome:
        """Commit `command` as the leader, with `group` as the new voters.

        Without `group` the voters stay the same.
        """
        local = self.member
        if local.role is not member.Role.leader:
            return result.Err(member.NotLeader(local.leader))
        log = local.store.log
        pending = log.last_index - local.commit_index
        if pending >= member.MAX_PENDING_ENTRIES:
            return result.Err(member.TooManyPending(pending))
        future: asyncio.Future[bytes] = (
            asyncio.get_running_loop().create_future()
        )
        entry = replication_pb2.Entry(
            index=log.last_index + 1,
            term=local.term,
            unix_ms=clock.unix_milliseconds(),
            command=command,
            group=group,
        )
        local.pending[entry.index] = member.PendingProposal(entry.term, future)
        local.store.append([entry])
        local.proposed.set()
        return await self._wait_outcome(future)

    async def _wait_outcome(self, future: asyncio.Future[bytes]) -> Outcome:
        try:
            outcome = await asyncio.wait_for(
                future,
                timing.PROPOSE_TIMEOUT_SECONDS,
            )
        except asyncio.TimeoutError:
            return result.Err(member.ProposalUnknown('no majority in time'))
        except member.LeadershipLost:
            return result.Err(member.ProposalUnknown('leadership was lost'))
        return result.Ok(outcome)

    async def _forward(self, command: bytes) -> Outcome:
        leader = self.member.leader
        if leader not in self.member.peers:
            return result.Err(member.NotLeader(leader=''))
        request = replication_pb2.ProposeRequest(command=command)
        try:
            answer = await self.peers.stub(leader).Propose(
                request,
                timeout=timing.PROPOSE_TIMEOUT_SECONDS,
            )
        except transport.CALL_ERRORS as error:
            self.peers.reset(leader)
            return result.Err(member.ProposalUnknown(type(error).__name__))
        await self._wait_applied(answer)
        return _outcome_of(answer, leader)

    async def _wait_applied(
        self,
        answer: replication_pb2.ProposeAnswer,
    ) -> None:
        """Wait briefly until the command is applied on this member too.

        A caller that reads from this member then finds the outcome.
        """
        if answer.verdict != Verdict.COMMITTED:
            return
        with contextlib.suppress(asyncio.TimeoutError):
            await asyncio.wait_for(
                self.member.wait_applied(answer.applied_index),
                timing.CALL_TIMEOUT_SECONDS,
            )


class CommandProposer(typing.Protocol):
    """What is needed to commit a command."""

    async def propose_until(self, command: bytes, deadline: float) -> Outcome:
        """Retry until there is an outcome or `deadline` has passed."""


async def is_committed_by(
    proposer: CommandProposer, command: bytes, deadline: float
) -> bool:
    """Return whether a command is known to be committed by `deadline`.

    It may be committed later all the same.
    """
    try:
        async with asyncio.timeout(deadline - clock.monotonic_seconds()):
            outcome = await proposer.propose_until(command, deadline)
    except TimeoutError:
        return False
    return outcome.is_ok()


def _outcome_of(answer: replication_pb2.ProposeAnswer, leader: str) -> Outcome:
    if answer.verdict == Verdict.COMMITTED:
        return result.Ok(answer.outcome)
    if answer.verdict == Verdict.NOT_LEADER:
        return result.Err(member.NotLeader(leader))
    if answer.verdict == Verdict.OVERLOADED:
        return result.Err(member.TooManyPending(member.MAX_PENDING_ENTRIES))
    return result.Err(member.ProposalUnknown(f'{leader} could not tell'))
