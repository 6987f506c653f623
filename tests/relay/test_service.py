"""Run each request once, and only for its own organisation."""

import asyncio
import typing

import pytest
from grpclib import testing

from cranberryrill import clock
from cranberryrill.relay import (
    answers,
    request_ids,
    relay_grpc,
    relay_pb2,
    service,
    upstream,
)
from cranberryrill.scheduling import decisions, first_come
from cranberryrill.settings import schema

WAIT_SECONDS = 5


class Counting(upstream.Upstream):
    """Count the calls, and answer each when told to."""

    def __init__(self) -> None:
        super().__init__(
            schema.UpstreamSettings(base_url='http://127.0.0.1:1', target='d'),
        )
        self.calls: list[relay_pb2.Call] = []
        self.go = asyncio.Event()

    async def run(
        self,
        call: relay_pb2.Call,
        answer: answers.Answer,
        preempted: asyncio.Event,
    ) -> None:
        self.calls.append(call)
        answer.sent = True
        await self.go.wait()
        answer.start(200, [])
        answer.extend(call.body)
        answer.complete(clock.monotonic_seconds())


class Agent:
    """Hold one relay service and what it ran."""

    def __init__(self, slots: int = 4, queue_limit: int = 4) -> None:
        self.target = Counting()
        self.places = first_come.FirstComeScheduler(
            slots,
            queue_limit,
            decisions.LogRecorder(),
        )
        self.service = service.RelayService('one', self.places, self.target)
        self.ended: list[str] = []
        self.service.ended_hooks.append(self.note_end)

    def note_end(
        self,
        call: relay_pb2.Call,
        answer: answers.Answer,
        now: float,
    ) -> None:
        self.ended.append(answer.request_id)


async def ask(
    agent: Agent,
    request_id: str,
    **fields: typing.Any,
) -> list[relay_pb2.Downward]:
    asked = {'organisation': 'clinics', 'incarnation': 'one', 'body': b'feet'}
    call = relay_pb2.Call(**{**asked, **fields})
    async with testing.ChannelFor([agent.service]) as channel:
        stub = relay_grpc.RelayStub(channel)
        async with stub.Run.open() as stream:
            await stream.send_message(
                relay_pb2.Upward(
                    request_id=request_id,
                    organisation=call.organisation,
                    call=call,
                ),
            )
            received = [downward async for downward in stream]
            await stream.end()
    return [one for one in received if not one.HasField('heartbeat')]


@pytest.fixture
async def agent() -> Agent:
    return Agent()


@pytest.fixture
def named() -> request_ids.RequestIdGenerator:
    return request_ids.RequestIdGenerator()


async def test_same_request_runs_once(
    agent: Agent,
    named: request_ids.RequestIdGenerator,
) -> None:
    request_id = named.new_request_id()
    asking = [
        asyncio.create_task(ask(agent, request_id, claimed=True))
        for _ in range(3)
    ]
    await asyncio.sleep(0)
    agent.target.go.set()
    replies = await asyncio.gather(*asking)
    late = await ask(agent, request_id, claimed=True)
    assert all(reply == late for reply in replies)
    assert late[-1].final.length == 4
    assert len(agent.target.calls) == 1
    assert agent.ended == [request_id]


async def test_answer_is_resumed_at_an_offset(
    agent: Agent,
    named: request_ids.RequestIdGenerator,
) -> None:
    agent.target.go.set()
    request_id = named.new_request_id()
    await ask(agent, request_id)
    rest = await ask(agent, request_id, offset=3)
    assert [one.chunk.content for one in rest if one.HasField('chunk')] == [
        b't',
    ]
    assert len(agent.target.calls) == 1


async def test_foreign_request_is_not_attached(
    agent: Agent,
    named: request_ids.RequestIdGenerator,
) -> None:
    agent.target.go.set()
    request_id = named.new_request_id()
    await ask(agent, request_id)
    foreign = await ask(agent, request_id, organisation='guides')
    assert [one.WhichOneof('kind') for one in foreign] == ['failed']
    assert foreign[0].failed.ran == relay_pb2.Ran.UNKNOWN
    assert len(agent.target.calls) == 1


async def test_refused_request_never_runs(
    named: request_ids.RequestIdGenerator,
) -> None:
    agent = Agent(slots=1, queue_limit=0)
    request_id = named.new_request_id()
    refused = await ask(agent, request_id)
    assert refused[0].refused.code == 'queue_full'
    # A copy of the call that comes when there is room gets the same answer.
    agent.places.queue_limit = 4
    agent.target.go.set()
    assert await ask(agent, request_id) == refused
    assert not agent.target.calls


@pytest.mark.parametrize('leaving', [True, False])
async def test_refusals_before_anything_runs(
    agent: Agent,
    named: request_ids.RequestIdGenerator,
    leaving: bool,
) -> None:
    agent.service.leaving = leaving
    incarnation = 'one' if leaving else 'another'
    request_id = named.new_request_id()
    refused = await ask(agent, request_id, incarnation=incarnation)
    wanted = 'leaving' if leaving else 'other_incarnation'
    assert refused[0].refused.code == wanted
    assert not agent.target.calls


async def test_forgotten_request_is_unknown(
    agent: Agent,
    named: request_ids.RequestIdGenerator,
) -> None:
    agent.target.go.set()
    agent.service.answer_store.max_remembered = 0
    request_id = named.new_request_id()
    await ask(agent, request_id)
    agent.service.answer_store.expire(clock.monotonic_seconds() + 1000)
    late = await ask(agent, request_id)
    assert late[0].failed.code == 'forgotten'
    assert late[0].failed.ran == relay_pb2.Ran.UNKNOWN
    assert len(agent.target.calls) == 1


async def test_evicted_request_proves_not_run(
    named: request_ids.RequestIdGenerator,
) -> None:
    agent = Agent(slots=1)
    first = asyncio.create_task(ask(agent, named.new_request_id()))
    while not agent.target.calls:
        await asyncio.sleep(0.01)
    second = asyncio.create_task(ask(agent, named.new_request_id()))
    while not agent.places.waiting:
        await asyncio.sleep(0.01)
    agent.places.waiting[0].evicted.set()
    evicted = await asyncio.wait_for(second, WAIT_SECONDS)
    assert evicted[0].refused.code == 'evicted'
    agent.target.go.set()
    assert (await first)[-1].HasField('final')
    assert len(agent.target.calls) == 1


async def test_a_request_that_waits_past_its_deadline_never_runs(
    named: request_ids.RequestIdGenerator,
) -> None:
    agent = Agent(slots=1)
    first = asyncio.create_task(ask(agent, named.new_request_id()))
    while not agent.target.calls:
        await asyncio.sleep(0.01)
    late = await ask(agent, named.new_request_id(), timeout_ms=50)
    assert late[-1].failed.code == answers.TIMED_OUT
    assert late[-1].failed.ran == relay_pb2.Ran.NO
    agent.target.go.set()
    await first
    assert len(agent.target.calls) == 1
