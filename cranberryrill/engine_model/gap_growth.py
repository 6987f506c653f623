"""Growth of the event gap with the number of running requests."""

import math

# All upstreams of a service together measure the growth, which is a property of
# the engine, so its average may be longer than that of a speed.
HALF_LIFE_SECONDS = 20.0
# Assumed until it is measured, and the largest that is believed.
INITIAL_SHARE = 0.01
MAX_SHARE = 0.1
# The line is fitted once this many gaps were measured, at numbers of running
# requests whose standard deviation is at least 1.
MIN_GAPS = 30
MIN_VARIANCE = 1


class GapGrowth:
    """Line through gaps by running requests, with decaying weights.

    `share` is its slope as a share of the gap of a request that runs alone.
    """

    def __init__(self) -> None:
        self.share = INITIAL_SHARE
        self.weight = 0.0
        self.sum_running = 0.0
        self.sum_squares = 0.0
        self.sum_gaps = 0.0
        self.sum_products = 0.0
        self.recorded_at = float('-inf')

    def record(self, relative_gap: float, running: float, now: float) -> None:
        """Add a gap, as a multiple of the gap estimated for one alone."""
        age = max(now - self.recorded_at, 0)
        kept = math.exp2(-age / HALF_LIFE_SECONDS)
        self.weight = self.weight * kept + 1
        self.sum_running = self.sum_running * kept + running
        self.sum_squares = self.sum_squares * kept + running * running
        self.sum_gaps = self.sum_gaps * kept + relative_gap
        self.sum_products = self.sum_products * kept + running * relative_gap
        self.recorded_at = now
        self._fit()

    def _fit(self) -> None:
        spread = self.weight * self.sum_squares - self.sum_running**2
        if (
            self.weight < MIN_GAPS
            or spread < MIN_VARIANCE * self.weight * self.weight
        ):
            return
        slope = (
            self.weight * self.sum_products - self.sum_running * self.sum_gaps
        ) / spread
        alone = (self.sum_gaps - slope * self.sum_running) / self.weight
        if alone > 0:
            self.share = min(max(slope / alone, 0), MAX_SHARE)
