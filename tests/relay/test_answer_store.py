"""Answers are stored within bounds; forgotten requests are recognised."""

import typing

from cranberryrill.relay import (
    answer_store,
    answers,
    relay_pb2,
    request_ids,
    timing,
)


def new_answer(request_id: str, **fields: bool) -> answers.Answer:
    call_fields: typing.Any = fields
    call = relay_pb2.Call(organisation='clinics', **call_fields)
    return answers.Answer(request_id, call, 0)


def add_finished(
    store: answer_store.AnswerStore,
    request_id: str,
    now: float = 1,
    **fields: bool,
) -> answers.Answer:
    answer = new_answer(request_id, **fields)
    store.add(answer)
    answer.extend(b'x' * 100)
    answer.complete(now)
    store.add_ended(answer)
    return answer


def test_expired_answer_keeps_its_outcome_without_content() -> None:
    store = answer_store.AnswerStore()
    request_id = request_ids.RequestIdGenerator().new_request_id()
    add_finished(store, request_id)
    store.expire(2 + timing.ANSWER_LIFETIME_SECONDS)
    found = store.find(request_id)
    assert found is not None
    assert isinstance(found.end, relay_pb2.Failed)
    assert (found.end.code, found.end.ran) == (
        'answer_dropped',
        relay_pb2.Ran.YES,
    )


def test_claimed_answer_does_not_expire() -> None:
    store = answer_store.AnswerStore()
    request_id = request_ids.RequestIdGenerator().new_request_id()
    add_finished(store, request_id, claimed=True)
    store.expire(1000 * timing.ANSWER_LIFETIME_SECONDS)
    found = store.find(request_id)
    assert found is not None
    assert bytes(found.content) == b'x' * 100


def test_refusal_does_not_expire() -> None:
    store = answer_store.AnswerStore()
    request_id = request_ids.RequestIdGenerator().new_request_id()
    answer = new_answer(request_id, idempotent=True)
    answer.finish(relay_pb2.Refused(code='queue_full'), 1)
    store.add(answer)
    store.expire(2 + timing.ANSWER_LIFETIME_SECONDS)
    found = store.find(request_id)
    assert found is not None
    assert isinstance(found.end, relay_pb2.Refused)


def test_idempotent_answer_is_dropped() -> None:
    store = answer_store.AnswerStore()
    request_id = request_ids.RequestIdGenerator().new_request_id()
    add_finished(store, request_id, idempotent=True)
    store.expire(2 + timing.ANSWER_LIFETIME_SECONDS)
    assert store.find(request_id) is None
    assert not store.is_forgotten(request_id)


def test_forgotten_request_differs_from_a_new_one() -> None:
    store = answer_store.AnswerStore(max_outcomes=2)
    generator = request_ids.RequestIdGenerator()
    ids = [generator.new_request_id() for _ in range(5)]
    for request_id in ids[:4]:
        add_finished(store, request_id)
    store.expire(2 + timing.ANSWER_LIFETIME_SECONDS)
    assert [store.find(request_id) is not None for request_id in ids] == [
        False,
        False,
        True,
        True,
        False,
    ]
    assert [store.is_forgotten(request_id) for request_id in ids[:2]] == [
        True,
        True,
    ]
    assert not store.is_forgotten(ids[4])
    assert not store.is_forgotten(
        request_ids.RequestIdGenerator().new_request_id()
    )


def test_request_id_of_unknown_form_counts_as_forgotten() -> None:
    assert answer_store.AnswerStore().is_forgotten('order-1')


def test_stored_bytes_are_bounded() -> None:
    store = answer_store.AnswerStore(
        max_stored_bytes=5 * (answer_store.ANSWER_OVERHEAD_BYTES + 100)
    )
    generator = request_ids.RequestIdGenerator()
    for _ in range(20):
        add_finished(store, generator.new_request_id(), claimed=True)
    assert len(store.claimed) == 5
    assert len(store.stored) == 20


def test_only_an_unread_idempotent_request_is_cancelled() -> None:
    store = answer_store.AnswerStore()
    generator = request_ids.RequestIdGenerator()
    chat = new_answer(generator.new_request_id(), idempotent=True)
    order = new_answer(generator.new_request_id())
    claimed = new_answer(generator.new_request_id(), claimed=True)
    for answer in (chat, order, claimed):
        answer.sent = answer is not claimed
        store.add(answer)
    store.expire(1 + timing.REATTACH_SECONDS)
    cancelled = [one.cancelled.is_set() for one in (chat, order, claimed)]
    assert cancelled == [True, False, False]
