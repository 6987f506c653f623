"""Send snapshots to followers that lag too far, and receive them."""

import asyncio
import logging
import typing

from grpclib import client, server

from cranberryrill import clock, tasks, transport
from cranberryrill.replication import (
    groups,
    log_follower,
    member,
    peers,
    replication_grpc,
    replication_pb2,
    timing,
)

LOGGER = logging.getLogger(__name__)
CHUNK_BYTES = 65536
ChunkStream = server.Stream[
    replication_pb2.SnapshotChunk,
    replication_pb2.SnapshotAnswer,
]


class Sender:
    """Send snapshots as the leader, while heartbeats continue."""

    def __init__(self, local: member.Member, others: peers.Peers) -> None:
        self.member = local
        self.peers = others

    async def run_peer(self, peer: str) -> None:
        """Send `peer` a snapshot when the log lacks its next entry."""
        wake = self.member.snapshot_wakes[peer]
        while True:
            await wake.wait()
            wake.clear()
            if self._is_needed(peer):
                await self._send(peer)

    def _is_needed(self, peer: str) -> bool:
        if self.member.role is not member.Role.leader:
            return False
        progress = self.member.progress[peer]
        return progress.next_index <= self.member.store.log.base_index

    async def _send(self, peer: str) -> None:
        term = self.member.term
        try:
            answer = await self._transfer(peer, term)
        except transport.CALL_ERRORS:
            await asyncio.sleep(timing.RETRY_PAUSE_SECONDS)
            return
        is_leader = self.member.role is member.Role.leader
        if answer is None or not answer.installed:
            return
        if not is_leader or term != self.member.term:
            return
        progress = self.member.progress[peer]
        if answer.identity != progress.identity:
            return
        progress.match_index = max(progress.match_index, answer.index)
        progress.next_index = max(progress.next_index, answer.index + 1)
        self.member.peer_wakes[peer].set()

    async def _transfer(
        self,
        peer: str,
        term: int,
    ) -> replication_pb2.SnapshotAnswer | None:
        content = await asyncio.to_thread(
            self.member.store.snapshots.path.read_bytes,
        )
        # The chunks use a separate connection: heartbeats that time out behind
        # them would close the shared one.
        channel = self.peers.dial(peer)
        try:
            return await self._send_chunks(channel, peer, term, content)
        finally:
            channel.close()

    async def _send_chunks(
        self,
        channel: client.Channel,
        peer: str,
        term: int,
        content: bytes,
    ) -> replication_pb2.SnapshotAnswer | None:
        progress = self.member.progress[peer]
        stub = replication_grpc.ReplicationStub(channel)
        async with stub.Install.open() as stream:
            for offset in range(0, len(content), CHUNK_BYTES):
                chunk = replication_pb2.SnapshotChunk(
                    term=term,
                    leader=self.member.name,
                    group_id=self.member.group.id,
                    total_bytes=len(content),
                    offset=offset,
                    content=content[offset : offset + CHUNK_BYTES],
                )
                last = offset + CHUNK_BYTES >= len(content)
                await asyncio.wait_for(
                    stream.send_message(chunk, end=last),
                    timing.CHUNK_TIMEOUT_SECONDS,
                )
                progress.snapshot_bytes += len(chunk.content)
            return await asyncio.wait_for(
                stream.recv_message(),
                timing.INSTALL_TIMEOUT_SECONDS,
            )


class Receiver:
    """Receive a snapshot; install it once it is complete and synced."""

    def __init__(
        self,
        local: member.Member,
        follower: log_follower.Follower,
    ) -> None:
        self.member = local
        self.follower = follower

    async def receive(
        self,
        stream: ChunkStream,
    ) -> replication_pb2.SnapshotAnswer:
        """Receive the chunks of one snapshot and install it."""
        snapshots = self.member.store.snapshots
        async with snapshots.lock:
            with snapshots.open_incoming() as incoming:
                last = await self._write_chunks(stream, incoming)
                snapshot = None
                if last is not None:
                    snapshot = await snapshots.finish_incoming(
                        incoming,
                        last.total_bytes,
                    )
            async with self.member.disk_lock:
                if last is None or snapshot is None:
                    return replication_pb2.SnapshotAnswer()
                # A cancellation between two of its writes would leave a
                # snapshot that is newer than the log.
                return await tasks.run_uncancelled(
                    self._install(last, snapshot)
                )

    async def _write_chunks(
        self,
        stream: ChunkStream,
        incoming: typing.BinaryIO,
    ) -> replication_pb2.SnapshotChunk | None:
        """Write the chunks to `incoming` and return the last one.

        Return None if a chunk is late, out of order or of an older term.
        """
        last = None
        while True:
            try:
                chunk = await asyncio.wait_for(
                    stream.recv_message(),
                    timing.CHUNK_TIMEOUT_SECONDS,
                )
            except asyncio.TimeoutError:
                return None
            if chunk is None:
                return last
            in_order = chunk.offset == incoming.tell()
            if not in_order or chunk.term < self.member.term:
                return None
            self.member.store.snapshots.write_incoming(incoming, chunk.content)
            last = chunk

    async def _install(
        self,
        chunk: replication_pb2.SnapshotChunk,
        snapshot: replication_pb2.Snapshot,
    ) -> replication_pb2.SnapshotAnswer:
        local = self.member
        if not groups.may_follow(local.group, chunk.group_id):
            return replication_pb2.SnapshotAnswer()
        accepted = await self.follower.accept_leader(
            chunk.term,
            chunk.leader,
            clock.monotonic_seconds(),
        )
        if not accepted:
            return replication_pb2.SnapshotAnswer(term=local.term)
        if snapshot.index > local.commit_index:
            await local.store.snapshots.install_incoming(snapshot)
            local.synced_index = await local.store.rebase(
                snapshot.index,
                snapshot.term,
            )
            await local.install(snapshot)
            LOGGER.info('snapshot installed', extra={'index': snapshot.index})
        return replication_pb2.SnapshotAnswer(
            term=local.term,
            installed=True,
            identity=local.identity,
            index=snapshot.index,
        )
