"""Orders are forwarded one at a time, and outdated ones are refused."""

import asyncio
import dataclasses
import typing
from collections import abc

import pytest

from cranberryrill.authority import authority_pb2, engine_orders, fencing_gate
from tests.authority import endless_server

HOST = '127.0.0.1'
OK_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
Verdict = authority_pb2.EngineOrderAnswer


@dataclasses.dataclass
class FakeDrainable:
    """Agent state that a drain order changes."""

    leaving: bool = False


class FakeStream:
    """gRPC stream with one order; stores the answer."""

    def __init__(self, order: authority_pb2.EngineOrder) -> None:
        self.order = order
        self.answer: authority_pb2.EngineOrderAnswer | None = None

    async def recv_message(self) -> authority_pb2.EngineOrder:
        """Return the order."""
        return self.order

    async def send_message(
        self,
        answer: authority_pb2.EngineOrderAnswer,
    ) -> None:
        """Store the answer."""
        self.answer = answer


class FakeEngine:
    """HTTP server that holds back its answers until `release` is set."""

    def __init__(self) -> None:
        self.port = 0
        self.requests: list[bytes] = []
        self.arrived = asyncio.Event()
        self.release = asyncio.Event()

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Receive and answer one order."""
        self.requests.append(await reader.read(65536))
        self.arrived.set()
        await self.release.wait()
        writer.write(OK_ANSWER)
        writer.close()


@pytest.fixture
async def engine() -> abc.AsyncIterator[FakeEngine]:
    """Run an engine on a free port."""
    listening = FakeEngine()
    server = await asyncio.start_server(listening.serve, HOST, 0)
    listening.port = server.sockets[0].getsockname()[1]
    yield listening
    server.close()


class AgentUnderTest:
    """Order service with a proof that holder 5 is the newest."""

    def __init__(self, port: int) -> None:
        self.gate = fencing_gate.Gate(started_at=0)
        self.gate.record_proof(5, as_of=1)
        self.drainable = FakeDrainable()
        self.service = engine_orders.OrderService(
            self.gate,
            f'http://{HOST}:{port}',
            self.drainable,
        )

    async def forward(
        self,
        fencing: int,
        kind: authority_pb2.EngineOrderKind = authority_pb2.LOAD_MODEL,
    ) -> int:
        """Send an order through the service and return the verdict."""
        order = authority_pb2.EngineOrder(fencing=fencing, kind=kind)
        stream = FakeStream(order)
        await self.service.Pass(typing.cast(engine_orders.OrderStream, stream))
        assert stream.answer is not None
        return int(stream.answer.verdict)


async def test_outdated_order_does_not_reach_engine(engine: FakeEngine) -> None:
    agent = AgentUnderTest(engine.port)
    assert await agent.forward(4) == Verdict.OLD_FENCING
    assert not engine.requests


async def test_order_is_refused_before_first_proof(engine: FakeEngine) -> None:
    agent = AgentUnderTest(engine.port)
    agent.gate.proved = False
    assert await agent.forward(5) == Verdict.NOT_PROVED
    assert not engine.requests


async def test_drain_order_is_not_forwarded(engine: FakeEngine) -> None:
    agent = AgentUnderTest(engine.port)
    assert await agent.forward(4, authority_pb2.DRAIN) == Verdict.OLD_FENCING
    assert not agent.drainable.leaving
    assert await agent.forward(5, authority_pb2.DRAIN) == Verdict.PASSED
    assert agent.drainable.leaving
    assert not engine.requests


async def test_order_waits_for_previous_one(engine: FakeEngine) -> None:
    agent = AgentUnderTest(engine.port)
    first = asyncio.create_task(agent.forward(5))
    await asyncio.wait_for(engine.arrived.wait(), 5)
    second = asyncio.create_task(agent.forward(6))
    late = asyncio.create_task(agent.forward(5))
    # The newer order waits for the lock and has not been sent.
    assert len(engine.requests) == 1
    engine.release.set()
    verdicts = await asyncio.gather(first, second, late)
    passed = [Verdict.PASSED, Verdict.PASSED, Verdict.OLD_FENCING]
    assert list(verdicts) == passed
    assert len(engine.requests) == 2


async def test_unreachable_engine_leaves_outcome_unknown() -> None:
    # Port 9 belongs to the discard service, which does not run here.
    agent = AgentUnderTest(9)
    assert await agent.forward(5) == Verdict.OUTCOME_UNKNOWN


async def test_answer_without_end_to_an_order_is_not_collected() -> None:
    # Failed when the whole body was kept until the timeout.
    server = endless_server.EndlessServer()
    await server.listen()
    agent = AgentUnderTest(server.port)
    peak = await endless_server.peak_bytes(agent.forward(5))
    assert peak < endless_server.MAX_GROWTH_BYTES
