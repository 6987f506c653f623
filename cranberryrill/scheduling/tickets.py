"""Ticket that tracks one request through an agent's scheduler."""

import asyncio
import dataclasses
import itertools
import typing

from cranberryrill.relay import relay_pb2

TICKET_NUMBERS = itertools.count(1)


class Output(typing.Protocol):
    """Number of tokens that the upstream has produced so far."""

    output_tokens: int


@dataclasses.dataclass
class NoOutput:
    """Output of a request that has not started."""

    output_tokens: int = 0


class Ticket:
    """Scheduling state of one request.

    A request waits, runs, may be preempted and wait again, and is released
    at its end. Times are in monotonic seconds.
    """

    def __init__(self, call: relay_pb2.Call, now: float) -> None:
        self.call = call
        self.number = next(TICKET_NUMBERS)
        self.offered_at = now
        # Set while the request may run.
        self.running = asyncio.Event()
        # Set when the request is evicted from the queue before it ever ran.
        self.evicted = asyncio.Event()
        # Set when the request must stop running and wait again.
        self.preempted = asyncio.Event()
        self.output: Output = NoOutput()
        self.started_at: float | None = None
        self.resumed_at = now
        self.served_seconds = 0.0
        # Tokens charged to the counter of the organisation for this request.
        self.charged_tokens = 0.0
        self.observed_tokens = 0

    def has_started(self) -> bool:
        """Return whether the request ever ran.

        It must not be reported as "not run" afterwards.
        """
        return self.started_at is not None

    def can_pause(self) -> bool:
        """Return whether the upstream can stop the request and resume it."""
        return self.call.is_model and self.call.idempotent
