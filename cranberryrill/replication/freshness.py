"""Keep the freshness proof of a follower up to date."""

import asyncio

from cranberryrill import clock, transport
from cranberryrill.replication import member, peers, replication_pb2, timing

MILLISECONDS_PER_SECOND = 1000


class FreshnessPoller:
    """Poll the leader for proofs of how fresh its commit index is."""

    def __init__(self, local: member.Member, others: peers.Peers) -> None:
        self.member = local
        self.peers = others

    async def run(self) -> None:
        """Poll while this member follows a leader."""
        while True:
            if self.member.leader in self.member.peers:
                await self._refresh(self.member.leader)
            await asyncio.sleep(self.poll_delay(clock.monotonic_seconds()))

    def poll_delay(self, now: float) -> float:
        """Return the seconds to wait until the next poll."""
        age = now - self.member.freshness.as_of
        return (
            timing.PROOF_POLL_SECONDS
            if age > timing.PROOF_DUE_AGE_SECONDS
            else timing.READ_PERIOD_SECONDS
        )

    async def _refresh(self, leader: str) -> None:
        # The age counts from the sending of the request, since the answer may
        # be delayed.
        sent_at = clock.monotonic_seconds()
        try:
            answer = await self.peers.stub(leader).Read(
                replication_pb2.ReadRequest(),
                timeout=timing.CALL_TIMEOUT_SECONDS,
            )
        except transport.CALL_ERRORS:
            self.peers.reset(leader)
            return
        if answer.known and await self._wait_applied(answer.commit_index):
            self._record_proof(answer, sent_at)

    async def _wait_applied(self, index: int) -> bool:
        """Return whether `index` is applied here within the call timeout."""
        try:
            await asyncio.wait_for(
                self.member.wait_applied(index),
                timing.CALL_TIMEOUT_SECONDS,
            )
        except asyncio.TimeoutError:
            return False
        return True

    def _record_proof(
        self,
        answer: replication_pb2.ReadAnswer,
        sent_at: float,
    ) -> None:
        as_of = sent_at - answer.age_ms / MILLISECONDS_PER_SECOND
        if as_of > self.member.freshness.as_of:
            self.member.freshness = member.Freshness(
                index=self.member.applied_index,
                as_of=as_of,
            )
