"""Seal usage windows and report them to the platform.

Only the member that holds authority seals and reports.
"""

import asyncio
import dataclasses
import http
import logging

import result

from cranberryrill import clock
from cranberryrill.authority import backoff, holder, platform_client
from cranberryrill.state import commands_pb2
from cranberryrill.usage import reports, timing, usage_pb2, windows

LOGGER = logging.getLogger(__name__)
MILLISECONDS_PER_SECOND = 1000
FIRST_NON_SUCCESS_STATUS = http.HTTPStatus.MULTIPLE_CHOICES


@dataclasses.dataclass(frozen=True)
class ObservedWindow:
    """The open window, with the time when this member first saw it open.

    `first_seen_at` is in monotonic seconds.
    """

    number: int
    first_seen_at: float
    opened_unix_ms: int = 0

    def observe(self, window: usage_pb2.Window, now: float) -> 'ObservedWindow':
        """Return this, or a new observation if `window` is another one.

        A window whose opening time has changed counts as another one: the
        first window gets its opening time with its first usage.
        """
        observed = (self.number, self.opened_unix_ms)
        if observed == (window.number, window.opened_unix_ms):
            return self
        return ObservedWindow(window.number, now, window.opened_unix_ms)

    def is_due(
        self,
        window: usage_pb2.Window,
        now: float,
        unix_ms: int,
        window_seconds: float,
    ) -> bool:
        """Return whether an open window has lasted `window_seconds`.

        The first window is not due before its first usage has opened it. The
        wall clock only determines when to seal; the log determines the
        content. A wrong wall clock delays sealing by at most one window, since
        the monotonic time since `first_seen_at` counts as well.
        """
        if not window.opened_unix_ms:
            return False
        age = (unix_ms - window.opened_unix_ms) / MILLISECONDS_PER_SECOND
        return max(age, now - self.first_seen_at) >= window_seconds


class Reporter:
    """Seal due windows and report each one until it is acknowledged."""

    def __init__(
        self,
        authority: holder.Authority,
        state: windows.UsageState,
        sender: platform_client.PlatformClient,
        window_seconds: float,
    ) -> None:
        self.authority = authority
        self.state = state
        self.sender = sender
        self.window_seconds = window_seconds
        self.backoff = backoff.Backoff()
        self.observed = ObservedWindow(0, 0)

    async def run(self) -> None:
        """Seal and report, while holding authority, until this member stops."""
        while not self.authority.stopping:
            await asyncio.sleep(timing.REPORT_PERIOD_SECONDS)
            if self.authority.current(clock.monotonic_seconds()) is not None:
                await self.step()

    async def step(self) -> None:
        """Seal the open window if due, then report unreported windows in order.

        Stops at the first report that fails, and waits for the backoff.
        """
        window = self.state.open
        now = clock.monotonic_seconds()
        self.observed = self.observed.observe(window, now)
        due = self.observed.is_due(
            window,
            now,
            clock.unix_milliseconds(),
            self.window_seconds,
        )
        if due:
            await self.authority.commit(
                commands_pb2.Command(
                    seal_window=usage_pb2.SealWindow(number=window.number),
                ),
            )
        for sealed in self.state.unreported():
            if not await self._report(sealed):
                await self.backoff.wait()
                return
            self.backoff.reset()

    async def _report(self, window: usage_pb2.Window) -> bool:
        tenure = self.authority.current(clock.monotonic_seconds())
        if tenure is None or self.authority.stopping:
            return False
        message = platform_client.Message(
            path=reports.PATH,
            key=reports.idempotency_key(window),
            body=reports.encode_report(window),
        )
        status = await self.sender.send(message, tenure)
        if not _is_acknowledged(status):
            LOGGER.warning(
                'report not acknowledged',
                extra={'window': window.number, 'outcome': str(status)},
            )
            return False
        marked = await self.authority.commit(
            commands_pb2.Command(
                mark_reported=usage_pb2.MarkReported(number=window.number),
            ),
        )
        return marked.is_ok()


def _is_acknowledged(status: platform_client.SendResult) -> bool:
    if isinstance(status, result.Err):
        return False
    return http.HTTPStatus.OK <= status.ok_value < FIRST_NON_SUCCESS_STATUS
