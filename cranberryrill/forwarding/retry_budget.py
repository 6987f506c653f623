"""Bound how often requests are sent again, over all processes together."""

import collections
import dataclasses

# Of a process's slack, what it may spend before it has run for one window.
SHARE_WHEN_NEW = 0.3


@dataclasses.dataclass(frozen=True)
class RetryLimits:
    """Hold the bound that all processes share, for one service."""

    # Repeats for each request.
    ratio: float
    # Repeats allowed on top of that in one window.
    slack: float
    window_seconds: float


class RetryBudget:
    """Spend this process's part of the budget of one service.

    Its own requests pay for their share; the slack is divided by the number
    of processes. A process that has just started spends little of it, since
    the one before it may have spent the rest in this window.
    """

    def __init__(self, bounds: RetryLimits, now: float) -> None:
        self.bounds = bounds
        self.started_at = now
        self.requests: collections.deque[float] = collections.deque()
        self.repeats: collections.deque[float] = collections.deque()

    def record_request(self, now: float) -> None:
        """Count a caller's request."""
        self._forget(now)
        self.requests.append(now)

    def try_spend(self, now: float, processes: int) -> bool:
        """Take one repeat from the budget; say whether there was one."""
        self._forget(now)
        if len(self.repeats) + 1 > self._allowed(now, processes):
            return False
        self.repeats.append(now)
        return True

    def _allowed(self, now: float, processes: int) -> float:
        share = self.bounds.slack / max(processes, 1)
        is_new = now < self.started_at + self.bounds.window_seconds
        share *= SHARE_WHEN_NEW if is_new else 1 - SHARE_WHEN_NEW
        return self.bounds.ratio * len(self.requests) + share

    def _forget(self, now: float) -> None:
        oldest = now - self.bounds.window_seconds
        for counted in (self.requests, self.repeats):
            while counted and counted[0] <= oldest:
                counted.popleft()
