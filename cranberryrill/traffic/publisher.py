"""Commit traffic documents and read the one in force."""

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
# The operator's client tries another member after a second without an answer.
ANSWER_TIMEOUT_SECONDS = 0.9
FRESHNESS_POLL_SECONDS = 0.02


@dataclasses.dataclass(frozen=True)
class Accepted:
    """Result of `put`: a document of this or a higher version is committed."""

    version: int
    # Whether this document came into force.
    in_force: bool


@dataclasses.dataclass(frozen=True)
class NotCommitted(failures.Failure):
    """No majority stored the document in time; it may still be committed."""

    code = 'not_committed'
    status = 503


PutFailure = validation.InvalidTraffic | NotCommitted


class Publisher:
    """Writes documents to the replicated log and reads the applied state."""

    def __init__(
        self,
        local: member.Member,
        proposer: proposals.Proposer,
        configuration_state: state.ConfigurationState,
    ) -> None:
        self.member = local
        self.proposer = proposer
        self.state = configuration_state

    async def put(
        self,
        new_document: document.Document,
    ) -> result.Result[Accepted, PutFailure]:
        """Commit a valid document.

        A document whose version is not higher than the current one changes
        nothing and is accepted, too.
        """
        faults = validation.find_faults(new_document)
        if faults:
            return result.Err(validation.InvalidTraffic(faults))
        if new_document.version > self.state.configuration.traffic.version:
            proposed = await self.proposer.propose_until(
                _command_for(new_document),
                clock.monotonic_seconds() + ANSWER_TIMEOUT_SECONDS,
            )
            if isinstance(proposed, result.Err):
                return result.Err(NotCommitted(str(proposed.err_value)))
            outcome = commands_pb2.ChangeOutcome.FromString(proposed.ok_value)
            accepted = commands_pb2.ChangeOutcome.ACCEPTED
            return result.Ok(
                Accepted(new_document.version, outcome.verdict == accepted),
            )
        return result.Ok(Accepted(new_document.version, in_force=False))

    async def read(
        self,
        requested_at: float,
    ) -> result.Result[document.Document, failures.NotServing]:
        """Return a document at least as new as any accepted by `requested_at`.

        Times are monotonic seconds.
        """
        current = await self._wait_until_current(requested_at)
        return current.map(lambda _: self.state.configuration.traffic)

    async def find_accepted(
        self, source: bytes, requested_at: float
    ) -> result.Result[int | None, failures.NotServing]:
        """Return the version of a document that was accepted, or None.

        `source` is the text of one that is invalid. An earlier version of this
        program may have accepted it, and its repeat must not be refused.
        """
        current = await self._wait_until_current(requested_at)
        return current.map(
            lambda _: self.state.accepted_traffic.version_of(source)
        )

    async def _wait_until_current(
        self, requested_at: float
    ) -> result.Result[None, failures.NotServing]:
        """Wait until the local state is as new as any at `requested_at`."""
        deadline = requested_at + ANSWER_TIMEOUT_SECONDS
        while self.member.freshness.as_of < requested_at:
            if clock.monotonic_seconds() >= deadline:
                return result.Err(
                    failures.NotServing('which version is newest is unknown'),
                )
            await asyncio.sleep(FRESHNESS_POLL_SECONDS)
        return result.Ok(None)


def _command_for(new_document: document.Document) -> bytes:
    command = commands_pb2.Command(
        put_traffic=commands_pb2.PutTraffic(
            version=new_document.version,
            content=document.encode(new_document),
        ),
    )
    return command.SerializeToString()
