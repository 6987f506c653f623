"""Remember a target's demand for as long as decisions look back."""

import collections
import dataclasses

# A demand is the mean of the samples of this many seconds.
SMOOTHING_SECONDS = 20.0


@dataclasses.dataclass(frozen=True)
class Sample:
    """Requests that ran or waited at one moment."""

    at: float
    requests: int


class DemandHistory:
    """Keep the samples of the last `kept_seconds`."""

    def __init__(self, retention_seconds: float) -> None:
        self.retention_seconds = retention_seconds
        self.samples: collections.deque[Sample] = collections.deque()

    def add(self, requests: int, now: float) -> None:
        """Take a sample and drop the oldest."""
        self.samples.append(Sample(now, requests))
        oldest = now - self.retention_seconds - SMOOTHING_SECONDS
        while self.samples[0].at < oldest:
            self.samples.popleft()

    def covers(self, now: float, seconds: float) -> bool:
        """Say whether the samples reach back so far."""
        return bool(self.samples) and self.samples[0].at <= now - seconds

    def mean(self, now: float) -> float:
        """Return the mean demand just before `now`."""
        near = [
            one.requests
            for one in self.samples
            if now - SMOOTHING_SECONDS <= one.at <= now
        ]
        return sum(near) / len(near) if near else 0

    def peak(self, now: float, seconds: float) -> int:
        """Return the highest demand of the last `seconds`."""
        return max(
            (one.requests for one in self.samples if one.at >= now - seconds),
            default=0,
        )

    def forecast(self, now: float, seconds: float) -> float:
        """Return the demand in `seconds` if it goes on growing as it did."""
        present = self.mean(now)
        if not self.covers(now, seconds):
            return present
        growth = present - self.mean(now - seconds)
        return present + max(growth, 0)
