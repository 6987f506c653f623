"""Trace the agent's part of a request as a hop of its own."""

from collections import abc
import typing

from cranberryrill import tracing
from cranberryrill.relay import relay_pb2


async def run(
    call: relay_pb2.Call,
    request_id: str,
    work: abc.Coroutine[typing.Any, typing.Any, None],
) -> None:
    """Do the work below a span of the agent; its own spans lie below that."""
    span = tracing.start('agent', call.traceparent, request_id)
    call.traceparent = tracing.header_of(span)
    try:
        await work
    finally:
        span.end()
