"""Found the group once, when all founding members are new."""

import asyncio
import logging
from collections import abc

from cranberryrill import clock, identifiers, transport
from cranberryrill.replication import (
    groups,
    member,
    peers,
    replication_pb2,
    timing,
)

LOGGER = logging.getLogger(__name__)
# A member that waits for a group logs it once in this time.
LOG_PERIOD_SECONDS = 10.0


class Founder:
    """Found a group and offer it to the other founding members.

    Only the founding member whose name sorts first founds a group, and only
    when all the others answer that they have never been in one. So no second
    group can form while any of them still has the first one on disk. Members
    that answer that they have no disk don't count.
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
        # Empty if this member must not found a group: one was founded before.
        self.founding_members = founding_members
        self.wait_logged_at = float('-inf')

    async def run(self) -> None:
        """Found or offer the group until its log has an entry."""
        if self.member.name not in self.founding_members:
            return
        while self.member.store.log.last_index == 0:
            if self.member.group.members:
                await self._offer_to_all(self.member.group)
            else:
                await self.found(clock.monotonic_seconds())
            await asyncio.sleep(timing.FOUNDING_PERIOD_SECONDS)

    async def found(self, now: float) -> None:
        """Found a group if this member sorts first and all others are new."""
        answers = await self._offer_to_all(replication_pb2.Group())
        with_disk = [
            name
            for name in self.founding_members
            if name not in answers or not answers[name].diskless
        ]
        if self.member.name != min(with_disk):
            self._log_wait(answers, now)
            return
        new_voters = {
            name: answer.identity
            for name, answer in answers.items()
            if answer.free
        }
        if len(new_voters) < len(with_disk) - 1:
            self._log_wait(answers, now)
            return
        voters = {**new_voters, self.member.name: self.member.identity}
        group = groups.make(identifiers.new_identifier('group'), voters)
        await self.accept(group)

    async def accept(self, group: replication_pb2.Group) -> None:
        """Join the offered group if this member is new and a voter of it."""
        local = self.member
        snapshots = local.store.snapshots
        async with snapshots.lock, local.disk_lock:
            voter = groups.is_voter(group, local.name, local.identity)
            if voter and self.is_free():
                await snapshots.save(replication_pb2.Snapshot(group=group))
                LOGGER.info('joined a new group', extra={'group': group.id})

    def is_free(self) -> bool:
        """Return whether this member may found a group and has been in none."""
        if self.member.name not in self.founding_members:
            return False
        return not self.member.group.members and not self.member.term

    def _log_wait(
        self, answers: abc.Mapping[str, replication_pb2.FoundAnswer], now: float
    ) -> None:
        """Log which members prevent the founding, at a bounded rate."""
        if now < self.wait_logged_at + LOG_PERIOD_SECONDS:
            return
        self.wait_logged_at = now
        LOGGER.info(
            'waiting for a group',
            extra={
                'missing': [
                    name
                    for name in self.founding_members
                    if name not in answers and name != self.member.name
                ],
                'not_new': [
                    name
                    for name, answer in answers.items()
                    if not answer.free and not answer.diskless
                ],
            },
        )

    async def _offer_to_all(
        self,
        group: replication_pb2.Group,
    ) -> dict[str, replication_pb2.FoundAnswer]:
        names = [
            name for name in self.founding_members if name != self.member.name
        ]
        answers = await asyncio.gather(
            *(self._offer(name, group) for name in names),
        )
        return {
            name: answer
            for name, answer in zip(names, answers, strict=True)
            if answer is not None
        }

    async def _offer(
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
