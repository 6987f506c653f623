"""Found the group once, when every founding member is new."""

import asyncio
import logging

from cranberryrill import identifiers, transport
from cranberryrill.replication import (
    groups,
    member,
    peers,
    replication_pb2,
    timing,
)

LOGGER = logging.getLogger(__name__)


class Founder:
    """Found a group, or offer it to those who have not heard of it.

    Only the first name of the founding members founds, and only when every
    other one answers that it has never been in a group: so no second group
    can form beside one that any of them remembers. Those that answer that
    they have no disk don't count.
    """

    def __init__(
        self,
        local: member.Member,
        others: peers.Peers,
        founding_members: tuple[str, ...] | None = None,
    ) -> None:
        self.member = local
        self.peers = others
        if founding_members is None:
            founding_members = (local.name, *local.peers)
        # Empty where no group may be founded: it once was, elsewhere.
        self.founding_members = founding_members

    async def run(self) -> None:
        """Work until the group's log has its first entry."""
        if self.member.name not in self.founding_members:
            return
        while self.member.store.log.last_index == 0:
            if self.member.group.members:
                await self._ask_all(self.member.group)
            else:
                await self.found()
            await asyncio.sleep(timing.FOUNDING_PERIOD_SECONDS)

    async def found(self) -> None:
        """Found a group if this member is first and every other one is new."""
        answers = await self._ask_all(replication_pb2.Group())
        with_disk = [
            name
            for name in self.founding_members
            if name not in answers or not answers[name].diskless
        ]
        if self.member.name != min(with_disk):
            return
        free = {
            name: answer.identity
            for name, answer in answers.items()
            if answer.free
        }
        if len(free) < len(with_disk) - 1:
            return
        voters = {**free, self.member.name: self.member.identity}
        group = groups.make(identifiers.new_identifier('group'), voters)
        await self.accept(group)

    async def accept(self, group: replication_pb2.Group) -> None:
        """Join the group that is offered, if this member is new and in it."""
        local = self.member
        kept = local.store.snapshots
        async with kept.lock, local.disk_lock:
            voter = groups.is_voter(group, local.name, local.identity)
            if voter and self.is_free():
                await kept.save(replication_pb2.Snapshot(group=group))
                LOGGER.info('joined a new group', extra={'group': group.id})

    def is_free(self) -> bool:
        """Say whether this member may found, and never heard of a group."""
        if self.member.name not in self.founding_members:
            return False
        return not self.member.group.members and not self.member.term

    async def _ask_all(
        self,
        group: replication_pb2.Group,
    ) -> dict[str, replication_pb2.FoundAnswer]:
        names = [
            name for name in self.founding_members if name != self.member.name
        ]
        answers = await asyncio.gather(
            *(self._ask(name, group) for name in names),
        )
        return {
            name: answer
            for name, answer in zip(names, answers, strict=True)
            if answer is not None
        }

    async def _ask(
        self,
        peer: str,
        group: replication_pb2.Group,
    ) -> replication_pb2.FoundAnswer | None:
        request = replication_pb2.FoundRequest(group=group)
        try:
            return await self.peers.stub(peer).Found(
                request,
                timeout=timing.CALL_TIMEOUT_SECONDS,
            )
        except transport.CALL_ERRORS:
            self.peers.reset(peer)
            return None
