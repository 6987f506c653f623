"""Bound bytes without end from a caller; serve other callers meanwhile."""

import asyncio
import contextlib
import gc
import tracemalloc
import typing

import pytest
from tornado import testing

from cranberryrill.forwarding import caller_request, forwarder, reply, server
from cranberryrill.limits import body_budget
from cranberryrill.traffic import document

LIMITS = document.CallerLimits(
    header_bytes=16_384, body_bytes=200_000, idle_timeout_ms=1_000
)
SOUND_REQUEST = b'GET /x HTTP/1.1\r\nHost: a\r\n\r\n'
POST = b'POST /x HTTP/1.1\r\nHost: a\r\n'
CHUNK = b'1000\r\n%s\r\n' % (b'x' * 0x1000)
# The idle time-out, and the time that a busy machine may need beyond it.
LATEST_SECONDS = 2.5
MAX_GROWTH_BYTES = 2_000_000


class CountingForwarder:
    """Forwarder that answers at once and counts the requests."""

    def __init__(self) -> None:
        self.paths: list[str] = []

    async def serve(
        self, request: caller_request.Request, caller_reply: reply.Reply
    ) -> None:
        self.paths.append(request.path)
        await caller_reply.send_full(200, [], b'done')


async def send_until_closed(port: int, start: bytes, part: bytes) -> None:
    """Send a start, then a part again and again; return once closed."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    with contextlib.suppress(ConnectionError):
        writer.write(start)
        while not reader.at_eof():
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(0)
    writer.close()


@pytest.mark.parametrize(
    ('start', 'part'),
    [
        pytest.param(b'GET /x HTTP/1.1\r\n', b'X-More: z\r\n', id='headers'),
        pytest.param(b'GET /', b'x' * 4096, id='a line'),
        pytest.param(b'', b'no request ' * 99, id='no HTTP'),
        pytest.param(
            b'%sTransfer-Encoding: chunked\r\n\r\n' % POST, CHUNK, id='chunked'
        ),
        pytest.param(
            b'%sContent-Length: 999999999\r\n\r\n' % POST, CHUNK, id='a length'
        ),
    ],
)
async def test_caller_that_sends_without_end_is_cut_off(
    start: bytes, part: bytes
) -> None:
    counting = CountingForwarder()
    callers = server.CallerServer(
        typing.cast(forwarder.Forwarder, counting),
        body_budget.BodyBudget(LIMITS.body_bytes * 4),
    )
    http_server = server.make_server(callers, LIMITS)
    bound, port = testing.bind_unused_port()
    http_server.add_socket(bound)
    tracemalloc.start()
    async with asyncio.timeout(LATEST_SECONDS):
        endless = asyncio.create_task(send_until_closed(port, start, part))
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(SOUND_REQUEST)
        assert (await reader.readuntil(b'done')).startswith(b'HTTP/1.1 200')
        await endless
    assert counting.paths == ['/x']
    assert tracemalloc.get_traced_memory()[1] < MAX_GROWTH_BYTES
    gc.collect()
    tracemalloc.stop()
    writer.close()
    http_server.stop()


async def test_body_that_trickles_is_cut_off() -> None:
    counting = CountingForwarder()
    callers = server.CallerServer(
        typing.cast(forwarder.Forwarder, counting),
        body_budget.BodyBudget(LIMITS.body_bytes * 4),
    )
    http_server = server.make_server(callers, LIMITS)
    bound, port = testing.bind_unused_port()
    http_server.add_socket(bound)
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(b'%sContent-Length: 100000\r\n\r\n' % POST)
    # The close is a reset, as bytes are unread then: a read never sees an end.
    async with asyncio.timeout(LATEST_SECONDS):
        with contextlib.suppress(ConnectionError):
            while not reader.at_eof():
                writer.write(b'x')
                await writer.drain()
                await asyncio.sleep(0.01)
    assert not counting.paths
    writer.close()
    http_server.stop()
