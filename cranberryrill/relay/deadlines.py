"""Carry one request's deadline over every hop.

Processes share no clock: each hop is told how much time is left when the
request is sent to it.
"""

import dataclasses

MILLISECONDS_PER_SECOND = 1000
TIMEOUT_HEADER = 'X-Request-Timeout-Ms'


@dataclasses.dataclass(frozen=True)
class Deadline:
    """Hold when the final answer is due, on this process's monotonic clock."""

    at: float = float('inf')

    def has_passed(self, now: float) -> bool:
        """Say whether no time is left."""
        return now >= self.at

    def remaining_seconds(self, now: float) -> float:
        """Return how much time is left; none is 0."""
        return max(self.at - now, 0)

    def remaining_ms(self, now: float) -> int:
        """Return what the next hop is told; without a deadline 0."""
        if self.at == float('inf'):
            return 0
        # A hop that is told 0 would take it for no deadline.
        return max(
            1, int(self.remaining_seconds(now) * MILLISECONDS_PER_SECOND)
        )


def from_timeout(timeout_ms: int, now: float) -> Deadline:
    """Return the deadline that a hop was told of; 0 sets none."""
    if not timeout_ms:
        return Deadline()
    return Deadline(now + timeout_ms / MILLISECONDS_PER_SECOND)
