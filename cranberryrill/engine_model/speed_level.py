"""Quantised speed of an upstream, on which entries agree."""

import math

# Speeds that differ by this ratio are one level apart.
RATIO = 1.6
# The level follows the average over about this time: it moves the decode pool
# and the sessions, which costs more than some seconds on a slower upstream.
AVERAGE_SECONDS = 5.0
# A level changes once the speed is this many levels away from it: more than
# half, so that noise of the measurements doesn't move the order of upstreams.
HYSTERESIS = 0.7
# A speed is averaged over this time before it counts.
MIN_SECONDS = 0.3
# Upstreams beyond these levels are like those at them.
MIN_LEVEL = -2
MAX_LEVEL = 2


class SpeedLevel:
    """Level of one upstream: 0 for the median speed, more if faster."""

    def __init__(self) -> None:
        self.level = 0
        self.average = 0.0
        self.seconds = 0.0
        self.updated_at: float | None = None

    def update(self, ratio: float, now: float) -> None:
        """Apply the ratio of the present speed to the median."""
        elapsed = 0.0
        if self.updated_at is not None:
            elapsed = min(max(now - self.updated_at, 0), AVERAGE_SECONDS)
        self.updated_at = now
        self.seconds = min(self.seconds + elapsed, AVERAGE_SECONDS)
        if self.seconds <= 0:
            return
        exact = math.log(ratio) / math.log(RATIO)
        self.average += (exact - self.average) * elapsed / self.seconds
        is_far = abs(self.average - self.level) >= HYSTERESIS
        if is_far and self.seconds >= MIN_SECONDS:
            self.level = min(max(round(self.average), MIN_LEVEL), MAX_LEVEL)
