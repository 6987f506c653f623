"""Demand of a target over time, with its mean, peak and forecast."""

import collections
import dataclasses

# Window over which samples are averaged.
SMOOTHING_SECONDS = 20.0


@dataclasses.dataclass(frozen=True)
class Sample:
    """Number of running and waiting requests at one point in time.

    `at` is in monotonic seconds.
    """

    at: float
    requests: int


class DemandHistory:
    """Samples of the last `retention_seconds` and one smoothing window."""

    def __init__(self, retention_seconds: float) -> None:
        self.retention_seconds = retention_seconds
        self.samples: collections.deque[Sample] = collections.deque()

    def add(self, requests: int, now: float) -> None:
        """Add a sample taken at `now` and drop those past the retention."""
        self.samples.append(Sample(now, requests))
        oldest = now - self.retention_seconds - SMOOTHING_SECONDS
        while self.samples[0].at < oldest:
            self.samples.popleft()

    def covers(self, now: float, seconds: float) -> bool:
        """Return whether the samples reach back `seconds` before `now`."""
        return bool(self.samples) and self.samples[0].at <= now - seconds

    def mean(self, now: float) -> float:
        """Return the mean demand of the smoothing window that ends at `now`.

        Zero when the window holds no sample.
        """
        recent = [
            sample.requests
            for sample in self.samples
            if now - SMOOTHING_SECONDS <= sample.at <= now
        ]
        return sum(recent) / len(recent) if recent else 0

    def peak(self, now: float, seconds: float) -> int:
        """Return the highest sample of the last `seconds`, zero if none."""
        return max(
            (
                sample.requests
                for sample in self.samples
                if sample.at >= now - seconds
            ),
            default=0,
        )

    def forecast(self, now: float, seconds: float) -> float:
        """Return the demand expected `seconds` after `now`.

        Adds the growth over the last `seconds` to the present mean. A fall in
        demand, or a history that is too short, leaves the present mean.
        """
        present = self.mean(now)
        if not self.covers(now, seconds):
            return present
        growth = present - self.mean(now - seconds)
        return present + max(growth, 0)
