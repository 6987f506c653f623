"""Responses that aren't HTTP acknowledge no message and no order."""

import typing

import pytest
import result

from cranberryrill.authority import (
    authority_pb2,
    engine_orders,
    platform_client,
)
from tests import response_cases
from tests.authority import test_engine_orders as orders
from tests.authority import test_platform_client as platform_messages
from tests.relay import test_upstream as scripted

NO_STATUSES = [
    pytest.param(
        b'HTTP/1.1 %s OK\r\nContent-Length: 0\r\n\r\n' % number, id=str(number)
    )
    for number in (b'000', b'099', b'600', b'999', b'2000', b'0200')
]
MALFORMED = [
    *NO_STATUSES,
    *(
        pytest.param(case.response(), id=name)
        for name, case in (
            *response_cases.MALFORMED_HEADS.items(),
            *response_cases.MALFORMED_CHUNKS.items(),
        )
    ),
    pytest.param(b'HTTP/1.1 200 OK\r\n', id='status line alone'),
    pytest.param(b'HTTP/1.1 200 OK\r\nContent-Le', id='head cut off'),
    pytest.param(
        b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok', id='body cut off'
    ),
]
SOUND = [
    pytest.param(case.response(), id=name)
    for name, case in (
        *response_cases.SOUND_HEADS.items(),
        *response_cases.SOUND_CHUNKS.items(),
    )
]


async def send_message(response: bytes) -> platform_client.SendResult:
    """Return the result of a message to a platform with this response."""
    server = scripted.ScriptedServer(1, response, reads_one_more=False)
    client = platform_messages.make_client(typing.cast(typing.Any, server))
    answer = await client.send(
        platform_messages.MESSAGE, platform_messages.TENURE
    )
    server.close()
    return answer


async def forward_order(response: bytes) -> authority_pb2.EngineOrderAnswer:
    """Return an agent's answer on an order to an engine with this response."""
    server = scripted.ScriptedServer(1, response, reads_one_more=False)
    agent = orders.AgentUnderTest(server.port)
    order = authority_pb2.EngineOrder(fencing=5, kind=authority_pb2.LOAD_MODEL)
    stream = orders.FakeStream(order)
    await agent.service.Pass(
        typing.cast(engine_orders.OrderStream, stream),
    )
    server.close()
    assert stream.answer is not None
    return stream.answer


@pytest.mark.parametrize('response', MALFORMED)
async def test_platform_acknowledges_nothing(response: bytes) -> None:
    # Guards against a report that counts as sent.
    answer = await send_message(response)
    assert isinstance(answer.err(), platform_client.NoAnswer)


@pytest.mark.parametrize('response', SOUND)
async def test_platform_acknowledges_a_message(response: bytes) -> None:
    assert await send_message(response) == result.Ok(200)


@pytest.mark.parametrize('response', MALFORMED)
async def test_engine_acknowledges_nothing(response: bytes) -> None:
    answer = await forward_order(response)
    assert answer.verdict == orders.Verdict.OUTCOME_UNKNOWN
    assert answer.status == 0


@pytest.mark.parametrize('response', SOUND)
async def test_engine_acknowledges_an_order(response: bytes) -> None:
    answer = await forward_order(response)
    assert answer.verdict == orders.Verdict.PASSED
    assert answer.status == 200
