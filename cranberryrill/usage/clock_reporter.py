"""Seal and report usage windows that are aligned to the wall clock.

Only the member that holds authority seals and reports.
"""

import asyncio
import collections
import http
import logging
import typing
from collections import abc as collection_types

import result

from cranberryrill import clock
from cranberryrill.authority import backoff, holder, platform_client
from cranberryrill.state import commands_pb2
from cranberryrill.usage import clock_windows, timing, usage_pb2

LOGGER = logging.getLogger(__name__)
MILLISECONDS_PER_SECOND = 1000
# Delay from the end of a window to its sealing. Entries submit their counts
# every second; the delay leaves time to submit once more after a failure.
SEAL_DELAY_SECONDS = 3.0
FIRST_NON_SUCCESS_STATUS = http.HTTPStatus.MULTIPLE_CHOICES


class ReportFormat(typing.Protocol):
    """Encoding of a report as its receiver expects it."""

    def build_message(
        self,
        window: int,
        counts: collection_types.Mapping[str, int],
    ) -> platform_client.Message:
        """Return the report of a window, the same bytes each time."""


class TimeSource(typing.Protocol):
    """Wall clock derived from the monotonic clock."""

    def unix_ms(self, now: float) -> float:
        """Return Unix time in milliseconds at `now`, in monotonic seconds."""


def due_window(unix_ms: float, window_seconds: float) -> int:
    """Return the newest window that can be sealed at `unix_ms`.

    A window can be sealed `SEAL_DELAY_SECONDS` after its end. Its number is
    the Unix time at its start divided by `window_seconds`.
    """
    seconds = unix_ms / MILLISECONDS_PER_SECOND - SEAL_DELAY_SECONDS
    return int(seconds // window_seconds) - 1


class ClockReporter:
    """Seal due windows and report each one until it is acknowledged."""

    def __init__(
        self,
        authority: holder.Authority,
        state: clock_windows.ClockWindowsState,
        sender: platform_client.PlatformClient,
        report_format: ReportFormat,
        time_source: TimeSource,
        window_seconds: float,
    ) -> None:
        self.authority = authority
        self.state = state
        self.sender = sender
        self.report_format = report_format
        self.time_source = time_source
        self.window_seconds = window_seconds
        self.backoff = backoff.Backoff()

    async def run(self) -> None:
        """Seal and report, while holding authority, until this member stops."""
        while not self.authority.stopping:
            await asyncio.sleep(timing.REPORT_PERIOD_SECONDS)
            now = clock.monotonic_seconds()
            if self.authority.current(now) is not None:
                await self.step(now)

    async def step(self, now: float) -> None:
        """Seal the due windows, then report unreported windows in order.

        Stops at the first report that fails, and waits for the backoff. `now`
        is in monotonic seconds.
        """
        due = due_window(self.time_source.unix_ms(now), self.window_seconds)
        if due > self.state.sealed_to:
            sealed = await self.authority.commit(
                commands_pb2.Command(
                    seal_clock_window=usage_pb2.SealClockWindow(number=due),
                ),
            )
            LOGGER.info(
                'usage windows sealed',
                extra={
                    'to': due,
                    'outcome': 'ok' if sealed.is_ok() else str(sealed.err()),
                    'late_requests': self.state.late_requests,
                },
            )
        for number in self.state.unreported():
            if not await self._report(number):
                await self.backoff.wait()
                return
            self.backoff.reset()

    async def _report(self, number: int) -> bool:
        tenure = self.authority.current(clock.monotonic_seconds())
        if tenure is None or self.authority.stopping:
            return False
        counts = self.state.counts.get(number, collections.Counter())
        message = self.report_format.build_message(number, counts)
        status = await self.sender.send(message, tenure)
        acknowledged = _is_acknowledged(status)
        LOGGER.info(
            'usage report',
            extra={
                'window': number,
                'fencing': tenure.fencing,
                'requests': sum(counts.values()),
                'acknowledged': acknowledged,
                'outcome': str(status),
            },
        )
        if not acknowledged:
            return False
        marked = await self.authority.commit(
            commands_pb2.Command(
                mark_clock_window=usage_pb2.MarkClockWindow(number=number),
            ),
        )
        return marked.is_ok()


def _is_acknowledged(status: platform_client.SendResult) -> bool:
    if isinstance(status, result.Err):
        return False
    return http.HTTPStatus.OK <= status.ok_value < FIRST_NON_SUCCESS_STATUS
