"""Submit an agent's usage to the control group, each batch exactly once."""

import asyncio
import logging
import typing

import result

from cranberryrill import clock
from cranberryrill.relay import answers, relay_pb2
from cranberryrill.state import commands_pb2, submission
from cranberryrill.usage import metering, timing, usage_pb2, windows

LOGGER = logging.getLogger(__name__)


class CommandSubmitter(typing.Protocol):
    """Client that commits commands to the replicated log."""

    async def submit(
        self,
        command: commands_pb2.Command,
        deadline: float,
    ) -> submission.Submitted:
        """Submit until there is an outcome or `deadline` has passed.

        `deadline` is in monotonic seconds.
        """


class BatchSubmitter:
    """Collect usage and submit it in numbered batches, one at a time.

    A batch is resent unchanged until its commit is acknowledged; control
    ignores a batch number that it has already applied.
    """

    def __init__(
        self,
        submitter: CommandSubmitter,
        agent: str,
        incarnation: str,
    ) -> None:
        self.submitter = submitter
        self.agent = agent
        self.incarnation = incarnation
        self.totals = windows.UsageTotals()
        self.last_number = 0
        # The batch whose commit has not been acknowledged yet.
        self.pending: usage_pb2.AddUsage | None = None
        self.submit_lock = asyncio.Lock()

    def add(
        self,
        call: relay_pb2.Call,
        answer: answers.Answer,
        now: float,
    ) -> None:
        """Add the usage of an ended answer.

        `now`, which the relay passes to its hooks, is not used.
        """
        line = metering.usage_line(call, answer)
        if line is not None:
            self.totals.add([line])

    async def run(self) -> None:
        """Submit the collected usage periodically, until cancelled."""
        while True:
            await asyncio.sleep(timing.FLUSH_PERIOD_SECONDS)
            await self.submit_next()

    async def flush(self, deadline: float) -> None:
        """Submit all remaining usage and wait until it is acknowledged.

        At `deadline`, in monotonic seconds, usage that is left is logged as
        lost.
        """
        while self._has_unacknowledged():
            if clock.monotonic_seconds() >= deadline:
                LOGGER.error('usage lost', extra={'batch': self.last_number})
                return
            if not await self.submit_next():
                await asyncio.sleep(timing.RETRY_DELAY_SECONDS)

    async def submit_next(self) -> bool:
        """Submit the pending or next batch.

        Returns whether it was acknowledged; true if there was nothing to
        submit.
        """
        async with self.submit_lock:
            return await self._submit_next()

    async def _submit_next(self) -> bool:
        if self.pending is None:
            self.pending = self._next_batch()
        if self.pending is None:
            return True
        submitted = await self.submitter.submit(
            commands_pb2.Command(add_usage=self.pending),
            clock.monotonic_seconds() + timing.SUBMIT_TIMEOUT_SECONDS,
        )
        if isinstance(submitted, result.Err):
            LOGGER.warning(
                'usage not acknowledged',
                extra={
                    'batch': self.pending.number,
                    'cause': submitted.err_value.reason,
                },
            )
            return False
        self.pending = None
        return True

    def _next_batch(self) -> usage_pb2.AddUsage | None:
        lines = self.totals.lines()
        if not lines:
            return None
        self.totals = windows.UsageTotals()
        self.last_number += 1
        return usage_pb2.AddUsage(
            agent=self.agent,
            incarnation=self.incarnation,
            number=self.last_number,
            lines=lines,
        )

    def _has_unacknowledged(self) -> bool:
        return self.pending is not None or bool(self.totals.by_key)
