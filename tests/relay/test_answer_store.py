"""Remember what ran, within bounds, and know what was forgotten."""

import typing

from cranberryrill.relay import (
    answers,
    answer_store,
    request_ids,
    relay_pb2,
    timing,
)


def new_answer(request_id: str, **fields: bool) -> answers.Answer:
    asked: typing.Any = fields
    call = relay_pb2.Call(organisation='clinics', **asked)
    return answers.Answer(request_id, call, 0)


def run(
    held: answer_store.AnswerStore,
    request_id: str,
    now: float = 1,
    **fields: bool,
) -> answers.Answer:
    answer = new_answer(request_id, **fields)
    held.add(answer)
    answer.extend(b'x' * 100)
    answer.complete(now)
    held.close(answer)
    return answer


def test_ended_order_is_remembered_without_its_content() -> None:
    held = answer_store.AnswerStore()
    name = request_ids.RequestIdGenerator().new_request_id()
    run(held, name)
    held.expire(2 + timing.ANSWER_LIFETIME_SECONDS)
    known = held.find(name)
    assert known is not None
    assert isinstance(known.end, relay_pb2.Failed)
    assert (known.end.code, known.end.ran) == (
        'answer_dropped',
        relay_pb2.Ran.YES,
    )


def test_claimed_answer_is_given_again_later() -> None:
    held = answer_store.AnswerStore()
    name = request_ids.RequestIdGenerator().new_request_id()
    run(held, name, claimed=True)
    held.expire(1000 * timing.ANSWER_LIFETIME_SECONDS)
    known = held.find(name)
    assert known is not None
    assert bytes(known.content) == b'x' * 100


def test_refusal_is_remembered() -> None:
    held = answer_store.AnswerStore()
    name = request_ids.RequestIdGenerator().new_request_id()
    answer = new_answer(name, idempotent=True)
    answer.finish(relay_pb2.Refused(code='queue_full'), 1)
    held.add(answer)
    held.expire(2 + timing.ANSWER_LIFETIME_SECONDS)
    known = held.find(name)
    assert known is not None
    assert isinstance(known.end, relay_pb2.Refused)


def test_repeatable_answer_is_dropped() -> None:
    held = answer_store.AnswerStore()
    name = request_ids.RequestIdGenerator().new_request_id()
    run(held, name, idempotent=True)
    held.expire(2 + timing.ANSWER_LIFETIME_SECONDS)
    assert held.find(name) is None
    assert not held.is_forgotten(name)


def test_forgotten_is_told_from_new() -> None:
    held = answer_store.AnswerStore(max_remembered=2)
    named = request_ids.RequestIdGenerator()
    names = [named.new_request_id() for _ in range(5)]
    for name in names[:4]:
        run(held, name)
    held.expire(2 + timing.ANSWER_LIFETIME_SECONDS)
    assert [held.find(name) is not None for name in names] == [
        False,
        False,
        True,
        True,
        False,
    ]
    assert [held.is_forgotten(name) for name in names[:2]] == [True, True]
    assert not held.is_forgotten(names[4])
    assert not held.is_forgotten(
        request_ids.RequestIdGenerator().new_request_id()
    )


def test_strange_request_id_is_never_new() -> None:
    assert answer_store.AnswerStore().is_forgotten('order-1')


def test_kept_bytes_are_bounded() -> None:
    held = answer_store.AnswerStore(
        max_kept_bytes=5 * (answer_store.ANSWER_BYTES + 100)
    )
    named = request_ids.RequestIdGenerator()
    for _ in range(20):
        run(held, named.new_request_id(), claimed=True)
    assert len(held.claimed) == 5
    assert len(held.held) == 20


def test_unread_work_is_cancelled_but_an_order_in_progress_is_not() -> None:
    held = answer_store.AnswerStore()
    named = request_ids.RequestIdGenerator()
    chat = new_answer(named.new_request_id(), idempotent=True)
    order = new_answer(named.new_request_id())
    claimed = new_answer(named.new_request_id(), claimed=True)
    for answer in (chat, order, claimed):
        answer.sent = answer is not claimed
        held.add(answer)
    held.expire(1 + timing.REATTACH_SECONDS)
    cancelled = [one.cancelled.is_set() for one in (chat, order, claimed)]
    assert cancelled == [True, False, False]
