"""Count started requests by organisation and clock window."""

import collections
import logging

from cranberryrill import clock, identifiers
from cranberryrill.state import commands_pb2, submission
from cranberryrill.usage import usage_pb2

LOGGER = logging.getLogger(__name__)
MILLISECONDS_PER_SECOND = 1000
# How often counts are submitted to the replicated log. A process that is killed
# loses the counts of one period.
HANDOVER_PERIOD_SECONDS = 1.0
SUBMIT_TIMEOUT_SECONDS = 3.0


class UsageCounter:
    """Counts of started requests that the replicated log has not yet stored.

    A batch that could not be submitted is kept and submitted again with the
    same number, so that the log can recognise a duplicate.
    """

    def __init__(
        self,
        submitter: submission.Submitter,
        source: str,
        unix_clock: clock.SteadyUnixClock,
        window_seconds: float,
    ) -> None:
        self.submitter = submitter
        self.source = source
        self.incarnation = identifiers.new_identifier('usage')
        self.unix_clock = unix_clock
        self.window_ms = window_seconds * MILLISECONDS_PER_SECOND
        self.counts: collections.Counter[tuple[int, str]] = (
            collections.Counter()
        )
        self.batch: usage_pb2.AddWindowUsage | None = None
        # Number of the latest batch.
        self.number = 0

    def count(self, organisation: str, now: float) -> None:
        """Count a request that an upstream has started to process.

        Requests without an organisation are not counted.
        """
        if organisation:
            window = int(self.unix_clock.unix_ms(now) // self.window_ms)
            self.counts[(window, organisation)] += 1

    async def hand_over(self) -> bool:
        """Submit the counts to the replicated log.

        Return whether nothing is left to submit.
        """
        if self.batch is None:
            self._make_batch()
        if self.batch is None:
            return True
        submitted = await self.submitter.submit(
            commands_pb2.Command(add_window_usage=self.batch),
            clock.monotonic_seconds() + SUBMIT_TIMEOUT_SECONDS,
        )
        if submitted.is_err():
            LOGGER.warning(
                'usage not handed over',
                extra={
                    'number': self.batch.number,
                    'cause': str(submitted.err()),
                },
            )
            return False
        self.batch = None
        return not self.counts

    def _make_batch(self) -> None:
        if not self.counts:
            return
        self.number += 1
        self.batch = usage_pb2.AddWindowUsage(
            source=self.source,
            incarnation=self.incarnation,
            number=self.number,
            lines=[
                usage_pb2.WindowLine(
                    window=window,
                    organisation=organisation,
                    requests=requests,
                )
                for (window, organisation), requests in self.counts.items()
            ],
        )
        self.counts.clear()
