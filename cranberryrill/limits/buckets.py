"""Token bucket that meters a rate."""


class TokenBucket:
    """Allowance that refills at a steady rate; it may become negative."""

    def __init__(self, now: float, capacity: float) -> None:
        self.level = capacity
        self.refilled_at = now

    def refill(self, rate: float, capacity: float, now: float) -> None:
        """Add `rate` per second since the last refill, up to `capacity`."""
        refilled = rate * max(now - self.refilled_at, 0)
        self.level = min(self.level + refilled, capacity)
        self.refilled_at = now

    def spend(self, amount: float) -> None:
        """Subtract `amount`, even if the level falls below zero."""
        self.level -= amount

    def seconds_until(self, amount: float, rate: float) -> float:
        """Return the seconds until the level reaches `amount`, or 0."""
        return max(amount - self.level, 0) / rate
