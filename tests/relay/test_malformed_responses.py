"""Responses that aren't HTTP fail the answer, and promise nothing."""

import pytest

from cranberryrill.relay import relay_pb2
from tests import response_cases
from tests.relay import test_upstream as scripted

MALFORMED = response_cases.MALFORMED_HEADS
# An agent takes no body for whole that ends with its connection.
UNFRAMED = 'end of the connection'
SOUND = {
    name: case
    for name, case in response_cases.SOUND_HEADS.items()
    if name != UNFRAMED
}
SOUND.update(response_cases.SOUND_CHUNKS)
CHUNKS = response_cases.MALFORMED_CHUNKS
EVENT_STREAM = b'Content-Type: text/event-stream\r\n'
# A body of as many bytes that is a whole event.
EVENT = b'data: [DONE] \n\n\n'


def event_stream(case: response_cases.Case) -> bytes:
    """Return the response of a case as a stream of one event."""
    return case.with_body(EVENT).response(EVENT_STREAM)


@pytest.mark.parametrize('case', MALFORMED.values(), ids=MALFORMED.keys())
@pytest.mark.parametrize('streamed', [False, True])
async def test_malformed_head_is_no_answer(
    case: response_cases.Case, streamed: bool
) -> None:
    script = event_stream(case) if streamed else case.response()
    answer, _ = await scripted.run(script, streamed=streamed)
    assert answer.head is None
    assert answer.length() == 0
    assert isinstance(answer.end, relay_pb2.Failed)
    assert answer.end.ran != relay_pb2.Ran.NO


@pytest.mark.parametrize('case', CHUNKS.values(), ids=CHUNKS.keys())
@pytest.mark.parametrize('streamed', [False, True])
async def test_malformed_chunks_are_no_complete_body(
    case: response_cases.Case, streamed: bool
) -> None:
    script = event_stream(case) if streamed else case.response()
    answer, _ = await scripted.run(script, streamed=streamed)
    assert isinstance(answer.end, relay_pb2.Failed)
    assert answer.end.ran != relay_pb2.Ran.NO
    body = EVENT if streamed else response_cases.BODY
    assert body.startswith(answer.content)


@pytest.mark.parametrize('case', SOUND.values(), ids=SOUND.keys())
@pytest.mark.parametrize('streamed', [False, True])
async def test_sound_response_is_passed_on(
    case: response_cases.Case, streamed: bool
) -> None:
    script = event_stream(case) if streamed else case.response()
    body = EVENT if streamed else response_cases.BODY
    answer, _ = await scripted.run(script, streamed=streamed)
    assert answer.head is not None
    assert answer.head.status == 200
    assert answer.content == body
    assert isinstance(answer.end, relay_pb2.Final)


@pytest.mark.parametrize(
    'sent',
    [
        b'',
        b'X-Not-Executed: 1\r\n',
        b'X-Not-Executed: 1\r\nContent-Length : 0\r\n\r\n',
    ],
    ids=['status line', 'field', 'malformed'],
)
async def test_refusal_is_proved_by_a_whole_head_alone(sent: bytes) -> None:
    # Guards against a "not executed" that stands in no response.
    answer, _ = await scripted.run(b'HTTP/1.1 503 Busy\r\n%s' % sent)
    assert isinstance(answer.end, relay_pb2.Failed)
    assert answer.end.ran == relay_pb2.Ran.UNKNOWN
