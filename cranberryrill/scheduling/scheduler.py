"""Scheduler interface of an agent, and the refusals it returns."""

import collections
import dataclasses
import typing

import result

from cranberryrill.relay import relay_pb2
from cranberryrill.scheduling import tickets


@dataclasses.dataclass(frozen=True)
class QueueFull:
    """The queue of the request's class is full.

    `lowest_waiting_tier` is the lowest-priority tier that can be evicted; 0
    means none.
    """

    waiting: int
    lowest_waiting_tier: int
    retry_after_seconds: float = 1


@dataclasses.dataclass(frozen=True)
class TooLate:
    """The predicted first token is later than the target of the class."""

    predicted_seconds: float
    lowest_waiting_tier: int
    retry_after_seconds: float = 1


Refusal = QueueFull | TooLate


@dataclasses.dataclass(frozen=True)
class LoadSnapshot:
    """Running and waiting requests of an agent, by tier."""

    running: collections.Counter[int]
    waiting: collections.Counter[int]
    # Lowest-priority tier with a request that can be evicted; 0 without one.
    lowest_waiting_tier: int = 0
    # 0 before any request ran.
    seconds_per_token: float = 0


class Scheduler(typing.Protocol):
    """Policy that decides which requests run.

    Callers pass `now` in monotonic seconds.
    """

    def offer(
        self,
        call: relay_pb2.Call,
        now: float,
    ) -> result.Result[tickets.Ticket, Refusal]:
        """Queue or start a request, or return why it is refused."""

    def requeue(self, ticket: tickets.Ticket, now: float) -> None:
        """Queue a preempted request again after it has stopped running."""

    def release(self, ticket: tickets.Ticket, now: float) -> None:
        """Remove a running or waiting request."""

    def observe(self, now: float) -> None:
        """Account for the tokens produced since the last call."""

    def load_snapshot(self) -> LoadSnapshot:
        """Return the current load of the agent."""
