"""Work factor of the VM of an upstream: how long work takes there now."""

import math

# The figure of a VM whose work takes as long as usual.
USUAL_WORK = 100
# Figures outside this range are taken as its nearest end.
MIN_WORK = 25
MAX_WORK = 1000
# The weight of a figure falls to zero in this time. VMs are slower for about as
# long at a time.
LIFETIME_SECONDS = 0.6
# A figure counts for at most this many times the measured speed, so that a
# false one can't attract all requests.
MAX_SPEED_UP = 2
# Each figure moves the typical one by at most this share.
STEP = 0.03


class WorkFactor:
    """Latest work factor of one upstream, and its typical value."""

    def __init__(self) -> None:
        self.latest = float(USUAL_WORK)
        self.received_at = float('-inf')
        # Approximate median, which short slow periods and single false figures
        # barely move.
        self.typical = float(USUAL_WORK)

    def record(self, figure: int, now: float) -> None:
        """Record the figure of a response; one out of range is clamped."""
        self.latest = float(min(max(figure, MIN_WORK), MAX_WORK))
        self.received_at = now
        change = math.log(self.latest / self.typical)
        self.typical *= math.exp(min(max(change, -STEP), STEP))

    def typical_slowdown(self) -> float:
        """Return how much longer than usual work takes there mostly."""
        return self.typical / USUAL_WORK

    def slowdown(self, now: float) -> float:
        """Return how much longer than usual work takes there now."""
        typical = self.typical_slowdown()
        age = max(now - self.received_at, 0)
        weight = max(1 - age / LIFETIME_SECONDS, 0)
        current = weight * self.latest / USUAL_WORK + (1 - weight) * typical
        return max(current, typical / MAX_SPEED_UP)
