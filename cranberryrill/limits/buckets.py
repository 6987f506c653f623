"""Meter a rate with a bucket that fills steadily."""


class TokenBucket:
    """Hold what may be spent at once; it may go below nothing."""

    def __init__(self, now: float, capacity: float) -> None:
        self.level = capacity
        self.refilled_at = now

    def refill(self, rate: float, capacity: float, now: float) -> None:
        """Add what `rate` a second has earned, up to `depth`."""
        earned = rate * max(now - self.refilled_at, 0)
        self.level = min(self.level + earned, capacity)
        self.refilled_at = now

    def spend(self, amount: float) -> None:
        """Take `amount` out."""
        self.level -= amount

    def seconds_until(self, amount: float, rate: float) -> float:
        """Return the seconds until `amount` may be spent; 0 if it may."""
        return max(amount - self.level, 0) / rate
