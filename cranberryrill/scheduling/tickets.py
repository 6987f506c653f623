"""Hold one request's place at an agent."""

import asyncio
import dataclasses
import itertools
import typing

from cranberryrill.relay import relay_pb2

TICKET_NUMBERS = itertools.count(1)


class Output(typing.Protocol):
    """Tell how much of an answer the upstream has produced so far."""

    output_tokens: int


@dataclasses.dataclass
class NoOutput:
    """Stand for the output of a request that has not started."""

    output_tokens: int = 0


class Ticket:
    """One request's place: it waits, runs, may pause, and is given back."""

    def __init__(self, call: relay_pb2.Call, now: float) -> None:
        self.call = call
        self.number = next(TICKET_NUMBERS)
        self.offered_at = now
        # Set while the request may run.
        self.running = asyncio.Event()
        # Set when it lost its place before it ever ran.
        self.evicted = asyncio.Event()
        # Set when it must stop running and wait again.
        self.preempted = asyncio.Event()
        self.output: Output = NoOutput()
        self.started_at: float | None = None
        self.resumed_at = now
        self.served_seconds = 0.0
        # Tokens that its organisation has been charged for it.
        self.charged_tokens = 0.0
        self.observed_tokens = 0

    def has_started(self) -> bool:
        """Say whether it ever ran, so that "not run" would be untrue."""
        return self.started_at is not None

    def can_pause(self) -> bool:
        """Say whether the upstream can stop it and resume it later."""
        return self.call.is_model and self.call.idempotent
