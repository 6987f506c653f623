"""Seal and report the usage of each window of the wall clock."""

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
# Entries hand over their counts every second, and once more after a failure.
SEAL_DELAY_SECONDS = 3.0
FIRST_NON_SUCCESS_STATUS = http.HTTPStatus.MULTIPLE_CHOICES


class ReportFormat(typing.Protocol):
    """Write a report as its receiver reads it."""

    def build_message(
        self,
        window: int,
        counted: collection_types.Mapping[str, int],
    ) -> platform_client.Message:
        """Return the same bytes for the same window each time."""


class TimeSource(typing.Protocol):
    """Tell the time of day."""

    def unix_ms(self, now: float) -> float:
        """Return the time of day at the monotonic moment `now`."""


def due_window(unix_ms: float, window_seconds: float) -> int:
    """Return the newest window that can be sealed."""
    seconds = unix_ms / MILLISECONDS_PER_SECOND - SEAL_DELAY_SECONDS
    return int(seconds // window_seconds) - 1


class ClockReporter:
    """Report each sealed window until its receiver acknowledges it."""

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
        """Seal and report until this member stops."""
        while not self.authority.stopping:
            await asyncio.sleep(timing.REPORT_PERIOD_SECONDS)
            now = clock.monotonic_seconds()
            if self.authority.current(now) is not None:
                await self.step(now)

    async def step(self, now: float) -> None:
        """Seal what is due, and report what is sealed."""
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
        counted = self.state.counts.get(number, collections.Counter())
        message = self.report_format.build_message(number, counted)
        sent = await self.sender.send(message, tenure)
        acknowledged = _is_acknowledged(sent)
        LOGGER.info(
            'usage report',
            extra={
                'window': number,
                'fencing': tenure.fencing,
                'requests': sum(counted.values()),
                'acknowledged': acknowledged,
                'outcome': str(sent),
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


def _is_acknowledged(sent: platform_client.SendResult) -> bool:
    if isinstance(sent, result.Err):
        return False
    return http.HTTPStatus.OK <= sent.ok_value < FIRST_NON_SUCCESS_STATUS
