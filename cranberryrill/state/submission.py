"""Submit commands of entries and agents to the replicated log."""

import asyncio
import dataclasses
import random
from collections import abc

import result
from grpclib import client, server

from cranberryrill import clock, transport
from cranberryrill.certificates import roles
from cranberryrill.replication import member, proposals
from cranberryrill.state import commands_pb2, submission_grpc, submission_pb2

ALLOWED_KINDS = frozenset(
    ('place_claim', 'move_claim', 'add_usage', 'add_window_usage'),
)
# After a call that takes longer, the next control member is tried.
CALL_TIMEOUT_SECONDS = 1.5
RETRY_PAUSE_SECONDS = 0.1
Verdict = submission_pb2.SubmitAnswer
SubmitStream = server.Stream[commands_pb2.Command, submission_pb2.SubmitAnswer]


@dataclasses.dataclass(frozen=True)
class NotSubmitted:
    """The command got no outcome before the deadline, or was forbidden.

    It may have been committed, unless `proved_uncommitted` is true.
    """

    reason: str
    proved_uncommitted: bool


Submitted = result.Result[bytes, NotSubmitted]


class SubmissionService(submission_grpc.SubmissionBase):
    """gRPC service that proposes commands of entries and agents."""

    def __init__(self, proposer: proposals.Proposer) -> None:
        self.proposer = proposer

    async def Submit(self, stream: SubmitStream) -> None:
        """Commit one command and send its outcome."""
        command = await stream.recv_message()
        if command is None:
            return
        if command.WhichOneof('kind') not in ALLOWED_KINDS:
            await stream.send_message(
                submission_pb2.SubmitAnswer(verdict=Verdict.FORBIDDEN),
            )
            return
        proposed = await self.proposer.propose(command.SerializeToString())
        await stream.send_message(_answer_of(proposed))


def _answer_of(proposed: proposals.Outcome) -> submission_pb2.SubmitAnswer:
    if isinstance(proposed, result.Ok):
        return submission_pb2.SubmitAnswer(
            verdict=Verdict.COMMITTED,
            outcome=proposed.ok_value,
        )
    if isinstance(proposed.err_value, member.ProposalUnknown):
        return submission_pb2.SubmitAnswer(verdict=Verdict.OUTCOME_UNKNOWN)
    return submission_pb2.SubmitAnswer(verdict=Verdict.UNAVAILABLE)


class Submitter:
    """Submit commands to one control member; to the next if it doesn't commit.

    A member may fail, or refuse for as long as it knows no leader. There is at
    most one connection to each member; those of refusals are kept, since all
    members refuse in turn during an election.
    """

    def __init__(
        self,
        dialer: transport.Dialer,
        control: abc.Sequence[transport.Address],
        rng: random.Random,
    ) -> None:
        self.dialer = dialer
        # The first one is used.
        self.control = rng.sample(control, len(control))
        self.channels: dict[transport.Address, client.Channel] = {}

    def add_control_addresses(
        self,
        addresses: abc.Iterable[transport.Address],
    ) -> None:
        """Add new members; those of the settings may have been replaced."""
        self.control.extend(
            address for address in addresses if address not in self.control
        )

    async def submit(
        self,
        command: commands_pb2.Command,
        deadline: float,
    ) -> Submitted:
        """Retry until there is an outcome or `deadline` has passed.

        The command is also retried when its outcome is unknown, so it must
        carry its own identifier. `deadline` is in seconds of the monotonic
        clock.
        """
        proved_uncommitted = True
        while True:
            address = self.control[0]
            answer = await self._attempt(command, address)
            if answer is None or answer.verdict == Verdict.OUTCOME_UNKNOWN:
                proved_uncommitted = False
            elif answer.verdict == Verdict.COMMITTED:
                return result.Ok(answer.outcome)
            elif answer.verdict == Verdict.FORBIDDEN:
                return result.Err(
                    NotSubmitted('forbidden', proved_uncommitted=True),
                )
            self._try_next_member(address)
            if clock.monotonic_seconds() >= deadline:
                reason = f'no outcome in time, {_last_answer(address, answer)}'
                return result.Err(NotSubmitted(reason, proved_uncommitted))
            await asyncio.sleep(RETRY_PAUSE_SECONDS)

    async def _attempt(
        self,
        command: commands_pb2.Command,
        address: transport.Address,
    ) -> submission_pb2.SubmitAnswer | None:
        channel = self.channels.get(address)
        if channel is None:
            channel = self.dialer.dial(address, roles.Role.control)
            self.channels[address] = channel
        stub = submission_grpc.SubmissionStub(channel)
        try:
            return await stub.Submit(command, timeout=CALL_TIMEOUT_SECONDS)
        except transport.CALL_ERRORS:
            channel.close()
            # A concurrent call may have replaced the connection already.
            if self.channels.get(address) is channel:
                self.channels.pop(address)
            return None

    def _try_next_member(self, left: transport.Address) -> None:
        # A concurrent call may have left the member already.
        if self.control[0] == left:
            self.control.append(self.control.pop(0))


def _last_answer(
    address: transport.Address, answer: submission_pb2.SubmitAnswer | None
) -> str:
    """Describe the last answer, which names the member in logs."""
    verdict = 'no answer'
    if answer is not None:
        verdict = Verdict.Verdict.Name(answer.verdict).lower()
    return f'last {address.host}:{address.port}: {verdict}'
