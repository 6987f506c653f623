"""An agent heeds what its upstream asks for in its responses."""

import asyncio

import pytest

from cranberryrill import clock, response_reader
from cranberryrill.relay import (
    answers,
    relay_pb2,
    request_ids,
    requested_absence,
    response_head,
    upstream,
)
from cranberryrill.settings import schema
from tests.relay import test_service

NOW = 100.0


def read_head(*lines: bytes) -> response_head.ResponseHead:
    reader = response_reader.ResponseReader('POST')
    for line in (*lines, b''):
        reader.read_line(b'%s\r\n' % line)
    assert reader.head is not None
    return response_head.from_response(reader.head)


def make_absence() -> requested_absence.RequestedAbsence:
    return requested_absence.RequestedAbsence('desk', 4)


@pytest.mark.parametrize(
    'status', [b'HTTP/1.1 200 OK', b'HTTP/1.1 500 Error', b'HTTP/1.1 503 Busy']
)
def test_any_response_may_say_that_the_upstream_leaves(status: bytes) -> None:
    # Failed when nothing read the header.
    absence = make_absence()
    absence.record_head(read_head(status, b'X-Upstream-Leaving: 1'), NOW)
    assert absence.is_leaving(NOW + 1)


def test_interim_heads_and_trailers_say_nothing() -> None:
    absence = make_absence()
    head = read_head(
        b'HTTP/1.1 103 Early Hints',
        b'X-Upstream-Leaving: 1',
        b'',
        b'HTTP/1.1 200 OK',
    )
    absence.record_head(head, NOW)
    assert not absence.is_leaving(NOW)


def test_next_start_is_tried_after_a_time() -> None:
    absence = make_absence()
    leaving = read_head(b'HTTP/1.1 200 OK', b'X-Upstream-Leaving: 1')
    absence.record_head(leaving, NOW)
    later = NOW + requested_absence.LEAVING_HOLD_SECONDS
    assert absence.is_leaving(later - 1)
    assert not absence.is_leaving(later)
    absence.record_sent(later)
    absence.record_head(leaving, later)
    assert absence.is_leaving(later + 1)


@pytest.mark.parametrize(
    ('named', 'seconds'), [(b'1.5', 1.5), (b'-1', 1), (b'soon', 1), (b'0', 0)]
)
def test_refusal_with_a_time_pauses(named: bytes, seconds: float) -> None:
    # Failed when nothing read the header.
    absence = make_absence()
    head = read_head(b'HTTP/1.1 503 Busy', b'Retry-After: %s' % named)
    absence.record_head(head, NOW)
    wait = absence.wait_seconds(NOW)
    assert seconds <= wait <= 1.2 * seconds
    other = read_head(b'HTTP/1.1 500 Error', b'Retry-After: 9')
    absence.record_head(other, NOW)
    assert absence.wait_seconds(NOW) == pytest.approx(wait)


async def call_agent(
    agent: test_service.Agent, timeout_ms: int = 4000
) -> relay_pb2.Downward:
    request_id = request_ids.RequestIdGenerator().new_request_id()
    received = await test_service.send_call(
        agent, request_id, timeout_ms=timeout_ms
    )
    return received[-1]


async def test_agent_refuses_for_an_upstream_that_leaves() -> None:
    agent = test_service.Agent()
    now = clock.monotonic_seconds()
    head = read_head(b'HTTP/1.1 200 OK', b'X-Upstream-Leaving: 1')
    agent.target.absence.record_head(head, now)
    assert agent.service.is_leaving(now)
    refused = await call_agent(agent)
    assert refused.refused.code == 'leaving'
    assert not agent.target.calls


async def test_request_waits_for_the_end_of_a_short_pause() -> None:
    agent = test_service.Agent()
    agent.target.may_answer.set()
    now = clock.monotonic_seconds()
    head = read_head(b'HTTP/1.1 503 Busy', b'Retry-After: 0.3')
    agent.target.absence.record_head(head, now)
    calling = asyncio.create_task(call_agent(agent))
    await asyncio.sleep(0.2)
    assert not agent.target.calls
    answered = await calling
    assert answered.HasField('final')
    assert len(agent.target.calls) == 1


async def test_request_is_refused_in_a_long_pause_with_its_end() -> None:
    agent = test_service.Agent()
    now = clock.monotonic_seconds()
    head = read_head(b'HTTP/1.1 503 Busy', b'Retry-After: 5')
    agent.target.absence.record_head(head, now)
    refused = await call_agent(agent)
    assert refused.refused.code == 'paused'
    assert refused.refused.retry_after_ms > 4500
    assert not agent.target.calls


async def test_request_that_waits_in_a_pause_ends_at_its_deadline() -> None:
    agent = test_service.Agent()
    now = clock.monotonic_seconds()
    head = read_head(b'HTTP/1.1 503 Busy', b'Retry-After: 0.2')
    agent.target.absence.record_head(head, now)
    calling = asyncio.create_task(call_agent(agent, timeout_ms=800))
    await asyncio.sleep(0.1)
    # Another request was turned away meanwhile, for longer.
    agent.target.absence.avoidance.record_pause(9, now)
    ended = await calling
    assert ended.failed.ran == relay_pb2.Ran.NO
    assert not agent.target.calls


async def test_heads_of_the_upstream_are_recorded() -> None:
    async def respond(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(
            b'HTTP/1.1 503 Busy\r\nX-Upstream-Leaving: 1\r\n'
            b'Retry-After: 2\r\nContent-Length: 0\r\n\r\n',
        )
        writer.close()

    server = await asyncio.start_server(respond, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    client = upstream.Upstream(
        schema.UpstreamSettings(
            base_url=f'http://127.0.0.1:{port}', target='desk'
        ),
    )
    call = relay_pb2.Call(method='GET', path='/x')
    answer = answers.Answer('req-1', call, clock.monotonic_seconds())
    await client.run(call, answer, asyncio.Event())
    client.close()
    now = clock.monotonic_seconds()
    assert client.absence.is_leaving(now)
    assert client.absence.wait_seconds(now) > 1
