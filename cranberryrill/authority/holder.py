"""Authority: the right to send orders and reports to the platform.

Only the leader of the control group holds it, and only under its lease.
"""

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
    """One uninterrupted period of authority, with its fencing number."""

    fencing: int
    started_at: float


class Authority:
    """Track whether this member holds authority.

    It does while it is the leader and its lease is valid.
    """

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
        """Begin a tenure whenever this member becomes the leader."""
        while True:
            self._end_stale_tenure()
            if self.tenure is None and self.member.leads_with_committed_entry():
                await self._begin(clock.monotonic_seconds())
            await asyncio.sleep(timing.POLL_PERIOD_SECONDS)

    def current(self, now: float) -> Tenure | None:
        """Return the tenure under which a message may be sent at `now`.

        None when this member may not send.
        """
        if self.tenure is None or not self.may_send(self.tenure, now):
            return None
        return self.tenure

    def may_send(self, tenure: Tenure, now: float) -> bool:
        """Return whether a message may be sent at `now` under `tenure`.

        The quiet period after the takeover must be over, and the lease must
        last until the send timeout of that message.
        """
        if self.tenure is not tenure or tenure.fencing != self.member.term:
            return False
        if now < tenure.started_at + timing.QUIET_PERIOD_SECONDS:
            return False
        return self.member.holds_lease(now + timing.SEND_TIMEOUT_SECONDS)

    async def commit(
        self,
        command: commands_pb2.Command,
    ) -> result.Result[bytes, member.ProposalFailure]:
        """Commit a command as the holder and return its encoded outcome.

        An error ends the tenure: the command may still be committed later, so
        no decision may be based on the current state.
        """
        proposed = await self.proposer.propose_as_leader(
            command.SerializeToString(),
        )
        if isinstance(proposed, result.Err):
            self.tenure = None
        return proposed

    def _end_stale_tenure(self) -> None:
        tenure = self.tenure
        leads = self.member.leads_with_committed_entry()
        if tenure and not (leads and tenure.fencing == self.member.term):
            self.tenure = None
            LOGGER.info('authority ended', extra={'fencing': tenure.fencing})

    async def _begin(self, now: float) -> None:
        fencing = self.member.term
        # Once this command is applied, so are all commands that were proposed
        # earlier in this term.
        proposed = await self.commit(
            commands_pb2.Command(
                take_authority=authority_pb2.TakeAuthority(fencing=fencing),
            ),
        )
        if isinstance(proposed, result.Err):
            return
        outcome = authority_pb2.IntentOutcome.FromString(proposed.ok_value)
        if outcome.accepted and self.member.term == fencing:
            self.tenure = Tenure(fencing, now)
            LOGGER.info('authority begins', extra={'fencing': fencing})
