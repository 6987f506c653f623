"""Elect a leader when none is heard of."""

import asyncio
import logging
import random

from cranberryrill import clock, transport
from cranberryrill.replication import (
    groups,
    member,
    peers,
    replication_pb2,
    timing,
)
from cranberryrill.state import commands_pb2

LOGGER = logging.getLogger(__name__)
NOOP = commands_pb2.Command(noop=commands_pb2.Noop()).SerializeToString()


class Elector:
    """Stand for election after a silence."""

    def __init__(
        self,
        local: member.Member,
        others: peers.Peers,
        rng: random.Random,
    ) -> None:
        self.member = local
        self.peers = others
        self.rng = rng

    async def run(self) -> None:
        """Watch for silence for as long as the process runs."""
        while True:
            silence = self.rng.uniform(
                timing.MIN_ELECTION_TIMEOUT_SECONDS,
                timing.MAX_ELECTION_TIMEOUT_SECONDS,
            )
            began_at = clock.monotonic_seconds()
            offset = self.start_delay()
            while not self.is_due(clock.monotonic_seconds(), silence, offset):
                await asyncio.sleep(timing.ELECTION_POLL_SECONDS)
                if clock.monotonic_seconds() >= began_at + silence:
                    break
            else:
                await self.campaign()
                # Whoever stood at the same time should not do so again.
                await asyncio.sleep(
                    self.rng.uniform(
                        timing.ELECTION_POLL_SECONDS,
                        timing.MAX_ELECTION_RETRY_SECONDS,
                    ),
                )

    def start_delay(self) -> float:
        """Return how much longer than the lease to wait after a start.

        After a loss of power the members start alike; the first in the order
        of their names stands first.
        """
        names = sorted(groups.identities(self.member.group))
        if self.member.name not in names:
            return 0
        return names.index(self.member.name) * timing.ELECTION_STEP_SECONDS

    def is_due(
        self,
        now: float,
        silence: float,
        offset: float = 0,
    ) -> bool:
        """Say whether to stand for election."""
        if self.member.role is member.Role.leader:
            return False
        if not self.member.is_voter:
            return False
        if not self.member.may_vote(now - offset):
            return False
        # Whoever got this member's vote may be about to lead.
        if now < self.member.voted_at + timing.START_SILENCE_SECONDS:
            return False
        return now >= self.member.leader_contact_at + silence

    async def campaign(self) -> None:
        """Ask for votes, first on trial, and lead if a majority grants."""
        if not await self._poll(self.member.term + 1, trial=True):
            return
        async with self.member.disk_lock:
            if not self.member.may_vote(clock.monotonic_seconds()):
                return
            term = self.member.term + 1
            self.member.role = member.Role.candidate
            self.member.leader = ''
            await self.member.store.save_ballot(term, self.member.identity)
        if not await self._poll(term, trial=False):
            return
        async with self.member.disk_lock:
            self._take_office(term)

    def _take_office(self, term: int) -> None:
        local = self.member
        standing = local.role is member.Role.candidate
        if local.term != term or not standing:
            return
        local.become_leader(clock.monotonic_seconds())
        noop = replication_pb2.Entry(
            index=local.store.log.last_index + 1,
            term=term,
            unix_ms=clock.unix_milliseconds(),
            command=NOOP,
            # Whoever was not there when the group was founded learns of it.
            group=local.group,
        )
        local.store.append([noop])
        local.proposed.set()
        LOGGER.info('leading', extra={'term': term})

    async def _poll(self, term: int, trial: bool) -> bool:
        log = self.member.store.log
        request = replication_pb2.VoteRequest(
            term=term,
            candidate=self.member.name,
            last_index=log.last_index,
            last_term=log.last_term,
            trial=trial,
            identity=self.member.identity,
            group_id=self.member.group.id,
        )
        answers = await asyncio.gather(
            *(self._ask(peer, request) for peer in self.member.peers),
        )
        answered = [answer for answer in answers if answer is not None]
        await self._catch_up(answered)
        votes = {answer.identity for answer in answered if answer.granted}
        votes.add(self.member.identity)
        voters = set(groups.identities(self.member.group).values())
        return len(votes & voters) >= self.member.majority

    async def _catch_up(
        self,
        answers: list[replication_pb2.VoteAnswer],
    ) -> None:
        """Adopt the newest term: a lower one is refused for ever."""
        local = self.member
        newest = max((answer.term for answer in answers), default=0)
        async with local.disk_lock:
            if newest > local.term:
                local.step_down('')
                await local.store.save_ballot(newest, '')

    async def _ask(
        self,
        peer: str,
        request: replication_pb2.VoteRequest,
    ) -> replication_pb2.VoteAnswer | None:
        try:
            return await self.peers.stub(peer).Vote(
                request,
                timeout=timing.VOTE_TIMEOUT_SECONDS,
            )
        except transport.CALL_ERRORS:
            self.peers.reset(peer)
            return None
