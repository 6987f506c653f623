"""Accept traffic documents and read the newest one back."""

import asyncio
import dataclasses
import logging

import result

from cranberryrill import clock, failures
from cranberryrill.configuration import state
from cranberryrill.replication import member, proposals
from cranberryrill.state import commands_pb2
from cranberryrill.traffic import document, validation

LOGGER = logging.getLogger(__name__)
# An operator asks another member after a second without an answer.
ANSWER_TIMEOUT = 0.9
PROOF_PERIOD = 0.02


@dataclasses.dataclass(frozen=True)
class Accepted:
    """A document is committed, or a version as high is."""

    version: int
    # Whether it is what is in force now.
    in_force: bool


@dataclasses.dataclass(frozen=True)
class NotCommitted(failures.Failure):
    """No majority has taken the document in time; it may yet be accepted."""

    code = 'not_committed'
    status = 503


PutFailure = validation.InvalidTraffic | NotCommitted


class Publisher:
    """Put documents into the log and read from the applied state."""

    def __init__(
        self,
        local: member.Member,
        proposer: proposals.Proposer,
        held: state.ConfigurationState,
    ) -> None:
        self.member = local
        self.proposer = proposer
        self.state = held

    async def put(
        self,
        wanted: document.Document,
    ) -> result.Result[Accepted, PutFailure]:
        """Accept a valid document; only a higher version changes anything."""
        faults = validation.find_faults(wanted)
        if faults:
            return result.Err(validation.InvalidTraffic(faults))
        if wanted.version > self.state.configuration.traffic.version:
            proposed = await self.proposer.propose_until(
                _command_for(wanted),
                clock.monotonic_seconds() + ANSWER_TIMEOUT,
            )
            if isinstance(proposed, result.Err):
                return result.Err(NotCommitted(str(proposed.err_value)))
            outcome = commands_pb2.ChangeOutcome.FromString(proposed.ok_value)
            accepted = commands_pb2.ChangeOutcome.ACCEPTED
            return result.Ok(
                Accepted(wanted.version, outcome.verdict == accepted),
            )
        return result.Ok(Accepted(wanted.version, in_force=False))

    async def read(
        self,
        asked_at: float,
    ) -> result.Result[document.Document, failures.NotServing]:
        """Return the newest document accepted before `asked_at` or later."""
        deadline = asked_at + ANSWER_TIMEOUT
        while self.member.freshness.as_of < asked_at:
            if clock.monotonic_seconds() >= deadline:
                return result.Err(
                    failures.NotServing('which version is newest is unknown'),
                )
            await asyncio.sleep(PROOF_PERIOD)
        return result.Ok(self.state.configuration.traffic)


def _command_for(wanted: document.Document) -> bytes:
    command = commands_pb2.Command(
        put_traffic=commands_pb2.PutTraffic(
            version=wanted.version,
            content=document.encode(wanted),
        ),
    )
    return command.SerializeToString()
