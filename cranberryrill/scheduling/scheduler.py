"""Say what an agent asks of whoever decides which request runs next."""

import collections
import dataclasses
import typing

import result

from cranberryrill.relay import relay_pb2
from cranberryrill.scheduling import tickets


@dataclasses.dataclass(frozen=True)
class QueueFull:
    """Nothing more may wait here."""

    waiting: int
    lowest_waiting_tier: int
    retry_after_seconds: float = 1


@dataclasses.dataclass(frozen=True)
class TooLate:
    """The request would get its first token after its class's target."""

    predicted_seconds: float
    lowest_waiting_tier: int
    retry_after_seconds: float = 1


Refusal = QueueFull | TooLate


@dataclasses.dataclass(frozen=True)
class LoadSnapshot:
    """Tell how busy an agent is, by tier."""

    running: collections.Counter[int]
    waiting: collections.Counter[int]
    # The lowest-priority tier that makes room for others; 0 when none does.
    lowest_waiting_tier: int = 0
    seconds_per_token: float = 0


class Scheduler(typing.Protocol):
    """Decide which requests run; tasks call it with the present time."""

    def offer(
        self,
        call: relay_pb2.Call,
        now: float,
    ) -> result.Result[tickets.Ticket, Refusal]:
        """Take a request, or say why not."""

    def requeue(self, ticket: tickets.Ticket, now: float) -> None:
        """Let a request wait again, now that it has stopped running."""

    def release(self, ticket: tickets.Ticket, now: float) -> None:
        """Give a place back, whether it ran or still waited."""

    def observe(self, now: float) -> None:
        """Take account of the tokens produced since the last time."""

    def load_snapshot(self) -> LoadSnapshot:
        """Return how busy the agent is."""
