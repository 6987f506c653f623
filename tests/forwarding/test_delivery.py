"""What a delivery learns from the heads of responses, and what it refuses."""

import typing

import pytest

from cranberryrill import clock, failures
from cranberryrill.forwarding import attempts, caller_request, delivery
from cranberryrill.quarantine import records
from tests.forwarding import conftest, test_endless_responses as scripted

LIMITED = b'%sX-Upstream-Limit: 2.5\r\n' % scripted.HEAD
BODY = b'Content-Length: 2\r\n\r\nok'
FOREIGN = b'HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n'
REPLACED = b'HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: a1\r\n'


async def deliver_after_limit(start: bytes) -> float | None:
    """Return the limit of an upstream that named one before this response."""
    upstream = scripted.Upstream(start + BODY, b'')
    await upstream.listen()
    context = scripted.OneUpstreamContext(upstream.port)
    context.upstream.allowance.record_named(7, 1)
    request_delivery = delivery.Delivery(
        scripted.make_admitted(streams=False),
        typing.cast(typing.Any, scripted.RecordingReply(0)),
        typing.cast(attempts.DeliveryContext, context),
    )
    await request_delivery.run()
    return context.upstream.allowance.per_second


@pytest.mark.parametrize(
    ('start', 'limit'),
    [
        pytest.param(LIMITED, 2.5, id='names another'),
        pytest.param(scripted.HEAD, None, id='names none'),
        pytest.param(FOREIGN, 7, id='of another request'),
        pytest.param(REPLACED, 7, id='of another upstream'),
    ],
)
async def test_own_responses_decide_whether_a_limit_holds(
    start: bytes, limit: float | None
) -> None:
    assert await deliver_after_limit(start) == limit


async def test_quarantined_prompt_is_refused_before_any_dispatch() -> None:
    context = scripted.OneUpstreamContext(1)
    evidence = context.crash_tracker.evidence
    for number in range(evidence.limits.crashes):
        crash = records.Crash(f'u{number}@1', number, 0)
        evidence.record_crash('fatal', crash)
    evidence.quarantine(9)
    admitted = scripted.make_admitted(streams=False)
    metadata = caller_request.Metadata(
        'a1',
        '',
        None,
        parts=(
            caller_request.PromptPart('fatal', 10),
            caller_request.PromptPart('own', 10),
        ),
    )
    caller_reply = scripted.RecordingReply(0)
    request_delivery = delivery.Delivery(
        conftest.with_metadata(admitted, metadata),
        typing.cast(typing.Any, caller_reply),
        typing.cast(attempts.DeliveryContext, context),
    )
    await request_delivery.run()
    assert isinstance(caller_reply.refusal, failures.PromptQuarantined)
    assert caller_reply.refusal.ran is failures.Ran.no
    assert request_delivery.attempt_count == 0
    assert context.upstream.allowance.sent == 0


REJECTED = b'HTTP/1.1 503 Busy\r\nX-Attempt-Id: a1\r\nX-Not-Executed: 1\r\n'
FAILED = b'HTTP/1.1 500 Error\r\nX-Attempt-Id: a1\r\n'
STREAM = b'%sContent-Type: text/event-stream\r\n' % scripted.HEAD
LEAVING = b'X-Upstream-Leaving: 1\r\n'


@pytest.mark.parametrize('streams', [False, True])
@pytest.mark.parametrize(
    ('start', 'is_leaving'),
    [
        pytest.param(scripted.HEAD + LEAVING, True, id='success'),
        pytest.param(STREAM + LEAVING, True, id='stream'),
        pytest.param(REJECTED + LEAVING, True, id='refusal'),
        pytest.param(FAILED + LEAVING, True, id='error'),
        pytest.param(scripted.HEAD, False, id='none'),
        pytest.param(
            b'%sX-Upstream-Leaving: 0\r\n' % scripted.HEAD, False, id='not so'
        ),
        pytest.param(FOREIGN + LEAVING, False, id='of another request'),
        pytest.param(REPLACED + LEAVING, False, id='of another upstream'),
    ],
)
async def test_each_own_response_may_say_that_the_upstream_leaves(
    start: bytes, *, is_leaving: bool, streams: bool
) -> None:
    # Failed when nothing read the header.
    upstream = scripted.Upstream(start + BODY, b'')
    await upstream.listen()
    context = scripted.OneUpstreamContext(upstream.port)
    caller_reply = scripted.RecordingReply(0)
    request_delivery = delivery.Delivery(
        scripted.make_admitted(streams=streams),
        typing.cast(typing.Any, caller_reply),
        typing.cast(attempts.DeliveryContext, context),
    )
    await request_delivery.run()
    assert context.upstream.avoidance.is_leaving is is_leaving
    names = {name.lower() for name, _ in caller_reply.headers}
    assert context.names.leaving not in names


PAUSE = b'Retry-After: 2.5\r\n'
BUSY = b'HTTP/1.1 503 Busy\r\nX-Attempt-Id: a1\r\n'


@pytest.mark.parametrize(
    ('start', 'is_paused'),
    [
        pytest.param(REJECTED + PAUSE, True, id='not run'),
        pytest.param(BUSY + PAUSE, True, id='may have run'),
        pytest.param(REJECTED, False, id='without a time'),
        pytest.param(b'%sRetry-After: 0\r\n' % REJECTED, False, id='no time'),
        pytest.param(FAILED + PAUSE, False, id='another status'),
        pytest.param(
            BUSY.replace(b'a1', b'other') + PAUSE,
            False,
            id='of another request',
        ),
    ],
)
async def test_refusal_with_a_time_pauses_the_upstream(
    start: bytes, *, is_paused: bool
) -> None:
    # Failed when no decision read the header.
    upstream = scripted.Upstream(start + BODY, b'')
    await upstream.listen()
    context = scripted.OneUpstreamContext(upstream.port)
    request_delivery = delivery.Delivery(
        scripted.make_admitted(streams=False),
        typing.cast(typing.Any, scripted.RecordingReply(0)),
        typing.cast(attempts.DeliveryContext, context),
    )
    await request_delivery.run()
    now = clock.monotonic_seconds()
    assert bool(context.upstream.avoidance.pause_seconds(now)) is is_paused
    # A pause is no failure of the upstream, and no evidence of a crash.
    if is_paused:
        assert not context.upstream.failure_rate(now)
        assert not context.crash_tracker.losses
