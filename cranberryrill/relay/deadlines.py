"""Propagate the deadline of a request over every hop.

Processes have no common clock, so each hop receives the time that is left
when the request is sent to it.
"""

import dataclasses

MILLISECONDS_PER_SECOND = 1000
TIMEOUT_HEADER = 'X-Request-Timeout-Ms'


@dataclasses.dataclass(frozen=True)
class Deadline:
    """The time by which a request must be answered.

    `at` is in seconds on the monotonic clock of this process; infinity means
    no deadline.
    """

    at: float = float('inf')

    def has_passed(self, now: float) -> bool:
        """Return whether no time is left at `now`."""
        return now >= self.at

    def remaining_seconds(self, now: float) -> float:
        """Return the seconds left, 0 once the deadline has passed."""
        return max(self.at - now, 0)

    def remaining_ms(self, now: float) -> int:
        """Return the timeout to send to the next hop, 0 without a deadline."""
        if self.at == float('inf'):
            return 0
        # 0 would mean no deadline, so at least 1 ms is sent.
        return max(
            1, int(self.remaining_seconds(now) * MILLISECONDS_PER_SECOND)
        )


def from_timeout(timeout_ms: int, now: float) -> Deadline:
    """Return the deadline for a received timeout; 0 means no deadline."""
    if not timeout_ms:
        return Deadline()
    return Deadline(now + timeout_ms / MILLISECONDS_PER_SECOND)
