"""The service runs each request once, for its own organisation only."""

import asyncio
import typing

import pytest
from grpclib import testing

from cranberryrill import clock
from cranberryrill.relay import (
    answers,
    relay_grpc,
    relay_pb2,
    request_ids,
    service,
    upstream,
)
from cranberryrill.scheduling import decisions, first_come
from cranberryrill.settings import schema

WAIT_SECONDS = 5


class ScriptedUpstream(upstream.Upstream):
    """Upstream that records its calls and answers once `may_answer` is set."""

    def __init__(self) -> None:
        super().__init__(
            schema.UpstreamSettings(base_url='http://127.0.0.1:1', target='d'),
        )
        self.calls: list[relay_pb2.Call] = []
        self.may_answer = asyncio.Event()

    async def run(
        self,
        call: relay_pb2.Call,
        answer: answers.Answer,
        preempted: asyncio.Event,
    ) -> None:
        self.calls.append(call)
        answer.sent = True
        await self.may_answer.wait()
        answer.start(200, [])
        answer.extend(call.body)
        answer.complete(clock.monotonic_seconds())


class Agent:
    """A relay service with its upstream, scheduler and ended requests."""

    def __init__(self, slots: int = 4, queue_limit: int = 4) -> None:
        self.target = ScriptedUpstream()
        self.scheduler = first_come.FirstComeScheduler(
            slots,
            queue_limit,
            decisions.LogRecorder(),
        )
        self.service = service.RelayService('one', self.scheduler, self.target)
        self.ended: list[str] = []
        self.service.ended_hooks.append(self.record_end)

    def record_end(
        self,
        call: relay_pb2.Call,
        answer: answers.Answer,
        now: float,
    ) -> None:
        self.ended.append(answer.request_id)


async def send_call(
    agent: Agent,
    request_id: str,
    **fields: typing.Any,
) -> list[relay_pb2.Downward]:
    default_fields = {
        'organisation': 'clinics',
        'incarnation': 'one',
        'body': b'feet',
    }
    call = relay_pb2.Call(**{**default_fields, **fields})
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
def id_generator() -> request_ids.RequestIdGenerator:
    return request_ids.RequestIdGenerator()


async def test_same_request_runs_once(
    agent: Agent,
    id_generator: request_ids.RequestIdGenerator,
) -> None:
    request_id = id_generator.new_request_id()
    tasks = [
        asyncio.create_task(send_call(agent, request_id, claimed=True))
        for _ in range(3)
    ]
    await asyncio.sleep(0)
    agent.target.may_answer.set()
    replies = await asyncio.gather(*tasks)
    late = await send_call(agent, request_id, claimed=True)
    assert all(reply == late for reply in replies)
    assert late[-1].final.length == 4
    assert len(agent.target.calls) == 1
    assert agent.ended == [request_id]


async def test_answer_is_resumed_at_an_offset(
    agent: Agent,
    id_generator: request_ids.RequestIdGenerator,
) -> None:
    agent.target.may_answer.set()
    request_id = id_generator.new_request_id()
    await send_call(agent, request_id)
    rest = await send_call(agent, request_id, offset=3)
    assert [one.chunk.content for one in rest if one.HasField('chunk')] == [
        b't',
    ]
    assert len(agent.target.calls) == 1


async def test_request_of_another_organisation_is_not_attached(
    agent: Agent,
    id_generator: request_ids.RequestIdGenerator,
) -> None:
    agent.target.may_answer.set()
    request_id = id_generator.new_request_id()
    await send_call(agent, request_id)
    foreign = await send_call(agent, request_id, organisation='guides')
    assert [one.WhichOneof('kind') for one in foreign] == ['failed']
    assert foreign[0].failed.ran == relay_pb2.Ran.UNKNOWN
    assert len(agent.target.calls) == 1


async def test_refused_request_never_runs(
    id_generator: request_ids.RequestIdGenerator,
) -> None:
    agent = Agent(slots=1, queue_limit=0)
    request_id = id_generator.new_request_id()
    refused = await send_call(agent, request_id)
    assert refused[0].refused.code == 'queue_full'
    # A later copy of the call gets the same refusal, although there is room.
    agent.scheduler.queue_limit = 4
    agent.target.may_answer.set()
    assert await send_call(agent, request_id) == refused
    assert not agent.target.calls


@pytest.mark.parametrize('leaving', [True, False])
async def test_leaving_or_restarted_agent_refuses(
    agent: Agent,
    id_generator: request_ids.RequestIdGenerator,
    leaving: bool,
) -> None:
    agent.service.leaving = leaving
    incarnation = 'one' if leaving else 'another'
    request_id = id_generator.new_request_id()
    refused = await send_call(agent, request_id, incarnation=incarnation)
    expected_code = 'leaving' if leaving else 'other_incarnation'
    assert refused[0].refused.code == expected_code
    assert not agent.target.calls


async def test_forgotten_request_has_an_unknown_outcome(
    agent: Agent,
    id_generator: request_ids.RequestIdGenerator,
) -> None:
    agent.target.may_answer.set()
    agent.service.answer_store.max_outcomes = 0
    request_id = id_generator.new_request_id()
    await send_call(agent, request_id)
    agent.service.answer_store.expire(clock.monotonic_seconds() + 1000)
    late = await send_call(agent, request_id)
    assert late[0].failed.code == 'forgotten'
    assert late[0].failed.ran == relay_pb2.Ran.UNKNOWN
    assert len(agent.target.calls) == 1


async def test_evicted_request_is_refused_without_a_run(
    id_generator: request_ids.RequestIdGenerator,
) -> None:
    agent = Agent(slots=1)
    first = asyncio.create_task(send_call(agent, id_generator.new_request_id()))
    while not agent.target.calls:
        await asyncio.sleep(0.01)
    second = asyncio.create_task(
        send_call(agent, id_generator.new_request_id())
    )
    while not agent.scheduler.waiting:
        await asyncio.sleep(0.01)
    agent.scheduler.waiting[0].evicted.set()
    evicted = await asyncio.wait_for(second, WAIT_SECONDS)
    assert evicted[0].refused.code == 'evicted'
    agent.target.may_answer.set()
    assert (await first)[-1].HasField('final')
    assert len(agent.target.calls) == 1


async def test_request_that_waits_past_its_deadline_never_runs(
    id_generator: request_ids.RequestIdGenerator,
) -> None:
    agent = Agent(slots=1)
    first = asyncio.create_task(send_call(agent, id_generator.new_request_id()))
    while not agent.target.calls:
        await asyncio.sleep(0.01)
    late = await send_call(agent, id_generator.new_request_id(), timeout_ms=50)
    assert late[-1].failed.code == answers.TIMED_OUT
    assert late[-1].failed.ran == relay_pb2.Ran.NO
    agent.target.may_answer.set()
    await first
    assert len(agent.target.calls) == 1
