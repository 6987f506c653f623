"""Run a replicated group in one process, with a replaceable replicator."""

import asyncio
import datetime
import pathlib
import random
import types

from grpclib import server

from bench import faults, web
from cranberryrill import clock, tasks, transport
from cranberryrill.certificates import issuer
from cranberryrill.configuration import state
from cranberryrill.replication import (
    compaction,
    election,
    group_founder,
    log_replicator,
    member,
    peers,
    proposals,
    service,
    snapshot_transfer,
    store,
    voter_admission,
)
from cranberryrill.state import machine

HOST = '127.0.0.1'
POLL_SECONDS = 0.02


class UnbatchedReplicator(log_replicator.Replicator):
    """Replicator that syncs one entry at a time, to compare with batches."""

    async def run_disk(self) -> None:
        """Sync each proposed entry separately while leading."""
        local = self.member
        while True:
            await tasks.wait_and_clear(local.proposed, 0.1)
            while local.synced_index < local.store.log.last_index:
                if local.role is not member.Role.leader:
                    break
                for wake in local.peer_wakes.values():
                    wake.set()
                async with local.disk_lock:
                    next_index = local.synced_index + 1
                    await local.store.sync()
                    local.synced_index = next_index
                    await local.advance_commit(clock.monotonic_seconds())


class Node:
    """Member of the group with its server and tasks."""

    def __init__(
        self,
        name: str,
        folder: pathlib.Path,
        tls: transport.TlsSettings,
        addresses: dict[str, transport.Address],
    ) -> None:
        self.name = name
        self.tls = tls
        self.peers = peers.Peers(transport.Dialer(tls), addresses)
        self.member = member.Member(
            name,
            tuple(addresses),
            store.Store(folder / name),
            machine.Machine([state.ConfigurationState()]),
            clock.monotonic_seconds(),
        )
        self.proposer = proposals.Proposer(self.member, self.peers)
        self.founder = group_founder.Founder(self.member, self.peers)
        self.tasks = tasks.TaskGroup()
        self.server: server.Server | None = None

    async def start(
        self,
        port: int,
        bounds: compaction.Bounds,
        replicator_type: type[log_replicator.Replicator],
        seed: int,
    ) -> None:
        """Start the server and the tasks of the member."""
        admission = voter_admission.Admission(
            self.member,
            self.peers,
            self.proposer,
        )
        replication = service.ReplicationService(
            self.member,
            self.proposer,
            self.founder,
            admission,
        )
        self.server = await transport.listen(
            [replication],
            transport.Address(HOST, port),
            self.tls,
        )
        rng = random.Random(f'{seed}-{self.name}')
        replicator = replicator_type(self.member, self.peers)
        sender = snapshot_transfer.Sender(self.member, self.peers)
        coroutines = [
            self.founder.run(),
            election.Elector(self.member, self.peers, rng).run(),
            replicator.run_disk(),
            compaction.Compactor(self.member, bounds).run(),
        ]
        for peer in self.member.peers:
            coroutines.extend(
                (replicator.run_peer(peer), sender.run_peer(peer))
            )
        for number, coroutine in enumerate(coroutines):
            self.tasks.start(coroutine, f'{self.name}-{number}')

    async def stop(self) -> None:
        """Stop the tasks and the server, and close the store."""
        await self.tasks.cancel()
        self.peers.close()
        if self.server is not None:
            self.server.close()
            await self.server.wait_closed()
        self.member.store.close()


class Group:
    """Group of three members, connected by links that can fail."""

    def __init__(
        self,
        folder: pathlib.Path,
        seed: int,
        bounds: compaction.Bounds | None = None,
        replicator_type: type[
            log_replicator.Replicator
        ] = log_replicator.Replicator,
    ) -> None:
        self.folder = folder
        self.seed = seed
        self.bounds = bounds or compaction.Bounds()
        self.replicator_type = replicator_type
        self.network = faults.Network()
        self.nodes: list[Node] = []

    async def __aenter__(self) -> 'Group':
        """Start the members and wait for a leader."""
        now = datetime.datetime.now(datetime.UTC)
        issuer.write_certificates(self.folder, now, ())
        tls = transport.TlsSettings(
            authority=self.folder / 'authority.pem',
            certificate=self.folder / 'control.pem',
            key=self.folder / 'control.key',
        )
        ports = {name: web.free_port() for name in ('a', 'b', 'c')}
        for name, port in ports.items():
            others = {
                other: transport.Address(
                    HOST,
                    self.network.link_port(name, other, ports[other]),
                )
                for other in ports
                if other != name
            }
            node = Node(name, self.folder, tls, others)
            self.nodes.append(node)
            await node.start(port, self.bounds, self.replicator_type, self.seed)
        await self.leader()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Stop the members."""
        for node in self.nodes:
            await node.stop()
        self.network.close()

    async def leader(self) -> Node:
        """Wait for a leader that has committed an entry of its term."""
        while True:
            for node in self.nodes:
                if node.member.leads_with_committed_entry():
                    return node
            await asyncio.sleep(POLL_SECONDS)

    def followers(self, leader: Node) -> list[Node]:
        """Return every member other than `leader`."""
        return [node for node in self.nodes if node is not leader]
