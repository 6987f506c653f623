"""Ask control members whether they are there, and answer when asked."""

import asyncio
import logging

from grpclib import const, server

from cranberryrill import clock, tasks, transport
from cranberryrill.redirection import candidates
from cranberryrill.replication import peers, replication_pb2, timing

LOGGER = logging.getLogger(__name__)
FOUND_METHOD = '/cranberryrill.replication.Replication/Found'


class Prober:
    """Probe every known member, one task each."""

    def __init__(
        self,
        known: candidates.Candidates,
        others: peers.Peers,
        port: int,
        group: tasks.TaskGroup,
    ) -> None:
        self.known = known
        self.peers = others
        self.port = port
        self.group = group

    def start(self) -> None:
        """Probe the members that are known by now."""
        for host in list(self.known.answered_at):
            self._start_one(host)

    def add(self, hosts: list[str]) -> None:
        """Probe these members, too."""
        for host in self.known.add(hosts):
            LOGGER.info('control member met', extra={'peer': host})
            self._start_one(host)

    async def run_one(self, host: str) -> None:
        """Probe one member again and again."""
        while True:
            await self.probe(host)
            await asyncio.sleep(candidates.PROBE_PERIOD_SECONDS)

    async def probe(self, host: str) -> None:
        """Ask one member, and learn from it of others."""
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
        regained = self.known.record_answer(
            host,
            diskless=answer.diskless,
            now=clock.monotonic_seconds(),
        )
        if regained:
            LOGGER.info('control member answers', extra={'peer': host})
        self.add(list(answer.hosts))

    def _start_one(self, host: str) -> None:
        self.peers.addresses[host] = transport.Address(host, self.port)
        self.group.start(self.run_one(host), f'probe {host}')


class DisklessService:
    """Tell members that ask that nobody here can vote."""

    def __mapping__(self) -> dict[str, const.Handler]:
        """Return the handler of the one call that is answered."""
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
        """Say that there is no disk."""
        await stream.recv_message()
        await stream.send_message(replication_pb2.FoundAnswer(diskless=True))
