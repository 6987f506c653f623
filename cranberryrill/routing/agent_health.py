"""Track the health of each agent as one entry observes it."""

import collections

# An agent's announcement includes a dispatch after this long at most.
ANNOUNCEMENT_DELAY_SECONDS = 0.8
# After this many failures in a row, an agent receives only probes.
EJECTION_FAILURE_COUNT = 2
MIN_EJECTION_SECONDS = 1.0
MAX_EJECTION_SECONDS = 8.0
# Interval of the requests that test whether a slow agent has recovered.
PROBE_INTERVAL_SECONDS = 1.0


class AgentHealth:
    """Recent dispatches and failures of one agent, seen from this entry."""

    def __init__(self) -> None:
        self.dispatch_times: collections.deque[float] = collections.deque()
        self.consecutive_failures = 0
        self.ejected_until = float('-inf')
        self.last_dispatch_at = float('-inf')

    def unannounced_dispatches(self, now: float) -> int:
        """Return how many dispatches its announced load may not include."""
        while (
            self.dispatch_times
            and self.dispatch_times[0] < now - ANNOUNCEMENT_DELAY_SECONDS
        ):
            self.dispatch_times.popleft()
        return len(self.dispatch_times)

    def is_ejected(self, now: float) -> bool:
        """Return whether failures exclude the agent from routing at `now`."""
        return now < self.ejected_until

    def probe_is_due(self, now: float) -> bool:
        """Return whether a slow agent may be probed at `now`."""
        return now >= self.last_dispatch_at + PROBE_INTERVAL_SECONDS

    def record_dispatch(self, now: float) -> None:
        """Record a request sent to the agent."""
        self.dispatch_times.append(now)
        self.last_dispatch_at = now
        if self.consecutive_failures >= EJECTION_FAILURE_COUNT:
            # Allows one probe at a time: the agent stays ejected until the
            # probe succeeds or the ejection expires.
            self._eject(now)

    def record_success(self) -> None:
        """Reset the failure count and end an ejection."""
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
