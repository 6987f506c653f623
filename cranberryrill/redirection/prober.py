"""Probe control members, and answer the probes of others."""

import asyncio
import logging

from grpclib import const, server

from cranberryrill import clock, tasks, transport
from cranberryrill.redirection import candidates
from cranberryrill.replication import peers, replication_pb2, timing

LOGGER = logging.getLogger(__name__)
FOUND_METHOD = '/cranberryrill.replication.Replication/Found'


class Prober:
    """Prober of the known control members, with a task for each."""

    def __init__(
        self,
        known_members: candidates.Candidates,
        member_peers: peers.Peers,
        port: int,
        group: tasks.TaskGroup,
    ) -> None:
        self.known_members = known_members
        self.peers = member_peers
        self.port = port
        self.group = group

    def start(self) -> None:
        """Start to probe the members that are known now."""
        for host in list(self.known_members.answered_at):
            self._start_one(host)

    def add(self, hosts: list[str]) -> None:
        """Start to probe those of `hosts` that are new."""
        for host in self.known_members.add(hosts):
            LOGGER.info('control member met', extra={'peer': host})
            self._start_one(host)

    async def run_one(self, host: str) -> None:
        """Probe one member periodically, until cancelled."""
        while True:
            await self.probe(host)
            await asyncio.sleep(candidates.PROBE_PERIOD_SECONDS)

    async def probe(self, host: str) -> None:
        """Send one probe; add the other members that the answer lists."""
        try:
            answer = await self.peers.stub(host).Found(
                replication_pb2.FoundRequest(),
                timeout=timing.CALL_TIMEOUT_SECONDS,
            )
        except transport.CALL_ERRORS as error:
            LOGGER.debug(
                'probe failed',
                extra={'peer': host, 'cause': str(error)},
            )
            self.peers.reset(host)
            return
        recovered = self.known_members.record_answer(
            host,
            diskless=answer.diskless,
            now=clock.monotonic_seconds(),
        )
        if recovered:
            LOGGER.info('control member answers', extra={'peer': host})
        self.add(list(answer.hosts))

    def _start_one(self, host: str) -> None:
        self.peers.addresses[host] = transport.Address(host, self.port)
        self.group.start(self.run_one(host), f'probe {host}')


class DisklessService:
    """gRPC service of a VM without a disk, which has no vote."""

    def __mapping__(self) -> dict[str, const.Handler]:
        """Return the handler of `Found`, the only method it serves."""
        return {
            FOUND_METHOD: const.Handler(
                self.found,
                const.Cardinality.UNARY_UNARY,
                replication_pb2.FoundRequest,
                replication_pb2.FoundAnswer,
            ),
        }

    async def found(
        self,
        stream: server.Stream[
            replication_pb2.FoundRequest, replication_pb2.FoundAnswer
        ],
    ) -> None:
        """Answer that this VM is diskless."""
        await stream.recv_message()
        await stream.send_message(replication_pb2.FoundAnswer(diskless=True))
