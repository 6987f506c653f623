"""Scheduling decisions, recorded for logs and for checks of a run."""

import dataclasses
import enum
import logging
import typing

from cranberryrill.relay import relay_pb2

LOGGER = logging.getLogger(__name__)
# Ticket number of a refused request, which has no ticket.
NO_TICKET = 0


class DecisionKind(enum.Enum):
    """Kinds of scheduling decision about a request at an agent."""

    offered = 'offered'
    refused = 'refused'
    started = 'started'
    preempted = 'preempted'
    requeued = 'requeued'
    evicted = 'evicted'
    released = 'released'


@dataclasses.dataclass(frozen=True)
class Decision:
    """Decision about one request; `at` is monotonic time in seconds."""

    kind: DecisionKind
    at: float
    ticket: int
    class_name: str
    tier: int
    organisation: str


class Recorder(typing.Protocol):
    """Receiver of each decision, in order."""

    def record(self, decision: Decision) -> None:
        """Record one decision."""


class LogRecorder:
    """Recorder that logs decisions."""

    def record(self, decision: Decision) -> None:
        """Log one decision."""
        LOGGER.info(
            'decision',
            extra={
                'decision': decision.kind.value,
                'at': decision.at,
                'ticket': decision.ticket,
                'class_name': decision.class_name,
                'tier': decision.tier,
                'organisation': decision.organisation,
            },
        )


class NullRecorder:
    """Recorder that discards decisions."""

    def record(self, decision: Decision) -> None:
        """Discard one decision."""


def make_decision(
    kind: DecisionKind,
    call: relay_pb2.Call,
    tier: int,
    now: float,
    ticket: int = NO_TICKET,
) -> Decision:
    """Return the decision of this kind about `call`."""
    return Decision(
        kind,
        now,
        ticket,
        call.class_name,
        tier,
        call.organisation,
    )
