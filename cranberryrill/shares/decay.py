"""Sums that decay with time."""

import math

HALF_LIFE_SECONDS = 10.0
# A constant rate of use accumulates to the rate times this time.
MEAN_LIFE_SECONDS = HALF_LIFE_SECONDS / math.log(2)


def factor(seconds: float) -> float:
    """Return the part of a sum that is left after some time.

    A negative time counts as 0, so that a late report can't grow.
    """
    return math.exp2(-max(seconds, 0) / HALF_LIFE_SECONDS)


def accumulated(rate: float, seconds: float) -> float:
    """Return the decayed sum of a constant rate over the latest time."""
    return rate * MEAN_LIFE_SECONDS * (1 - factor(seconds))


class DecayingSum:
    """Sum of amounts, of which each decays from the time of its addition."""

    def __init__(self, amount: float = 0.0, at: float = -math.inf) -> None:
        self.amount = amount
        # Time to which the amount is decayed.
        self.at = at

    def add(self, amount: float, now: float) -> None:
        """Add an amount at the time `now`."""
        self.amount = self.value(now) + amount
        self.at = max(now, self.at)

    def value(self, now: float) -> float:
        """Return the sum, decayed to the time `now`."""
        if not self.amount:
            return 0
        return self.amount * factor(now - self.at)
