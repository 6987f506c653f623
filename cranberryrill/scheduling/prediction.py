"""Predict how long a request waits, from what the agent has seen."""

# The weight of the newest observation against all earlier ones.
SMOOTHING_FACTOR = 0.15


class MovingAverage:
    """Follow a value that changes slowly."""

    def __init__(self) -> None:
        self.value = 0.0
        self.has_samples = False

    def add(self, observed: float) -> None:
        """Take one observation."""
        if self.has_samples:
            self.value += SMOOTHING_FACTOR * (observed - self.value)
            return
        self.value = observed
        self.has_samples = True


def predict_wait(
    ahead: int,
    free: int,
    usable: float,
    service_seconds: float,
) -> float:
    """Return the seconds until a request with `ahead` before it starts.

    `free` places can be had at once, `usable` is how many the class can
    hold at most, and each is held for `service_seconds` on average.
    """
    if ahead < free:
        return 0
    return (ahead - free + 1) * service_seconds / max(usable, 1)
