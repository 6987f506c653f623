"""Billable usage of answers that were refused, cancelled or delivered."""

import json

import pytest

from cranberryrill.relay import answers, relay_pb2
from cranberryrill.usage import metering


def call(streamed: bool = True, is_model: bool = True) -> relay_pb2.Call:
    return relay_pb2.Call(
        organisation='clinics',
        class_name='urgent',
        target='wobble',
        is_model=is_model,
        streamed=streamed,
    )


def answer(status: int = 200, tokens: int = 0) -> answers.Answer:
    ended_answer = answers.Answer('req-1', call(), 0)
    if status:
        ended_answer.start(status, [])
    ended_answer.usage.output_tokens = tokens
    return ended_answer


def test_answer_without_status_is_not_billed() -> None:
    assert metering.usage_line(call(), answer(status=0)) is None


@pytest.mark.parametrize('status', [400, 500])
def test_refusal_is_not_billed(status: int) -> None:
    assert metering.usage_line(call(), answer(status)) is None


def test_cancelled_answer_bills_delivered_tokens() -> None:
    ended_answer = answer(tokens=3)
    ended_answer.fail('cancelled', 'the caller left', relay_pb2.Ran.YES, 1)
    line = metering.usage_line(call(), ended_answer)
    assert line is not None
    assert (line.requests, line.output_tokens) == (1, 3)


def test_unstreamed_answer_bills_its_reported_usage() -> None:
    ended_answer = answer()
    usage = {'prompt_tokens': 4, 'completion_tokens': 6}
    ended_answer.extend(json.dumps({'usage': usage}).encode())
    line = metering.usage_line(call(streamed=False), ended_answer)
    assert line is not None
    assert (line.prompt_tokens, line.output_tokens) == (4, 6)


@pytest.mark.parametrize('content', [b'{"us', b'[]', b'{"usage": 3}'])
def test_unreadable_answer_bills_one_request(content: bytes) -> None:
    ended_answer = answer()
    ended_answer.extend(content)
    line = metering.usage_line(call(streamed=False), ended_answer)
    assert line is not None
    assert (line.requests, line.output_tokens) == (1, 0)


def test_service_that_is_no_model_bills_no_tokens() -> None:
    ended_answer = answer(201)
    ended_answer.extend(b'{"usage": {"completion_tokens": 9}}')
    line = metering.usage_line(
        call(streamed=False, is_model=False), ended_answer
    )
    assert line is not None
    assert (line.requests, line.output_tokens) == (1, 0)
