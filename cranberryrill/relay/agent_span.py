"""Trace the agent's part of a request as a span of its own."""

from collections import abc
import typing

from cranberryrill import tracing
from cranberryrill.relay import relay_pb2


async def run(
    call: relay_pb2.Call,
    request_id: str,
    work: abc.Coroutine[typing.Any, typing.Any, None],
) -> None:
    """Await `work` within an `agent` span.

    The `traceparent` of `call` is replaced by that of the span, so that spans
    started by `work` become its children.
    """
    span = tracing.start('agent', call.traceparent, request_id)
    call.traceparent = tracing.traceparent_of(span)
    try:
        await work
    finally:
        span.end()
