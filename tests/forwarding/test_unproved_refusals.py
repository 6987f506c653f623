"""Statuses with which an upstream says, with or without proof, "not run"."""

import http

import pytest

from cranberryrill import failures
from tests.forwarding import test_broken_answers as broken

UNPROVED_STATUSES = (
    http.HTTPStatus.REQUEST_TIMEOUT,
    http.HTTPStatus.TOO_MANY_REQUESTS,
    http.HTTPStatus.SERVICE_UNAVAILABLE,
)
BODIES = (
    pytest.param(b'Content-Length: 2\r\n\r\nno', id='length'),
    pytest.param(
        b'Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n', id='chunks'
    ),
    pytest.param(b'\r\nno', id='no length'),
    pytest.param(
        b'Content-Length: %d\r\n\r\n%s' % (len(broken.LARGE), broken.LARGE),
        id='more than is buffered',
    ),
    pytest.param(
        b'Content-Type: text/event-stream\r\n\r\n%s' % broken.FIRST_EVENT,
        id='events',
    ),
)


def answer(status: int, rest: bytes) -> bytes:
    """Return an upstream's own, signed response with a status."""
    reason = http.HTTPStatus(status).phrase.encode()
    return (
        b'HTTP/1.1 %d %s\r\nX-Attempt-Id: a1\r\nX-Upstream-Signature: s\r\n%s'
        % (status, reason, rest)
    )


def busy(headers: bytes = b'') -> bytes:
    """Return a response with status 503."""
    return answer(503, b'%sContent-Length: 0\r\n\r\n' % headers)


def assert_no_promise(caller_reply: broken.Reply) -> None:
    """Assert that the caller got nothing of the upstream, and no promise."""
    assert not caller_reply.started
    assert isinstance(caller_reply.refusal, failures.UpstreamFailed)
    assert caller_reply.refusal.status not in failures.NOT_RUN_STATUSES
    assert caller_reply.refusal.ran is not failures.Ran.no


@pytest.mark.parametrize('streams', [False, True])
@pytest.mark.parametrize('rest', BODIES)
@pytest.mark.parametrize('status', UNPROVED_STATUSES)
async def test_status_without_proof_is_not_passed_on(
    status: int, rest: bytes, streams: bool
) -> None:
    # Guards against a caller that repeats what has run, as the status allows.
    ended, caller_reply, upstreams = await broken.deliver(
        answer(status, rest), broken.PLAIN, streams=streams, repeatable=False
    )
    assert_no_promise(caller_reply)
    assert [upstream.requests for upstream in upstreams] == [1, 0]
    assert ended.outcome == 'upstream_failed'
    # The upstream may have run it, so it counts as used.
    assert ended.start_counted


async def test_repeat_that_ends_without_proof_is_not_passed_on() -> None:
    # Guards against a promise by the last of several attempts.
    error = broken.ERROR % (2, b'no')
    _, caller_reply, upstreams = await broken.deliver(error, busy())
    assert [upstream.requests for upstream in upstreams] == [1, 1]
    assert_no_promise(caller_reply)


async def test_proof_of_a_later_upstream_is_none_for_an_earlier_one() -> None:
    # Guards against a promise for the one attempt that is proved.
    _, caller_reply, upstreams = await broken.deliver(
        busy(), busy(b'X-Not-Executed: 1\r\n')
    )
    assert [upstream.requests for upstream in upstreams] == [1, 1]
    assert_no_promise(caller_reply)


async def test_repeatable_request_is_tried_again_after_no_proof() -> None:
    _, caller_reply, upstreams = await broken.deliver(busy(), broken.PLAIN)
    assert [upstream.requests for upstream in upstreams] == [1, 1]
    assert (caller_reply.status, caller_reply.body) == (200, b'ok')


@pytest.mark.parametrize('streams', [False, True])
@pytest.mark.parametrize('status', sorted(failures.NOT_RUN_STATUSES))
async def test_proved_rejection_is_tried_at_another_upstream(
    status: int, streams: bool
) -> None:
    rejection = answer(
        status, b'X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'
    )
    _, caller_reply, upstreams = await broken.deliver(
        rejection, rejection, streams=streams, repeatable=False
    )
    assert [upstream.requests for upstream in upstreams] == [1, 1]
    assert isinstance(caller_reply.refusal, failures.NoUpstream)
    assert caller_reply.refusal.ran is failures.Ran.no


async def test_other_failures_are_passed_on_unchanged() -> None:
    _, caller_reply, _ = await broken.deliver(
        broken.ERROR % (2, b'no'), repeatable=False
    )
    assert (caller_reply.status, caller_reply.body) == (500, b'no')
    assert ('X-Upstream-Signature', 's') in caller_reply.headers
