"""Take an upstream's answer in parts, with a preemption between them."""

import asyncio

import pytest

from cranberryrill.relay import answers, relay_pb2, transfer

WHOLE = b'{"choices": []}'
EVENTS = b'data: {"choices": [1]}\n\n'


def exchange(
    kind: str,
    streamed: bool,
) -> tuple[transfer.Transfer, asyncio.Event]:
    """Return an exchange whose upstream has sent its head."""
    call = relay_pb2.Call(is_model=True, idempotent=True, streamed=streamed)
    answer = answers.Answer('req-1', call, 0)
    preempted = asyncio.Event()
    taken = transfer.Transfer(call, answer, preempted, 0)
    taken.take_header(b'HTTP/1.1 200 OK\r\n')
    taken.take_header(f'Content-Type: {kind}\r\n'.encode())
    taken.take_header(b'Content-Length: 15\r\n')
    return taken, preempted


def test_a_whole_answer_that_arrives_is_not_broken_off() -> None:
    taken, preempted = exchange('application/json', streamed=False)
    taken.take_content(WHOLE[:5])
    preempted.set()
    assert taken.take_content(WHOLE[5:]) == len(WHOLE) - 5
    taken.ended(1)
    assert bytes(taken.answer.content) == WHOLE
    assert isinstance(taken.answer.end, relay_pb2.Final)


@pytest.mark.parametrize('kept', [0, 10])
def test_a_stream_stops_behind_a_whole_event(kept: int) -> None:
    taken, preempted = exchange('text/event-stream', streamed=True)
    taken.take_content(EVENTS + EVENTS[:kept])
    preempted.set()
    assert taken.take_content(EVENTS[kept:]) == 0
    taken.broke_off(ConnectionError(), 1)
    assert bytes(taken.answer.content) == EVENTS
    assert taken.answer.end is None


def silent_exchange(*, is_model: bool, timeout_ms: int) -> transfer.Transfer:
    call = relay_pb2.Call(
        is_model=is_model,
        claimed=True,
        timeout_ms=timeout_ms,
    )
    answer = answers.Answer('req-1', call, 0)
    return transfer.Transfer(call, answer, asyncio.Event(), 0)


def test_a_service_that_never_answers_is_given_up_by_its_route() -> None:
    taken = silent_exchange(is_model=False, timeout_ms=3000)
    assert taken.headers(1)['X-Request-Timeout-Ms'] == '2000'
    taken.watch(2.9)
    assert taken.answer.end is None
    taken.watch(3)
    ended = taken.answer.end
    assert isinstance(ended, relay_pb2.Failed)
    assert ended.code == answers.TIMED_OUT
    # It may have run: nobody knows what the service does in its silence.
    assert ended.ran == relay_pb2.Ran.UNKNOWN


def test_a_model_may_be_silent_while_it_queues() -> None:
    taken = silent_exchange(is_model=True, timeout_ms=600_000)
    taken.watch(60)
    assert taken.answer.end is None
