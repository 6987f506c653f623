"""Measure the upstream's speed from the output of running requests."""

# A measurement of this age has half the weight of a new one.
HALF_LIFE_SECONDS = 1.0


class SpeedMeter:
    """Exponentially decaying average of the time per token of a request."""

    def __init__(self, now: float) -> None:
        self.tokens = 0.0
        self.busy_seconds = 0.0
        self.recorded_at = now

    def record(self, tokens: int, streams: int, now: float) -> None:
        """Add the tokens of `streams` answers since the last call."""
        elapsed = max(now - self.recorded_at, 0)
        self.recorded_at = now
        if not streams:
            return
        # Without running answers the last measurement is kept.
        decay = 0.5 ** (elapsed / HALF_LIFE_SECONDS)
        self.tokens = self.tokens * decay + tokens
        self.busy_seconds = self.busy_seconds * decay + elapsed * streams

    def seconds_per_token(self) -> float:
        """Return the seconds between tokens; 0 before any request ran."""
        return self.busy_seconds / max(self.tokens, 1)
