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


def silent_exchange(*, is_model: bool) -> transfer.Transfer:
    call = relay_pb2.Call(is_model=is_model, claimed=True)
    answer = answers.Answer('req-1', call, 0)
    return transfer.Transfer(call, answer, asyncio.Event(), 0)


def test_a_service_that_never_answers_is_given_up_by_its_route() -> None:
    taken = silent_exchange(is_model=False)
    taken.watch(9)
    assert taken.answer.end is None
    # A caller that resends for half a minute gets to know it in time.
    taken.watch(11)
    assert isinstance(taken.answer.end, relay_pb2.Failed)


def test_a_model_may_be_silent_while_it_queues() -> None:
    taken = silent_exchange(is_model=True)
    taken.watch(60)
    assert taken.answer.end is None
