"""Hold an election when no leader sends heartbeats."""

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
    votes,
)
from cranberryrill.state import commands_pb2

LOGGER = logging.getLogger(__name__)
NOOP = commands_pb2.Command(noop=commands_pb2.Noop()).SerializeToString()


class Elector:
    """Become a candidate after a timeout without contact from a leader."""

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
        """Start an election after each timeout without a leader."""
        while True:
            timeout = self.rng.uniform(
                timing.MIN_ELECTION_TIMEOUT_SECONDS,
                timing.MAX_ELECTION_TIMEOUT_SECONDS,
            )
            started_at = clock.monotonic_seconds()
            delay = self.start_delay()
            while not self.is_due(clock.monotonic_seconds(), timeout, delay):
                await asyncio.sleep(timing.ELECTION_POLL_SECONDS)
                if clock.monotonic_seconds() >= started_at + timeout:
                    break
            else:
                await self.campaign()
                # A random pause keeps rival candidates from colliding again.
                await asyncio.sleep(
                    self.rng.uniform(
                        timing.ELECTION_POLL_SECONDS,
                        timing.MAX_ELECTION_RETRY_SECONDS,
                    ),
                )

    def start_delay(self) -> float:
        """Return the extra seconds to wait before an election after a start.

        After a power loss all members start at the same time; the delay lets
        them become candidates one after another, in the order of their names.
        """
        names = sorted(groups.identities(self.member.group))
        if self.member.name not in names:
            return 0
        return names.index(self.member.name) * timing.ELECTION_STEP_SECONDS

    def is_due(
        self,
        now: float,
        timeout: float,
        delay: float = 0,
    ) -> bool:
        """Return whether to start an election.

        `timeout` counts from the last contact from a leader; `delay` extends
        the period in which this member may not vote. Both are in seconds.
        """
        if self.member.role is member.Role.leader:
            return False
        if not self.member.is_voter:
            return False
        if not self.member.may_vote(now - delay):
            return False
        if votes.awaits_election(self.member, now):
            return False
        return now >= self.member.leader_contact_at + timeout

    async def campaign(self) -> None:
        """Request votes, first on trial, and lead if a majority grants them."""
        term = self.member.term + 1
        if not await self._request_votes(term, trial=True):
            return
        async with self.member.disk_lock:
            if not self.member.may_vote(clock.monotonic_seconds()):
                return
            if self.member.term + 1 != term:
                # It has voted for another candidate since the trial began.
                return
            self.member.role = member.Role.candidate
            self.member.leader = ''
            await self.member.store.save_ballot(term, self.member.identity)
            self.member.voted_at = clock.monotonic_seconds()
        if not await self._request_votes(term, trial=False):
            return
        async with self.member.disk_lock:
            self._become_leader(term)

    def _become_leader(self, term: int) -> None:
        local = self.member
        is_candidate = local.role is member.Role.candidate
        if local.term != term or not is_candidate:
            return
        local.become_leader(clock.monotonic_seconds())
        noop = replication_pb2.Entry(
            index=local.store.log.last_index + 1,
            term=term,
            unix_ms=clock.unix_milliseconds(),
            command=NOOP,
            # Members that missed the founding learn the group from here.
            group=local.group,
        )
        local.store.append([noop])
        local.proposed.set()
        LOGGER.info('leading', extra={'term': term})

    async def _request_votes(self, term: int, trial: bool) -> bool:
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
        timeout = timing.VOTE_TIMEOUT_SECONDS + votes.slow_disk_seconds(
            self.member
        )
        answers = await asyncio.gather(
            *(
                self._request_vote(peer, request, timeout)
                for peer in self.member.peers
            ),
        )
        received = [answer for answer in answers if answer is not None]
        await self._adopt_newest_term(received)
        supporters = {answer.identity for answer in received if answer.granted}
        supporters.add(self.member.identity)
        voters = set(groups.identities(self.member.group).values())
        return len(supporters & voters) >= self.member.majority

    async def _adopt_newest_term(
        self,
        answers: list[replication_pb2.VoteAnswer],
    ) -> None:
        """Adopt the newest term received: votes in a lower one are refused."""
        local = self.member
        newest = max((answer.term for answer in answers), default=0)
        async with local.disk_lock:
            if newest > local.term:
                local.step_down('')
                await local.store.save_ballot(newest, '')

    async def _request_vote(
        self,
        peer: str,
        request: replication_pb2.VoteRequest,
        timeout: float,
    ) -> replication_pb2.VoteAnswer | None:
        try:
            return await self.peers.stub(peer).Vote(
                request,
                timeout=timeout,
            )
        except transport.CALL_ERRORS:
            self.peers.reset(peer)
            return None
