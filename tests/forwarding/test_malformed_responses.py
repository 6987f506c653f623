"""Responses that aren't HTTP never reach a caller as complete."""

import pytest

from cranberryrill import failures
from tests import response_cases
from tests.forwarding import test_broken_answers as broken

IDENTITY = b'X-Attempt-Id: a1\r\nX-Upstream-Signature: s\r\n'
STREAM_IDENTITY = b'%sContent-Type: text/event-stream\r\n' % IDENTITY
# A body of as many bytes that is a whole event.
EVENT = b'id: 1\ndata: yz\n\n'
MALFORMED = response_cases.MALFORMED_HEADS
CHUNKS = response_cases.MALFORMED_CHUNKS
SOUND = {**response_cases.SOUND_HEADS, **response_cases.SOUND_CHUNKS}


def event_stream(case: response_cases.Case) -> bytes:
    """Return the response of a case as a stream of one event."""
    return case.with_body(EVENT).response(STREAM_IDENTITY)


@pytest.mark.parametrize('case', MALFORMED.values(), ids=MALFORMED.keys())
@pytest.mark.parametrize('streams', [False, True])
async def test_malformed_head_is_no_answer(
    case: response_cases.Case, streams: bool
) -> None:
    # Guards against a body that seems to end with the connection.
    answer = event_stream(case) if streams else case.response(IDENTITY)
    _, caller_reply, upstreams = await broken.deliver(
        answer, broken.PLAIN, streams=streams, repeatable=False
    )
    assert not caller_reply.started
    assert isinstance(caller_reply.refusal, failures.UpstreamFailed)
    assert caller_reply.refusal.ran is failures.Ran.unknown
    # The request may have run, so it is not sent again.
    assert upstreams[1].requests == 0


async def test_malformed_head_is_no_sign_of_an_end() -> None:
    answer = MALFORMED['blank after length'].response(IDENTITY)
    ended, _, _ = await broken.deliver(answer)
    assert ended.lost_connections == 0


@pytest.mark.parametrize('case', CHUNKS.values(), ids=CHUNKS.keys())
@pytest.mark.parametrize('streams', [False, True])
async def test_malformed_chunks_are_no_complete_body(
    case: response_cases.Case, streams: bool
) -> None:
    answer = event_stream(case) if streams else case.response(IDENTITY)
    _, caller_reply, upstreams = await broken.deliver(
        answer, broken.PLAIN, streams=streams, repeatable=False
    )
    assert not caller_reply.finished
    assert caller_reply.body in {b'', EVENT}
    assert upstreams[1].requests == 0
    if not caller_reply.started:
        assert isinstance(caller_reply.refusal, failures.UpstreamFailed)
        assert caller_reply.refusal.ran is failures.Ran.unknown


@pytest.mark.parametrize('case', SOUND.values(), ids=SOUND.keys())
@pytest.mark.parametrize('streams', [False, True])
async def test_sound_response_is_passed_on(
    case: response_cases.Case, streams: bool
) -> None:
    body = EVENT if streams else response_cases.BODY
    answer = event_stream(case) if streams else case.response(IDENTITY)
    _, caller_reply, _ = await broken.deliver(
        answer, streams=streams, repeatable=False
    )
    assert caller_reply.status == 200
    assert caller_reply.body == body
    assert caller_reply.finished
