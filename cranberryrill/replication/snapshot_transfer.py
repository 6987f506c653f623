"""Send a snapshot to a follower that is too far behind, and take one."""

import asyncio
import logging
import typing

from grpclib import client, server

from cranberryrill import clock, transport
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
    replication_pb2.SnapshotChunk, replication_pb2.SnapshotAnswer
]


class Sender:
    """Send snapshots while this member leads; heartbeats go on beside it."""

    def __init__(self, local: member.Member, others: peers.Peers) -> None:
        self.member = local
        self.peers = others

    async def run_peer(self, peer: str) -> None:
        """Send `peer` a snapshot whenever it needs one."""
        wake = self.member.snapshot_wakes[peer]
        while True:
            await wake.wait()
            wake.clear()
            if self._is_needed(peer):
                await self._send(peer)

    def _is_needed(self, peer: str) -> bool:
        if self.member.role is not member.Role.leader:
            return False
        known = self.member.progress[peer]
        return known.next_index <= self.member.store.log.base_index

    async def _send(self, peer: str) -> None:
        term = self.member.term
        try:
            answer = await self._stream(peer, term)
        except transport.CALL_ERRORS:
            await asyncio.sleep(timing.RETRY_PAUSE_SECONDS)
            return
        leads = self.member.role is member.Role.leader
        if answer is None or not answer.installed:
            return
        if not leads or term != self.member.term:
            return
        known = self.member.progress[peer]
        if answer.identity != known.identity:
            return
        known.match_index = max(known.match_index, answer.index)
        known.next_index = max(known.next_index, answer.index + 1)
        self.member.peer_wakes[peer].set()

    async def _stream(
        self,
        peer: str,
        term: int,
    ) -> replication_pb2.SnapshotAnswer | None:
        content = await asyncio.to_thread(
            self.member.store.snapshots.path.read_bytes,
        )
        # A connection of its own: heartbeats that time out behind the pieces
        # get a new one.
        channel = self.peers.dial(peer)
        try:
            return await self._send_pieces(channel, peer, term, content)
        finally:
            channel.close()

    async def _send_pieces(
        self,
        channel: client.Channel,
        peer: str,
        term: int,
        content: bytes,
    ) -> replication_pb2.SnapshotAnswer | None:
        known = self.member.progress[peer]
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
                known.snapshot_bytes += len(chunk.content)
            return await asyncio.wait_for(
                stream.recv_message(),
                timing.INSTALL_TIMEOUT_SECONDS,
            )


class Receiver:
    """Install a snapshot only when it has come whole and is synced."""

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
        """Take the chunks of one snapshot and say whether it is in force."""
        kept = self.member.store.snapshots
        async with kept.lock:
            with kept.open_incoming() as incoming:
                last = await self._write(stream, incoming)
                snapshot = None
                if last is not None:
                    snapshot = await kept.finish_incoming(
                        incoming,
                        last.total_bytes,
                    )
            async with self.member.disk_lock:
                if last is None or snapshot is None:
                    return replication_pb2.SnapshotAnswer()
                return await self._install(last, snapshot)

    async def _write(
        self,
        stream: ChunkStream,
        incoming: typing.BinaryIO,
    ) -> replication_pb2.SnapshotChunk | None:
        """Write the chunks in order; return the last one."""
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
        heard = await self.follower.accept_leader(
            chunk.term,
            chunk.leader,
            clock.monotonic_seconds(),
        )
        if not heard:
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
