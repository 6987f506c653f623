"""Remember what this entry has seen of each agent."""

import collections

# A dispatch shows in the agent's announcement after this long at most.
ANNOUNCEMENT_DELAY_SECONDS = 0.8
# An agent that fails so often in a row gets no more than probes.
EJECTION_FAILURE_COUNT = 2
MIN_EJECTION_SECONDS = 1.0
MAX_EJECTION_SECONDS = 8.0
# A slow agent is asked this often, to see whether it has recovered.
PROBE_INTERVAL_SECONDS = 1.0


class AgentHealth:
    """One agent, as seen from this entry."""

    def __init__(self) -> None:
        self.dispatch_times: collections.deque[float] = collections.deque()
        self.consecutive_failures = 0
        self.ejected_until = float('-inf')
        self.last_dispatch_at = float('-inf')

    def unannounced_dispatches(self, now: float) -> int:
        """Return how many own dispatches no announcement can show yet."""
        while (
            self.dispatch_times
            and self.dispatch_times[0] < now - ANNOUNCEMENT_DELAY_SECONDS
        ):
            self.dispatch_times.popleft()
        return len(self.dispatch_times)

    def is_ejected(self, now: float) -> bool:
        """Say whether the agent failed lately and is no probe's turn."""
        return now < self.ejected_until

    def probe_is_due(self, now: float) -> bool:
        """Say whether it is time to try a slow agent again."""
        return now >= self.last_dispatch_at + PROBE_INTERVAL_SECONDS

    def record_dispatch(self, now: float) -> None:
        """Count a request sent there."""
        self.dispatch_times.append(now)
        self.last_dispatch_at = now
        if self.consecutive_failures >= EJECTION_FAILURE_COUNT:
            # One probe at a time: the next waits for this one's outcome.
            self._eject(now)

    def record_success(self) -> None:
        """Trust the agent again."""
        self.consecutive_failures = 0
        self.ejected_until = float('-inf')

    def record_failure(self, now: float) -> None:
        """Count a failure of the agent or its upstream."""
        self.consecutive_failures += 1
        if self.consecutive_failures >= EJECTION_FAILURE_COUNT:
            self._eject(now)

    def _eject(self, now: float) -> None:
        doublings = min(
            self.consecutive_failures - EJECTION_FAILURE_COUNT,
            MAX_EJECTION_SECONDS,
        )
        seconds = min(MIN_EJECTION_SECONDS * 2**doublings, MAX_EJECTION_SECONDS)
        self.ejected_until = now + seconds
