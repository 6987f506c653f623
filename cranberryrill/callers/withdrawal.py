"""End open requests whose key was withdrawn, or can't be checked."""

import asyncio

from cranberryrill import clock, failures
from cranberryrill.callers import handlers
from cranberryrill.membership import serving_lease, timing


class WithdrawalMonitor:
    """Watch the state in force on behalf of all open requests."""

    def __init__(
        self,
        holder: serving_lease.Holder,
        open_requests: set[handlers.CallerHandler],
    ) -> None:
        self.holder = holder
        self.open_requests = open_requests

    async def run(self) -> None:
        """Check after each update, and regularly."""
        while True:
            try:
                async with self.holder.updated:
                    await asyncio.wait_for(
                        self.holder.updated.wait(),
                        timing.RENEWAL_PERIOD,
                    )
            except asyncio.TimeoutError:
                pass
            self.check(clock.monotonic_seconds())

    def check(self, now: float) -> None:
        """End each request that may no longer run."""
        serves = self.holder.may_serve(now)
        for request in list(self.open_requests):
            known = self.holder.serving.organisation_of(request.digest)
            if known != request.organisation:
                request.interrupt(
                    failures.KeyWithdrawn(
                        'the key was withdrawn',
                        _ran(request),
                    ),
                )
            elif not serves:
                request.interrupt(
                    failures.NotServing(
                        'this entry has no current configuration',
                        _ran(request),
                    ),
                )


def _ran(request: handlers.CallerHandler) -> failures.Ran:
    return failures.Ran.yes if request.started else failures.Ran.unknown
