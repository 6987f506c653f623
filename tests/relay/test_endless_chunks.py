"""Extensions and trailers of chunks without end are bounded."""

import pytest

from cranberryrill.relay import relay_pb2
from cranberryrill.settings import response_limits
from tests.relay import test_upstream as scripted

CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
LIMITS = response_limits.ResponseLimits(head_bytes=20_000)


@pytest.mark.parametrize(
    ('start', 'part'),
    [
        pytest.param(CHUNKED, b'1;a=bcd\r\nx\r\n', id='extensions'),
        pytest.param(b'%s0\r\n' % CHUNKED, b'X-More: z\r\n', id='trailer'),
    ],
)
async def test_metadata_of_chunks_without_end_fails_the_answer(
    start: bytes, part: bytes
) -> None:
    server = scripted.EndlessServer(start, part)
    call = relay_pb2.Call(method='POST', path='/x')
    answer = await scripted.send(server.port, call, LIMITS)
    server.listener.close()
    assert isinstance(answer.end, relay_pb2.Failed)
    assert 'a head of over 20000 bytes' in answer.end.message
    assert server.closed.wait(scripted.RUN_SECONDS)
