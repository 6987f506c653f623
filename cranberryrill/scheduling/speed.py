"""Measure the upstream's speed from what passes through the agent."""

# What was seen this many seconds ago counts half.
HALF_LIFE_SECONDS = 1.0


class SpeedMeter:
    """Follow the time between the tokens of one request."""

    def __init__(self, now: float) -> None:
        self.tokens = 0.0
        self.busy_seconds = 0.0
        self.recorded_at = now

    def record(self, tokens: int, streams: int, now: float) -> None:
        """Take the tokens that `streams` answers have had since last time."""
        elapsed = max(now - self.recorded_at, 0)
        self.recorded_at = now
        if not streams:
            return
        # An idle upstream keeps the last measure that it earned.
        fading = 0.5 ** (elapsed / HALF_LIFE_SECONDS)
        self.tokens = self.tokens * fading + tokens
        self.busy_seconds = self.busy_seconds * fading + elapsed * streams

    def seconds_per_token(self) -> float:
        """Return the seconds between tokens; 0 before anything ran."""
        return self.busy_seconds / max(self.tokens, 1)
