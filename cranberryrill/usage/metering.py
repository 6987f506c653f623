"""Compute the billable usage of an ended answer."""

import http
import json
import typing

from cranberryrill.relay import answers, relay_pb2
from cranberryrill.usage import usage_pb2

FIRST_ERROR_STATUS = http.HTTPStatus.BAD_REQUEST


def usage_line(
    call: relay_pb2.Call,
    answer: answers.Answer,
) -> usage_pb2.UsageLine | None:
    """Return the usage to bill for an answer, or None if there is none.

    An answer is billed if its status is below 400 or it delivered output
    tokens. Delivered tokens also count when the caller disconnected or the
    request was preempted.
    """
    prompt_tokens, output_tokens = _token_counts(call, answer)
    answered = (
        answer.head is not None and answer.head.status < FIRST_ERROR_STATUS
    )
    if not answered and not output_tokens:
        return None
    return usage_pb2.UsageLine(
        organisation=call.organisation,
        class_name=call.class_name,
        target=call.target,
        requests=1,
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
    )


def _token_counts(
    call: relay_pb2.Call,
    answer: answers.Answer,
) -> tuple[int, int]:
    usage = answer.usage
    if not call.is_model or call.streamed or usage.output_tokens:
        return usage.prompt_tokens, usage.output_tokens
    try:
        parsed: typing.Any = json.loads(bytes(answer.content))
    except ValueError:
        return usage.prompt_tokens, usage.output_tokens
    reported = parsed.get('usage') if isinstance(parsed, dict) else None
    if not isinstance(reported, dict):
        return usage.prompt_tokens, usage.output_tokens
    return (
        int(reported.get('prompt_tokens', 0)),
        int(reported.get('completion_tokens', 0)),
    )
