"""Extensions and trailers of chunks without end are bounded."""

import pytest

from cranberryrill import failures
from tests.forwarding import test_endless_responses as scripted


@pytest.mark.parametrize(
    ('start', 'part'),
    [
        pytest.param(b'', b'1;a="%s"\r\nx\r\n' % (b'b' * 99), id='extensions'),
        pytest.param(b'0\r\n', b'X-More: %s\r\n' % (b'z' * 99), id='trailer'),
    ],
)
@pytest.mark.parametrize('streams', [False, True])
async def test_metadata_of_chunks_without_end_fails_the_request(
    start: bytes,
    part: bytes,
    *,
    streams: bool,
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level('INFO')
    ended, caller_reply = await scripted.deliver(
        scripted.Upstream(scripted.CHUNKED + start, part), streams=streams
    )
    assert isinstance(caller_reply.refusal, failures.UpstreamFailed)
    assert ended.outcome == failures.UpstreamFailed.code
    assert scripted.failure_causes(caplog) == ['a head of over 20000 bytes']
