"""Change who votes, one member at a time, through the log."""

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
    """The group is as it was, or nobody can say yet."""

    verdict: Verdict.Verdict

    def __str__(self) -> str:
        """Name the reason."""
        return Verdict.Verdict.Name(self.verdict).lower()


Changed = result.Result[None, NotChanged]
NOT_LEADER = NotChanged(Verdict.NO_LEADER)


class Admission:
    """Give and take votes; a follower asks the leader to."""

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
        """Let the data folder that now answers under `name` vote."""
        return await self._change(
            replication_pb2.AdmitRequest(name=name),
        )

    async def dismiss(self, name: str) -> Changed:
        """Let nobody vote under `name`."""
        return await self._change(
            replication_pb2.AdmitRequest(name=name, dismiss=True),
        )

    async def change_as_leader(
        self,
        request: replication_pb2.AdmitRequest,
    ) -> Changed:
        """Change the group as its leader."""
        async with self.lock:
            if not self._may_change():
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
        known = self.member.progress.get(name)
        if known is None:
            return result.Err(NotChanged(Verdict.UNKNOWN_NAME))
        if not await self._catches_up(known):
            return result.Err(NotChanged(Verdict.NOT_CAUGHT_UP))
        identity = known.identity
        if groups.is_voter(self.member.group, name, identity):
            return result.Ok(None)
        # Two steps, since a group that differs by two voters may have a
        # majority without a member of the old one's.
        dismissed = await self._dismiss(name)
        if dismissed.is_err():
            return dismissed
        if known.identity != identity:
            return result.Err(NotChanged(Verdict.NOT_CAUGHT_UP))
        return await self._put(
            groups.with_voter(self.member.group, name, identity),
        )

    async def _dismiss(self, name: str) -> Changed:
        voters = groups.identities(self.member.group)
        if name not in voters:
            return result.Ok(None)
        if name == self.member.name:
            return result.Err(NotChanged(Verdict.IS_LEADER))
        return await self._put(groups.without_voter(self.member.group, name))

    async def _put(self, group: replication_pb2.Group) -> Changed:
        if not self._may_change():
            return result.Err(NOT_LEADER)
        outcome = await self.proposer.propose_as_leader(election.NOOP, group)
        if outcome.is_ok():
            return result.Ok(None)
        return result.Err(NotChanged(Verdict.UNKNOWN))

    def _may_change(self) -> bool:
        """Say whether the last change of the group is known to be done."""
        local = self.member
        settled = local.store.log.group_index <= local.commit_index
        return settled and local.leads_with_committed_entry()

    async def _catches_up(self, known: member.PeerProgress) -> bool:
        """Wait until whoever answers now has synced what is committed now."""
        wanted = self.member.commit_index
        asked_at = clock.monotonic_seconds()
        deadline = asked_at + timing.CATCH_UP_TIMEOUT_SECONDS
        while known.confirmed_at < asked_at or known.match_index < wanted:
            if clock.monotonic_seconds() >= deadline:
                return False
            await asyncio.sleep(timing.RETRY_PAUSE_SECONDS)
        return True
