"""Add and remove voters of the group, one at a time, through the log."""

import asyncio
import dataclasses

import result

from cranberryrill import clock, transport
from cranberryrill.replication import (
    election,
    groups,
    member,
    peers,
    proposals,
    replication_pb2,
    timing,
)

Verdict = replication_pb2.AdmitAnswer


@dataclasses.dataclass(frozen=True)
class NotChanged:
    """The group was not changed, or the outcome is unknown."""

    verdict: Verdict.Verdict

    def __str__(self) -> str:
        """Return the name of the verdict in lower case."""
        return Verdict.Verdict.Name(self.verdict).lower()


Changed = result.Result[None, NotChanged]
NOT_LEADER = NotChanged(Verdict.NO_LEADER)


class Admission:
    """Admit and dismiss voters; a follower forwards this to the leader."""

    def __init__(
        self,
        local: member.Member,
        others: peers.Peers,
        proposer: proposals.Proposer,
    ) -> None:
        self.member = local
        self.peers = others
        self.proposer = proposer
        self.lock = asyncio.Lock()

    async def admit(self, name: str) -> Changed:
        """Make the data folder that currently answers as `name` a voter."""
        return await self._change(
            replication_pb2.AdmitRequest(name=name),
        )

    async def dismiss(self, name: str) -> Changed:
        """Remove the voter called `name`; succeed if there is none."""
        return await self._change(
            replication_pb2.AdmitRequest(name=name, dismiss=True),
        )

    async def change_as_leader(
        self,
        request: replication_pb2.AdmitRequest,
    ) -> Changed:
        """Carry out an admit or dismiss request as the leader."""
        async with self.lock:
            if not self._can_change_group():
                return result.Err(NOT_LEADER)
            if request.dismiss:
                return await self._dismiss(request.name)
            return await self._admit(request.name)

    async def _change(self, request: replication_pb2.AdmitRequest) -> Changed:
        if self.member.role is member.Role.leader:
            return await self.change_as_leader(request)
        leader = self.member.leader
        if leader not in self.member.peers:
            return result.Err(NOT_LEADER)
        try:
            answer = await self.peers.stub(leader).Admit(
                request,
                timeout=timing.ADMIT_TIMEOUT_SECONDS,
            )
        except transport.CALL_ERRORS:
            self.peers.reset(leader)
            return result.Err(NotChanged(Verdict.UNKNOWN))
        if answer.verdict == Verdict.CHANGED:
            return result.Ok(None)
        return result.Err(NotChanged(answer.verdict))

    async def _admit(self, name: str) -> Changed:
        progress = self.member.progress.get(name)
        if progress is None:
            return result.Err(NotChanged(Verdict.UNKNOWN_NAME))
        if not await self._wait_caught_up(progress):
            return result.Err(NotChanged(Verdict.NOT_CAUGHT_UP))
        identity = progress.identity
        if groups.is_voter(self.member.group, name, identity):
            return result.Ok(None)
        # Remove the old identity and add the new one in two entries: groups
        # that differ by two voters can have majorities without a common one.
        dismissed = await self._dismiss(name)
        if dismissed.is_err():
            return dismissed
        if progress.identity != identity:
            return result.Err(NotChanged(Verdict.NOT_CAUGHT_UP))
        return await self._commit_group(
            groups.with_voter(self.member.group, name, identity),
        )

    async def _dismiss(self, name: str) -> Changed:
        voters = groups.identities(self.member.group)
        if name not in voters:
            return result.Ok(None)
        if name == self.member.name:
            return result.Err(NotChanged(Verdict.IS_LEADER))
        return await self._commit_group(
            groups.without_voter(self.member.group, name),
        )

    async def _commit_group(self, group: replication_pb2.Group) -> Changed:
        if not self._can_change_group():
            return result.Err(NOT_LEADER)
        outcome = await self.proposer.propose_as_leader(election.NOOP, group)
        if outcome.is_ok():
            return result.Ok(None)
        return result.Err(NotChanged(Verdict.UNKNOWN))

    def _can_change_group(self) -> bool:
        """Return whether this leader may propose a change of the group.

        It may once it has committed the last change and an entry of its term.
        """
        local = self.member
        committed = local.store.log.group_index <= local.commit_index
        return committed and local.leads_with_committed_entry()

    async def _wait_caught_up(self, progress: member.PeerProgress) -> bool:
        """Wait until the peer has synced everything committed at the call.

        Return whether it did so within the timeout. Only answers to appends
        sent after the call count.
        """
        required_index = self.member.commit_index
        called_at = clock.monotonic_seconds()
        deadline = called_at + timing.CATCH_UP_TIMEOUT_SECONDS
        while (
            progress.confirmed_at < called_at
            or progress.match_index < required_index
        ):
            if clock.monotonic_seconds() >= deadline:
                return False
            await asyncio.sleep(timing.RETRY_PAUSE_SECONDS)
        return True
