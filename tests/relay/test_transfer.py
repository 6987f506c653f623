"""An exchange handles preemption, deadlines and silence of the upstream."""

import asyncio

import pytest

from cranberryrill.limits import buffer_budget
from cranberryrill.relay import answers, relay_pb2, transfer
from cranberryrill.settings import response_limits

LIMITS = response_limits.ResponseLimits()
BUFFERS = buffer_budget.BufferBudget(LIMITS.total_bytes)
BODY = b'{"choices": []}'
EVENT = b'data: {"choices": [1]}\n\n'


def start_exchange(
    content_type: str,
    streamed: bool,
) -> tuple[transfer.Transfer, asyncio.Event]:
    """Return an exchange whose upstream has sent its head, and its event.

    The event preempts the exchange when set.
    """
    call = relay_pb2.Call(is_model=True, idempotent=True, streamed=streamed)
    answer = answers.Answer('req-1', call, 0)
    preempted = asyncio.Event()
    exchange = transfer.Transfer(call, answer, preempted, LIMITS, BUFFERS, 0)
    exchange.on_header(b'HTTP/1.1 200 OK\r\n')
    exchange.on_header(f'Content-Type: {content_type}\r\n'.encode())
    exchange.on_header(b'Content-Length: 15\r\n')
    exchange.on_header(b'\r\n')
    return exchange, preempted


def test_unstreamed_answer_is_not_preempted_once_it_arrives() -> None:
    exchange, preempted = start_exchange('application/json', streamed=False)
    exchange.on_content(BODY[:5])
    preempted.set()
    assert exchange.on_content(BODY[5:]) == len(BODY) - 5
    exchange.finish(1)
    assert bytes(exchange.answer.content) == BODY
    assert isinstance(exchange.answer.end, relay_pb2.Final)


@pytest.mark.parametrize('partial_bytes', [0, 10])
def test_preempted_stream_ends_with_a_whole_event(partial_bytes: int) -> None:
    exchange, preempted = start_exchange('text/event-stream', streamed=True)
    exchange.on_content(EVENT + EVENT[:partial_bytes])
    preempted.set()
    assert exchange.on_content(EVENT[partial_bytes:]) == 0
    exchange.fail(ConnectionError(), 1)
    assert bytes(exchange.answer.content) == EVENT
    assert exchange.answer.end is None


def silent_exchange(*, is_model: bool, timeout_ms: int) -> transfer.Transfer:
    call = relay_pb2.Call(
        is_model=is_model,
        claimed=True,
        timeout_ms=timeout_ms,
    )
    answer = answers.Answer('req-1', call, 0)
    return transfer.Transfer(call, answer, asyncio.Event(), LIMITS, BUFFERS, 0)


def test_silent_service_is_aborted_at_the_deadline() -> None:
    exchange = silent_exchange(is_model=False, timeout_ms=3000)
    assert exchange.headers(1)['X-Request-Timeout-Ms'] == '2000'
    exchange.check(2.9)
    assert exchange.answer.end is None
    exchange.check(3)
    failure = exchange.answer.end
    assert isinstance(failure, relay_pb2.Failed)
    assert failure.code == answers.TIMED_OUT
    # The service may have run the request although it sent nothing.
    assert failure.ran == relay_pb2.Ran.UNKNOWN


def test_model_may_be_silent_before_its_head() -> None:
    exchange = silent_exchange(is_model=True, timeout_ms=600_000)
    exchange.check(60)
    assert exchange.answer.end is None


def test_stream_that_ends_inside_an_event_is_broken_off() -> None:
    exchange, _ = start_exchange('text/event-stream', streamed=True)
    exchange.on_content(EVENT + EVENT[:10])
    exchange.finish(1)
    assert bytes(exchange.answer.content) == EVENT
    assert isinstance(exchange.answer.end, relay_pb2.Failed)


@pytest.mark.parametrize(
    'head',
    [
        (b'HTTP/1.1 500 Internal Server Error\r\n', b'text/event-stream'),
        (b'HTTP/1.1 200 OK\r\n', b'application/json'),
        (b'HTTP/1.1 200 OK\r\n', b''),
    ],
    ids=['error', 'another type', 'no type'],
)
@pytest.mark.parametrize('body', [BODY, BODY * 100_000, b''])
def test_only_events_follow_a_stream_that_has_begun(
    head: tuple[bytes, bytes], body: bytes
) -> None:
    begun, preempted = start_exchange('text/event-stream', streamed=True)
    begun.on_content(EVENT)
    resumed = transfer.Transfer(
        begun.call, begun.answer, asyncio.Event(), LIMITS, BUFFERS, 1
    )
    status_line, content_type = head
    resumed.on_header(status_line)
    if content_type:
        resumed.on_header(b'Content-Type: %s\r\n' % content_type)
    resumed.on_header(b'Content-Length: %d\r\n' % len(body))
    resumed.on_header(b'\r\n')
    if body:
        resumed.on_content(body)
    resumed.finish(1)
    assert bytes(begun.answer.content) == EVENT
    assert isinstance(begun.answer.end, relay_pb2.Failed)


def test_answers_without_end_are_bounded_together() -> None:
    # Failed when each answer had a limit and all together had none.
    buffers = buffer_budget.BufferBudget(100_000)
    transfers = []
    for number in range(20):
        call = relay_pb2.Call(is_model=True, idempotent=True, streamed=True)
        answer = answers.Answer(f'req-{number}', call, 0)
        endless = transfer.Transfer(
            call, answer, asyncio.Event(), LIMITS, buffers, 0
        )
        endless.on_header(b'HTTP/1.1 200 OK\r\n')
        endless.on_header(b'Content-Type: text/event-stream\r\n')
        endless.on_header(b'\r\n')
        transfers.append(endless)
    for _ in range(10):
        for going_on in transfers:
            going_on.on_content(b'x' * 1000)
    held = sum(
        len(one.partial_event) for one in transfers if one.answer.end is None
    )
    assert 0 < held <= 100_000
    ended = [one for one in transfers if one.answer.end is not None]
    assert ended
    assert all('in all' in one.abort_reason for one in ended)
