"""Replicate the log of the leader to its own disk and to each peer."""

import asyncio

from cranberryrill import clock, tasks, transport
from cranberryrill.replication import member, peers, replication_pb2, timing

MAX_BATCH_BYTES = 1024 * 1024


class Replicator:
    """Sync and send log entries while this member leads."""

    def __init__(self, local: member.Member, others: peers.Peers) -> None:
        self.member = local
        self.peers = others

    async def run_disk(self) -> None:
        """Sync proposed entries, each time all that are buffered."""
        local = self.member
        while True:
            proposed = await tasks.wait_and_clear(
                local.proposed,
                timing.HEARTBEAT_SECONDS,
            )
            if not self._is_leader():
                continue
            if not proposed:
                await local.advance_commit(clock.monotonic_seconds())
                continue
            for wake in local.peer_wakes.values():
                wake.set()
            async with local.disk_lock:
                local.synced_index = await local.store.sync()
                if self._is_leader():
                    await local.advance_commit(clock.monotonic_seconds())

    async def run_peer(self, peer: str) -> None:
        """Send `peer` missing entries and heartbeats while leading."""
        wake = self.member.peer_wakes[peer]
        while True:
            await tasks.wait_and_clear(wake, timing.HEARTBEAT_SECONDS)
            if not self._is_leader():
                continue
            more = True
            while more:
                more = await self.send(peer)

    async def send(self, peer: str) -> bool:
        """Send one append; return whether entries are left to send."""
        request = self._request(peer)
        sent_at = clock.monotonic_seconds()
        try:
            answer = await self.peers.stub(peer).Append(
                request,
                timeout=timing.CALL_TIMEOUT_SECONDS,
            )
        except transport.CALL_ERRORS:
            self.peers.reset(peer)
            # The batch may be too large for the link within the timeout.
            progress = self.member.progress[peer]
            progress.batch_entries = max(len(request.entries) // 2, 1)
            await asyncio.sleep(timing.RETRY_PAUSE_SECONDS)
            return False
        if answer.term > self.member.term:
            await self._adopt_term(answer.term)
            return False
        if request.term != self.member.term or not self._is_leader():
            return False
        return await self._record_answer(peer, answer, sent_at)

    async def _record_answer(
        self,
        peer: str,
        answer: replication_pb2.AppendAnswer,
        sent_at: float,
    ) -> bool:
        progress = self.member.progress[peer]
        progress.update_identity(answer.identity)
        progress.confirmed_at = max(progress.confirmed_at, sent_at)
        doubled = progress.batch_entries * 2
        progress.batch_entries = min(doubled, member.MAX_BATCH_ENTRIES)
        if answer.accepted:
            progress.match_index = max(progress.match_index, answer.match_index)
        progress.next_index = max(progress.match_index, answer.match_index) + 1
        await self.member.advance_commit(clock.monotonic_seconds())
        log = self.member.store.log
        if progress.next_index <= log.base_index:
            self.member.snapshot_wakes[peer].set()
            return False
        return progress.next_index <= log.last_index

    def _is_leader(self) -> bool:
        return self.member.role is member.Role.leader

    def _request(self, peer: str) -> replication_pb2.AppendRequest:
        progress = self.member.progress[peer]
        log = self.member.store.log
        # A peer that needs a snapshot gets heartbeats until it has it.
        needs_snapshot = progress.next_index <= log.base_index
        previous = log.base_index if needs_snapshot else progress.next_index - 1
        return replication_pb2.AppendRequest(
            term=self.member.term,
            leader=self.member.name,
            previous_index=previous,
            previous_term=log.term_at(previous) or 0,
            entries=[] if needs_snapshot else self._batch(progress),
            commit_index=self.member.commit_index,
            group_id=self.member.group.id,
        )

    def _batch(
        self,
        progress: member.PeerProgress,
    ) -> list[replication_pb2.Entry]:
        return self.member.store.log.batch(
            progress.next_index,
            progress.batch_entries,
            MAX_BATCH_BYTES,
        )

    async def _adopt_term(self, term: int) -> None:
        async with self.member.disk_lock:
            if term > self.member.term:
                await self.member.store.save_ballot(term, '')
                self.member.step_down('')
