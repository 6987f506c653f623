"""Changes and consistent reads that the administration API runs."""

import asyncio
import dataclasses
import types

import result

from cranberryrill import clock, failures
from cranberryrill.administration import refusals
from cranberryrill.configuration import state
from cranberryrill.membership import directory
from cranberryrill.replication import member, proposals
from cranberryrill.state import commands_pb2
from cranberryrill.usage import windows

PROPOSE_TIMEOUT_SECONDS = 6.0
# A member that can't prove within this time that it is current refuses the
# request.
READ_TIMEOUT_SECONDS = 2.0
POLL_INTERVAL_SECONDS = 0.05
Verdict = commands_pb2.ChangeOutcome
VERDICT_FAILURES: types.MappingProxyType[int, type[failures.Failure]] = (
    types.MappingProxyType(
        {
            Verdict.STALE_REVISION: refusals.StaleRevision,
            Verdict.CHANGE_ID_REUSED: refusals.ChangeIdReused,
            Verdict.UNKNOWN_ORGANISATION: refusals.UnknownOrganisation,
            Verdict.KEY_NAME_TAKEN: refusals.KeyNameTaken,
            Verdict.KEY_DIFFERS: refusals.KeyDiffers,
        }
    )
)


@dataclasses.dataclass(frozen=True)
class Operations:
    """Backend of the administration API on one control member."""

    member: member.Member
    state: state.ConfigurationState
    directory: directory.Directory
    proposer: proposals.Proposer
    token_sha256: str
    usage: windows.UsageState

    async def commit_change(
        self,
        command: commands_pb2.Command,
    ) -> result.Result[int, failures.Failure]:
        """Commit `command` and return the revision that it made.

        The failure is `ChangeUnknown` when the change may still be
        committed, otherwise the type that belongs to the verdict.
        """
        deadline = clock.monotonic_seconds() + PROPOSE_TIMEOUT_SECONDS
        proposed = await self.proposer.propose_until(
            command.SerializeToString(),
            deadline,
        )
        if isinstance(proposed, result.Err):
            return result.Err(
                refusals.ChangeUnknown(
                    str(proposed.err_value),
                    failures.Ran.unknown,
                    retry_after_seconds=1,
                ),
            )
        return self.result_of(
            commands_pb2.ChangeOutcome.FromString(proposed.ok_value)
        )

    def result_of(
        self, outcome: commands_pb2.ChangeOutcome
    ) -> result.Result[int, failures.Failure]:
        """Return the revision that a change made, or its failure."""
        if outcome.verdict == Verdict.ACCEPTED:
            return result.Ok(outcome.revision)
        failure_type = VERDICT_FAILURES[outcome.verdict]
        return result.Err(
            failure_type(f'revision {outcome.revision} is in force')
        )

    async def wait_in_force(self, revision: int, deadline: float) -> None:
        """Wait until every process has `revision` or may no longer serve.

        Return at `deadline` on the monotonic clock in any case.
        """
        now = clock.monotonic_seconds()
        while now < deadline and not self._is_in_force(revision, now):
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
            now = clock.monotonic_seconds()

    async def wait_until_current(
        self,
        now: float,
    ) -> result.Result[int, failures.Failure]:
        """Wait until this state has every change accepted up to `now`.

        Return its revision, or `NotCurrent` after `READ_TIMEOUT_SECONDS`.
        """
        deadline = now + READ_TIMEOUT_SECONDS
        while self.member.freshness.as_of < now:
            if clock.monotonic_seconds() >= deadline:
                return result.Err(
                    refusals.NotCurrent(
                        f'{self.member.name} has no contact to a majority',
                        retry_after_seconds=1,
                    ),
                )
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        return result.Ok(self.state.configuration.revision)

    def _is_in_force(self, revision: int, now: float) -> bool:
        if self.state.configuration.revision < revision:
            return False
        if not self.directory.old_leases_expired(now):
            return False
        return self.directory.is_in_force(revision, self.member.peers)
