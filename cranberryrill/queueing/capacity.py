"""Interface of the rules by which requests of a service are sent."""

import enum
import typing

from cranberryrill.queueing import waiting


class Verdict(enum.Enum):
    """Whether a waiting request may be sent now."""

    send = 'send'
    wait = 'wait'
    # Only memory is missing: smaller requests could take what becomes free.
    wait_for_memory = 'wait_for_memory'


class Capacity(typing.Protocol):
    """Capacity of the upstreams of one service, as seen by one process."""

    # How often waiting requests are examined.
    period_seconds: float

    def start_round(self, now: float) -> int:
        """Read the present loads; return how many requests may be sent."""

    def examined_requests(self) -> int:
        """Return how many verdicts are affordable in one round."""

    def verdict(self, request: waiting.WaitingRequest, now: float) -> Verdict:
        """Return whether an upstream can take a request now."""

    def record_sent(self, request: waiting.WaitingRequest) -> None:
        """Record that a request is being sent."""

    def assumed_rate(self) -> float:
        """Return the work a second that this process may send, as a guess."""
