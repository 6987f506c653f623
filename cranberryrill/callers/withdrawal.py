"""End open requests whose key was withdrawn or can't be checked."""

import asyncio

from cranberryrill import clock, failures
from cranberryrill.callers import handlers
from cranberryrill.membership import serving_lease, timing


class WithdrawalMonitor:
    """Monitor that checks the keys of all open requests."""

    def __init__(
        self,
        holder: serving_lease.Holder,
        open_requests: set[handlers.CallerHandler],
    ) -> None:
        self.holder = holder
        self.open_requests = open_requests

    async def run(self) -> None:
        """Check after each update, and at least once per renewal period."""
        while True:
            try:
                async with self.holder.updated:
                    await asyncio.wait_for(
                        self.holder.updated.wait(),
                        timing.RENEWAL_PERIOD_SECONDS,
                    )
            except asyncio.TimeoutError:
                pass
            self.check(clock.monotonic_seconds())

    def check(self, now: float) -> None:
        """Interrupt each request whose key was withdrawn or can't be checked.

        A key can be checked only while the configuration is proved current.
        `now` is in seconds on the monotonic clock.
        """
        may_serve = self.holder.may_serve(now)
        for request in list(self.open_requests):
            organisation = self.holder.configuration.organisation_for_key(
                request.digest
            )
            if organisation != request.organisation:
                request.interrupt(
                    failures.KeyWithdrawn(
                        'the key was withdrawn',
                        _run_state(request),
                    ),
                )
            elif not may_serve:
                request.interrupt(
                    failures.NotServing(
                        'this entry has no current configuration',
                        _run_state(request),
                    ),
                )


def _run_state(request: handlers.CallerHandler) -> failures.Ran:
    return failures.Ran.yes if request.started else failures.Ran.unknown
