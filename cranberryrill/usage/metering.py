"""Read from an ended answer what it cost."""

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
    """Return what to bill for an answer, or nothing if it did not run.

    Tokens that an engine delivered count also when the caller left or the
    request was preempted.
    """
    prompt, output = _token_counts(call, answer)
    answered = (
        answer.head is not None and answer.head.status < FIRST_ERROR_STATUS
    )
    if not answered and not output:
        return None
    return usage_pb2.UsageLine(
        organisation=call.organisation,
        class_name=call.class_name,
        target=call.target,
        requests=1,
        prompt_tokens=prompt,
        output_tokens=output,
    )


def _token_counts(
    call: relay_pb2.Call,
    answer: answers.Answer,
) -> tuple[int, int]:
    counted = answer.usage
    if not call.is_model or call.streamed or counted.output_tokens:
        return counted.prompt_tokens, counted.output_tokens
    try:
        parsed: typing.Any = json.loads(bytes(answer.content))
    except ValueError:
        return counted.prompt_tokens, counted.output_tokens
    reported = parsed.get('usage') if isinstance(parsed, dict) else None
    if not isinstance(reported, dict):
        return counted.prompt_tokens, counted.output_tokens
    return (
        int(reported.get('prompt_tokens', 0)),
        int(reported.get('completion_tokens', 0)),
    )
