"""Bill what was delivered, once."""

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
    ended = answers.Answer('req-1', call(), 0)
    if status:
        ended.start(status, [])
    ended.usage.output_tokens = tokens
    return ended


def test_what_never_ran_costs_nothing() -> None:
    assert metering.usage_line(call(), answer(status=0)) is None


@pytest.mark.parametrize('status', [400, 500])
def test_a_refusal_costs_nothing(status: int) -> None:
    assert metering.usage_line(call(), answer(status)) is None


def test_cancelled_work_costs_what_was_delivered() -> None:
    ended = answer(tokens=3)
    ended.fail('cancelled', 'the caller left', relay_pb2.Ran.YES, 1)
    line = metering.usage_line(call(), ended)
    assert line is not None
    assert (line.requests, line.output_tokens) == (1, 3)


def test_a_whole_answer_is_read() -> None:
    ended = answer()
    usage = {'prompt_tokens': 4, 'completion_tokens': 6}
    ended.extend(json.dumps({'usage': usage}).encode())
    line = metering.usage_line(call(streamed=False), ended)
    assert line is not None
    assert (line.prompt_tokens, line.output_tokens) == (4, 6)


@pytest.mark.parametrize('content', [b'{"us', b'[]', b'{"usage": 3}'])
def test_an_unreadable_answer_counts_as_one_request(content: bytes) -> None:
    ended = answer()
    ended.extend(content)
    line = metering.usage_line(call(streamed=False), ended)
    assert line is not None
    assert (line.requests, line.output_tokens) == (1, 0)


def test_a_plain_service_has_no_tokens() -> None:
    ended = answer(201)
    ended.extend(b'{"usage": {"completion_tokens": 9}}')
    line = metering.usage_line(call(streamed=False, is_model=False), ended)
    assert line is not None
    assert (line.requests, line.output_tokens) == (1, 0)
