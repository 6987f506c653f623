"""Decide whether this member is in charge of the outside world."""

import asyncio
import dataclasses
import logging

import result

from cranberryrill import clock
from cranberryrill.authority import authority_pb2, timing
from cranberryrill.replication import member, proposals
from cranberryrill.state import commands_pb2

LOGGER = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True)
class Tenure:
    """One continuous time in charge, with its fencing number."""

    fencing: int
    began_at: float


class Authority:
    """Hold authority while this member leads and its lease lasts."""

    def __init__(
        self,
        local: member.Member,
        proposer: proposals.Proposer,
    ) -> None:
        self.member = local
        self.proposer = proposer
        self.tenure: Tenure | None = None
        self.stopping = False

    async def run(self) -> None:
        """Begin a tenure each time that this member comes to lead."""
        while True:
            self._drop_old()
            if self.tenure is None and self.member.leads_with_committed_entry():
                await self._begin(clock.monotonic_seconds())
            await asyncio.sleep(timing.STEP_PERIOD)

    def current(self, now: float) -> Tenure | None:
        """Return the tenure in which a message may be sent at this moment."""
        if self.tenure is None or not self.may_send(self.tenure, now):
            return None
        return self.tenure

    def may_send(self, tenure: Tenure, now: float) -> bool:
        """Say whether the lease covers a message sent now, to its end."""
        if self.tenure is not tenure or tenure.fencing != self.member.term:
            return False
        if now < tenure.began_at + timing.QUIET_PERIOD:
            return False
        return self.member.holds_lease(now + timing.SEND_DEADLINE)

    async def commit(
        self,
        command: commands_pb2.Command,
    ) -> result.Result[bytes, member.ProposalFailure]:
        """Commit a command as the holder.

        After an error the tenure is over, so that nothing is decided on a
        state in which that command may still appear.
        """
        proposed = await self.proposer.propose_as_leader(
            command.SerializeToString(),
        )
        if isinstance(proposed, result.Err):
            self.tenure = None
        return proposed

    def _drop_old(self) -> None:
        tenure = self.tenure
        leads = self.member.leads_with_committed_entry()
        if tenure and not (leads and tenure.fencing == self.member.term):
            self.tenure = None
            LOGGER.info('authority ended', extra={'fencing': tenure.fencing})

    async def _begin(self, now: float) -> None:
        fencing = self.member.term
        # Whatever was proposed before in this term is applied when this is.
        taken = await self.commit(
            commands_pb2.Command(
                take_authority=authority_pb2.TakeAuthority(fencing=fencing),
            ),
        )
        if isinstance(taken, result.Err):
            return
        outcome = authority_pb2.IntentOutcome.FromString(taken.ok_value)
        if outcome.accepted and self.member.term == fencing:
            self.tenure = Tenure(fencing, now)
            LOGGER.info('authority begins', extra={'fencing': fencing})
