"""Predict from past service times how long a request will wait."""

# Weight of the newest observation; all earlier ones share the rest.
SMOOTHING_FACTOR = 0.15


class MovingAverage:
    """Exponential moving average; `value` is 0 without observations."""

    def __init__(self) -> None:
        self.value = 0.0
        self.has_samples = False

    def add(self, observed: float) -> None:
        """Add one observation."""
        if self.has_samples:
            self.value += SMOOTHING_FACTOR * (observed - self.value)
            return
        self.value = observed
        self.has_samples = True


def predict_wait(
    ahead: int,
    available: int,
    usable: float,
    service_seconds: float,
) -> float:
    """Return the seconds until a request starts.

    `ahead` requests start before it. `available` slots can be taken at once,
    and the class can use at most `usable` slots. A request occupies a slot
    for `service_seconds` on average.
    """
    if ahead < available:
        return 0
    return (ahead - available + 1) * service_seconds / max(usable, 1)
