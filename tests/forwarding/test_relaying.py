"""Streams that end inside an event are never passed on as complete."""

import asyncio

import pytest

from cranberryrill import clock
from cranberryrill.forwarding import (
    attempts,
    curl_multi,
    events,
    exchange,
    relaying,
    upstream_request,
)
from cranberryrill.settings import response_limits
from tests.forwarding import conftest

HEAD = b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
EVENT = b'id: 1\ndata: piece\n\n'
CUT_EVENT = b'id: 2\ndata: pie'
MAX_EVENT_BYTES = 1000


class CollectingReply:
    """Reply that collects what the caller receives."""

    def __init__(self) -> None:
        self.started = False
        self.finished = False
        self.received = b''

    async def start(self, status: int, headers: object, content: bytes) -> None:
        self.started = True
        self.received += content

    async def write(self, content: bytes) -> None:
        self.received += content

    def finish(self) -> None:
        self.finished = True


def chunked(*parts: bytes) -> bytes:
    chunks = b''.join(b'%x\r\n%s\r\n' % (len(part), part) for part in parts)
    return b'%sTransfer-Encoding: chunked\r\n\r\n%s0\r\n\r\n' % (HEAD, chunks)


def with_length(content: bytes) -> bytes:
    return b'%sContent-Length: %d\r\n\r\n%s' % (HEAD, len(content), content)


def unframed(content: bytes) -> bytes:
    return b'%s\r\n%s' % (HEAD, content)


async def relay(
    content: bytes,
) -> tuple[attempts.Failed | None, CollectingReply]:
    async def respond(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(content)
        writer.close()

    server = await asyncio.start_server(respond, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    call = exchange.Exchange(
        upstream_request.OutgoingRequest(
            '127.0.0.1', port, 'GET', '/', (), b''
        ),
        curl_multi.Driver(),
        response_limits.ResponseLimits(),
        conftest.make_buffers(),
    )
    call.start()
    collected = CollectingReply()
    response_relay = relaying.ResponseRelay(
        call,
        collected,  # type: ignore[arg-type]
        events.EventBuffer(),
        clock.monotonic_seconds() + 5,
    )
    while not call.has_head:
        assert await response_relay.wait()
    failed = await response_relay.relay_events(MAX_EVENT_BYTES)
    server.close()
    return failed, collected


@pytest.mark.parametrize(
    'content',
    [
        pytest.param(chunked(EVENT, CUT_EVENT), id='chunked'),
        pytest.param(with_length(EVENT + CUT_EVENT), id='with a length'),
        pytest.param(unframed(EVENT + CUT_EVENT), id='ended by its connection'),
    ],
)
async def test_stream_that_ends_inside_an_event_is_broken_off(
    content: bytes,
) -> None:
    failed, collected = await relay(content)
    assert failed is not None
    assert not collected.finished
    assert collected.received == EVENT


@pytest.mark.parametrize(
    'content',
    [
        pytest.param(chunked(EVENT, EVENT), id='chunked'),
        pytest.param(with_length(EVENT + EVENT), id='with a length'),
        pytest.param(unframed(EVENT + EVENT), id='ended by its connection'),
        pytest.param(chunked(EVENT[:5], EVENT[5:], EVENT), id='in pieces'),
    ],
)
async def test_stream_of_whole_events_is_complete(content: bytes) -> None:
    failed, collected = await relay(content)
    assert failed is None
    assert collected.finished
    assert collected.received == EVENT + EVENT
