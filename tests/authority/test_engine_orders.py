"""Pass orders one at a time, and refuse what became old."""

import asyncio
import dataclasses
import typing
from collections import abc

import pytest

from cranberryrill.authority import authority_pb2, engine_orders, fencing_gate

HOST = '127.0.0.1'
DONE = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
Verdict = authority_pb2.EngineOrderAnswer


@dataclasses.dataclass
class Served:
    """Take no new work once it is leaving."""

    leaving: bool = False


class Stream:
    """Bring one order and take its answer."""

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
        """Take the answer."""
        self.answer = answer


class Engine:
    """Answer each order once it is let go."""

    def __init__(self) -> None:
        self.port = 0
        self.requests: list[bytes] = []
        self.arrived = asyncio.Event()
        self.let_go = asyncio.Event()

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Take one order."""
        self.requests.append(await reader.read(65536))
        self.arrived.set()
        await self.let_go.wait()
        writer.write(DONE)
        writer.close()


@pytest.fixture
async def engine() -> abc.AsyncIterator[Engine]:
    """Listen on a port that the system chooses."""
    listening = Engine()
    server = await asyncio.start_server(listening.serve, HOST, 0)
    listening.port = server.sockets[0].getsockname()[1]
    yield listening
    server.close()


class Agent:
    """Stand before an engine, knowing holder 5."""

    def __init__(self, port: int) -> None:
        self.gate = fencing_gate.Gate(started_at=0)
        self.gate.record_proof(5, as_of=1)
        self.served = Served()
        self.service = engine_orders.OrderService(
            self.gate,
            f'http://{HOST}:{port}',
            self.served,
        )

    async def take(
        self,
        fencing: int,
        kind: authority_pb2.EngineOrderKind = authority_pb2.LOAD_MODEL,
    ) -> int:
        """Take an order and return the verdict."""
        order = authority_pb2.EngineOrder(fencing=fencing, kind=kind)
        stream = Stream(order)
        await self.service.Pass(typing.cast(engine_orders.OrderStream, stream))
        assert stream.answer is not None
        return int(stream.answer.verdict)


async def test_an_old_order_never_reaches_the_engine(engine: Engine) -> None:
    agent = Agent(engine.port)
    assert await agent.take(4) == Verdict.OLD_FENCING
    assert not engine.requests


async def test_nothing_passes_before_a_proof(engine: Engine) -> None:
    agent = Agent(engine.port)
    agent.gate.proved = False
    assert await agent.take(5) == Verdict.NOT_PROVED
    assert not engine.requests


async def test_a_drain_is_for_the_agent(engine: Engine) -> None:
    agent = Agent(engine.port)
    assert await agent.take(4, authority_pb2.DRAIN) == Verdict.OLD_FENCING
    assert not agent.served.leaving
    assert await agent.take(5, authority_pb2.DRAIN) == Verdict.PASSED
    assert agent.served.leaving
    assert not engine.requests


async def test_an_order_waits_for_the_one_before(engine: Engine) -> None:
    agent = Agent(engine.port)
    first = asyncio.create_task(agent.take(5))
    await asyncio.wait_for(engine.arrived.wait(), 5)
    second = asyncio.create_task(agent.take(6))
    late = asyncio.create_task(agent.take(5))
    # The newer order is waiting at the gate, not on its way.
    assert len(engine.requests) == 1
    engine.let_go.set()
    verdicts = await asyncio.gather(first, second, late)
    passed = [Verdict.PASSED, Verdict.PASSED, Verdict.OLD_FENCING]
    assert list(verdicts) == passed
    assert len(engine.requests) == 2


async def test_an_engine_that_is_gone() -> None:
    # Nobody listens on the port of discarding.
    agent = Agent(9)
    assert await agent.take(5) == Verdict.OUTCOME_UNKNOWN
