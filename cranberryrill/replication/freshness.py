"""Keep a follower's proof of freshness up to date."""

import asyncio

from cranberryrill import clock, transport
from cranberryrill.replication import member, peers, replication_pb2, timing

MILLISECONDS_PER_SECOND = 1000


class FreshnessPoller:
    """Ask the leader, again and again, how fresh the commit index is."""

    def __init__(self, local: member.Member, others: peers.Peers) -> None:
        self.member = local
        self.peers = others

    async def run(self) -> None:
        """Refresh while this member follows."""
        while True:
            if self.member.leader in self.member.peers:
                await self._refresh(self.member.leader)
            await asyncio.sleep(self.poll_delay(clock.monotonic_seconds()))

    def poll_delay(self, now: float) -> float:
        """Return how long to wait before the leader is asked again."""
        age = now - self.member.freshness.as_of
        return (
            timing.PROOF_POLL_SECONDS
            if age > timing.PROOF_DUE_AGE_SECONDS
            else timing.READ_PERIOD_SECONDS
        )

    async def _refresh(self, leader: str) -> None:
        # The age counts from the sending: the answer may have been delayed.
        asked_at = clock.monotonic_seconds()
        try:
            answer = await self.peers.stub(leader).Read(
                replication_pb2.ReadRequest(),
                timeout=timing.CALL_TIMEOUT_SECONDS,
            )
        except transport.CALL_ERRORS:
            self.peers.reset(leader)
            return
        if answer.known and await self._applies(answer.commit_index):
            self._extend(answer, asked_at)

    async def _applies(self, index: int) -> bool:
        """Wait until all that the proof covers is applied here."""
        try:
            await asyncio.wait_for(
                self.member.wait_applied(index),
                timing.CALL_TIMEOUT_SECONDS,
            )
        except asyncio.TimeoutError:
            return False
        return True

    def _extend(
        self,
        answer: replication_pb2.ReadAnswer,
        asked_at: float,
    ) -> None:
        as_of = asked_at - answer.age_ms / MILLISECONDS_PER_SECOND
        if as_of > self.member.freshness.as_of:
            self.member.freshness = member.Freshness(
                index=self.member.applied_index,
                as_of=as_of,
            )
