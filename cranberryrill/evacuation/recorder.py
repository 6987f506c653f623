"""Commit orders to evacuate data centres before they are acknowledged."""

import dataclasses
import logging

import result

from cranberryrill import clock, failures
from cranberryrill.evacuation import evacuation_pb2
from cranberryrill.replication import proposals
from cranberryrill.state import commands_pb2

LOGGER = logging.getLogger(__name__)
MILLISECONDS_PER_SECOND = 1000
# An operator calls another member after a second without an answer.
ANSWER_TIMEOUT_SECONDS = 0.9


@dataclasses.dataclass(frozen=True)
class UnknownDataCentre(failures.Failure):
    """The settings name no such data centre."""

    code = 'unknown_data_centre'
    status = 404


@dataclasses.dataclass(frozen=True)
class NotOrdered(failures.Failure):
    """No majority stored the order in time; it may still be committed."""

    code = 'evacuation_not_committed'
    status = 503


OrderFailure = UnknownDataCentre | NotOrdered


class EvacuationRecorder:
    """Begin and end evacuations of the data centres in the settings."""

    def __init__(
        self, data_centres: frozenset[str], proposer: proposals.Proposer
    ) -> None:
        self.data_centres = data_centres
        self.proposer = proposer

    async def commit(
        self, order: evacuation_pb2.SetEvacuation, now: float
    ) -> result.Result[None, OrderFailure]:
        """Commit an order that arrived at `now`, in monotonic seconds.

        It is proposed even if this member has it in force: the member may lack
        a later order that this one is to replace. After an error the order must
        not be acknowledged.
        """
        if order.data_centre not in self.data_centres:
            return result.Err(
                UnknownDataCentre('the settings name no such data centre')
            )
        command = commands_pb2.Command(set_evacuation=order)
        is_committed = await proposals.is_committed_by(
            self.proposer,
            command.SerializeToString(),
            now + ANSWER_TIMEOUT_SECONDS,
        )
        seconds = clock.monotonic_seconds() - now
        LOGGER.info(
            'evacuation ordered',
            extra={
                'data_centre': order.data_centre,
                'evacuated': order.evacuated,
                'committed': is_committed,
                'elapsed_ms': int(seconds * MILLISECONDS_PER_SECOND),
            },
        )
        if is_committed:
            return result.Ok(None)
        return result.Err(NotOrdered('the order is not committed'))
