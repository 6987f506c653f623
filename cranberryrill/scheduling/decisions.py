"""Describe what a scheduler decides, for logs and for checks of a run."""

import dataclasses
import enum
import logging
import typing

from cranberryrill.relay import relay_pb2

LOGGER = logging.getLogger(__name__)
# A request that was refused at once has no ticket.
NO_TICKET = 0


class DecisionKind(enum.Enum):
    """Name each thing that happens to a request at an agent."""

    offered = 'offered'
    refused = 'refused'
    started = 'started'
    preempted = 'preempted'
    requeued = 'requeued'
    evicted = 'evicted'
    released = 'released'


@dataclasses.dataclass(frozen=True)
class Decision:
    """One thing that happened to one request; `at` is in seconds."""

    kind: DecisionKind
    at: float
    ticket: int
    class_name: str
    tier: int
    organisation: str


class Recorder(typing.Protocol):
    """Take each decision, in order."""

    def record(self, decision: Decision) -> None:
        """Take one decision."""


class LogRecorder:
    """Write decisions to the log of this process."""

    def record(self, decision: Decision) -> None:
        """Write one line."""
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
    """Drop each decision."""

    def record(self, decision: Decision) -> None:
        """Drop it."""


def make_decision(
    kind: DecisionKind,
    call: relay_pb2.Call,
    tier: int,
    now: float,
    ticket: int = NO_TICKET,
) -> Decision:
    """Return the decision about `call`."""
    return Decision(
        kind,
        now,
        ticket,
        call.class_name,
        tier,
        call.organisation,
    )
