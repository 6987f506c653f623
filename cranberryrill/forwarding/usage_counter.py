"""Count which requests began to run, by window of true time."""

import collections
import logging

from cranberryrill import clock, identifiers
from cranberryrill.state import commands_pb2, submission
from cranberryrill.usage import usage_pb2

LOGGER = logging.getLogger(__name__)
MILLISECONDS_PER_SECOND = 1000
# Counts are handed over this often; a process that is killed loses those of
# this long.
HANDOVER_PERIOD_SECONDS = 1.0
SUBMIT_TIMEOUT_SECONDS = 3.0


class SteadyUnixClock:
    """Tell the time of day by a clock that nobody sets.

    The wall clock is read once, so that its later jumps change nothing.
    """

    def __init__(self, monotonic_seconds: float, unix_ms: int) -> None:
        self.offset_ms = unix_ms - monotonic_seconds * MILLISECONDS_PER_SECOND

    def unix_ms(self, now: float) -> float:
        """Return the time of day at the monotonic moment `now`."""
        return now * MILLISECONDS_PER_SECOND + self.offset_ms


class UsageCounter:
    """Hold counts until the log has them."""

    def __init__(
        self,
        submitter: submission.Submitter,
        source: str,
        time: SteadyUnixClock,
        window_seconds: float,
    ) -> None:
        self.submitter = submitter
        self.source = source
        self.incarnation = identifiers.new_identifier('usage')
        self.time = time
        self.window_ms = window_seconds * MILLISECONDS_PER_SECOND
        self.counts: collections.Counter[tuple[int, str]] = (
            collections.Counter()
        )
        self.batch: usage_pb2.AddWindowUsage | None = None
        self.number = 0

    def count(self, organisation: str, now: float) -> None:
        """Count a request that has begun to run."""
        if organisation:
            window = int(self.time.unix_ms(now) // self.window_ms)
            self.counts[(window, organisation)] += 1

    async def hand_over(self) -> bool:
        """Put what was counted into the log; say whether all of it is."""
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
