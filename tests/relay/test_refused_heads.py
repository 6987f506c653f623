"""Heads of an upstream that are not passed on: refusals, and no statuses."""

import pytest

from cranberryrill import failures
from cranberryrill.relay import relay_pb2
from tests.relay import test_upstream as scripted


@pytest.mark.parametrize('streamed', [False, True])
@pytest.mark.parametrize(
    ('proof', 'ran'),
    [
        (b'', relay_pb2.Ran.UNKNOWN),
        (b'X-Not-Executed: 1\r\n', relay_pb2.Ran.NO),
    ],
    ids=['no proof', 'proof'],
)
@pytest.mark.parametrize('status', sorted(failures.NOT_RUN_STATUSES))
async def test_refusal_of_an_upstream_is_not_passed_on(
    status: int, proof: bytes, ran: relay_pb2.Ran, streamed: bool
) -> None:
    # Guards against a status that callers take for the router's "not run".
    script = b'HTTP/1.1 %d Busy\r\n%sContent-Length: 4\r\n\r\nbusy'
    answer, _ = await scripted.run(script % (status, proof), streamed=streamed)
    assert answer.head is None
    assert isinstance(answer.end, relay_pb2.Failed)
    assert answer.end.ran == ran
    assert str(status) in answer.end.message


async def test_proof_of_no_execution_is_read_with_any_status() -> None:
    answer, _ = await scripted.run(
        b'HTTP/1.1 400 Bad\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'
    )
    assert isinstance(answer.end, relay_pb2.Failed)
    assert answer.end.ran == relay_pb2.Ran.NO


@pytest.mark.parametrize(
    'status', [b'000', b'600', b'999', b'2000', b'0200', b'20', b'']
)
async def test_head_without_a_status_is_no_answer(status: bytes) -> None:
    # Guards against a number that is no status and reaches callers as one.
    answer, _ = await scripted.run(
        b'HTTP/1.1 %s OK\r\nContent-Length: 2\r\n\r\nok' % status
    )
    assert answer.head is None
    assert isinstance(answer.end, relay_pb2.Failed)
    assert answer.end.ran == relay_pb2.Ran.UNKNOWN
