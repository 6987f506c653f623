"""Send the leader's log to each peer, and its own to disk."""

import asyncio

from cranberryrill import clock, tasks, transport
from cranberryrill.replication import member, peers, replication_pb2, timing

MAX_BATCH_BYTES = 1024 * 1024


class Replicator:
    """Replicate while this member leads."""

    def __init__(self, local: member.Member, others: peers.Peers) -> None:
        self.member = local
        self.peers = others

    async def run_disk(self) -> None:
        """Sync proposed entries, as many at once as have gathered."""
        local = self.member
        while True:
            proposed = await tasks.wait_and_clear(
                local.proposed, timing.HEARTBEAT_SECONDS
            )
            if not self._leads():
                continue
            if not proposed:
                await local.advance_commit(clock.monotonic_seconds())
                continue
            for wake in local.peer_wakes.values():
                wake.set()
            async with local.disk_lock:
                local.synced_index = await local.store.sync()
                if self._leads():
                    await local.advance_commit(clock.monotonic_seconds())

    async def run_peer(self, peer: str) -> None:
        """Send `peer` what it lacks, and heartbeats, while leading."""
        wake = self.member.peer_wakes[peer]
        while True:
            await tasks.wait_and_clear(wake, timing.HEARTBEAT_SECONDS)
            if not self._leads():
                continue
            more = True
            while more:
                more = await self.send(peer)

    async def send(self, peer: str) -> bool:
        """Send one append, and say whether there is more to send."""
        request = self._request(peer)
        sent_at = clock.monotonic_seconds()
        try:
            answer = await self.peers.stub(peer).Append(
                request,
                timeout=timing.CALL_TIMEOUT_SECONDS,
            )
        except transport.CALL_ERRORS:
            self.peers.reset(peer)
            # A batch may be too much for the link within the time.
            known = self.member.progress[peer]
            known.batch_entries = max(len(request.entries) // 2, 1)
            await asyncio.sleep(timing.RETRY_PAUSE_SECONDS)
            return False
        if answer.term > self.member.term:
            await self._give_way(answer.term)
            return False
        if request.term != self.member.term or not self._leads():
            return False
        return await self._learn(peer, answer, sent_at)

    async def _learn(
        self,
        peer: str,
        answer: replication_pb2.AppendAnswer,
        sent_at: float,
    ) -> bool:
        known = self.member.progress[peer]
        known.update_identity(answer.identity)
        known.confirmed_at = max(known.confirmed_at, sent_at)
        doubled = known.batch_entries * 2
        known.batch_entries = min(doubled, member.MAX_BATCH_ENTRIES)
        if answer.accepted:
            known.match_index = max(known.match_index, answer.match_index)
        known.next_index = max(known.match_index, answer.match_index) + 1
        await self.member.advance_commit(clock.monotonic_seconds())
        log = self.member.store.log
        if known.next_index <= log.base_index:
            self.member.snapshot_wakes[peer].set()
            return False
        return known.next_index <= log.last_index

    def _leads(self) -> bool:
        return self.member.role is member.Role.leader

    def _request(self, peer: str) -> replication_pb2.AppendRequest:
        known = self.member.progress[peer]
        log = self.member.store.log
        # Without the entries that it lacks, a peer gets a heartbeat.
        lacks = known.next_index <= log.base_index
        previous = log.base_index if lacks else known.next_index - 1
        return replication_pb2.AppendRequest(
            term=self.member.term,
            leader=self.member.name,
            previous_index=previous,
            previous_term=log.term_at(previous) or 0,
            entries=[] if lacks else self._batch(known),
            commit_index=self.member.commit_index,
            group_id=self.member.group.id,
        )

    def _batch(
        self,
        known: member.PeerProgress,
    ) -> list[replication_pb2.Entry]:
        return self.member.store.log.batch(
            known.next_index,
            known.batch_entries,
            MAX_BATCH_BYTES,
        )

    async def _give_way(self, term: int) -> None:
        async with self.member.disk_lock:
            if term > self.member.term:
                await self.member.store.save_ballot(term, '')
                self.member.step_down('')
