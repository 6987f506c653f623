"""Averages of measurements that count less the older they are."""

import math

# A measurement counts half as much after this time: long enough to hold some
# responses of each upstream, short enough that an upstream which recovers is
# used again within seconds.
HALF_LIFE_SECONDS = 3.0


class DecayingRatio:
    """Ratio of two decaying sums, such as milliseconds for each token.

    `samples` is the decayed number of measurements.
    """

    def __init__(self, half_life_seconds: float = HALF_LIFE_SECONDS) -> None:
        self.half_life_seconds = half_life_seconds
        self.numerator = 0.0
        self.denominator = 0.0
        self.samples = 0.0
        self.recorded_at = float('-inf')

    def record(
        self,
        numerator: float,
        denominator: float,
        now: float,
        samples: float = 1,
    ) -> None:
        """Add a measurement."""
        kept = self._kept(now)
        self.numerator = self.numerator * kept + numerator
        self.denominator = self.denominator * kept + denominator
        self.samples = self.samples * kept + samples
        self.recorded_at = now

    def ratio(self) -> float | None:
        """Return the average; None without a measurement."""
        if self.denominator <= 0:
            return None
        return self.numerator / self.denominator

    def samples_at(self, now: float) -> float:
        """Return the number of measurements, decayed to the time `now`."""
        return self.samples * self._kept(now)

    def _kept(self, now: float) -> float:
        age = max(now - self.recorded_at, 0)
        return math.exp2(-age / self.half_life_seconds)


class DecayingPeak:
    """Largest of the recent measurements, decaying to zero."""

    def __init__(self, half_life_seconds: float) -> None:
        self.half_life_seconds = half_life_seconds
        self.peak = 0.0
        self.recorded_at = float('-inf')

    def record(self, measured: float, now: float) -> None:
        """Add a measurement."""
        self.peak = max(self.recent(now), measured)
        self.recorded_at = now

    def recent(self, now: float) -> float:
        """Return the peak, decayed to the time `now`."""
        age = max(now - self.recorded_at, 0)
        return self.peak * math.exp2(-age / self.half_life_seconds)
