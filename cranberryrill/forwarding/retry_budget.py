"""Limit the number of retries across all processes."""

import collections
import dataclasses

# Share of a process's slack that it may spend in its first window. In later
# windows it may spend the rest.
NEW_PROCESS_SLACK_SHARE = 0.3


@dataclasses.dataclass(frozen=True)
class RetryLimits:
    """Retry limits for one service, shared by all processes."""

    # Retries allowed per request.
    ratio: float
    # Additional retries per window, for all processes together.
    slack: float
    window_seconds: float


class RetryBudget:
    """Track this process's share of the retry budget of one service.

    Each request of this process adds to the budget, and the slack is divided
    by the number of processes. A process that has just started gets a small
    part of its slack, since the process that it replaces may have spent the
    rest in the same window. Times are in seconds of the monotonic clock.
    """

    def __init__(self, limits: RetryLimits, now: float) -> None:
        self.limits = limits
        self.started_at = now
        self.requests: collections.deque[float] = collections.deque()
        self.retries: collections.deque[float] = collections.deque()

    def record_request(self, now: float) -> None:
        """Add a caller's request to the budget."""
        self._drop_expired(now)
        self.requests.append(now)

    def try_spend(self, now: float, process_count: int) -> bool:
        """Spend one retry; return False if the budget is used up."""
        self._drop_expired(now)
        if len(self.retries) + 1 > self._allowed(now, process_count):
            return False
        self.retries.append(now)
        return True

    def _allowed(self, now: float, process_count: int) -> float:
        share = self.limits.slack / max(process_count, 1)
        is_new = now < self.started_at + self.limits.window_seconds
        share *= (
            NEW_PROCESS_SLACK_SHARE if is_new else 1 - NEW_PROCESS_SLACK_SHARE
        )
        return self.limits.ratio * len(self.requests) + share

    def _drop_expired(self, now: float) -> None:
        oldest = now - self.limits.window_seconds
        for timestamps in (self.requests, self.retries):
            while timestamps and timestamps[0] <= oldest:
                timestamps.popleft()
