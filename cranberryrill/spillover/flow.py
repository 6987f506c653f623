"""Share of the requests of a service that leaves for one data centre."""

import math

# Pressure at which requests start to leave, at which none leaves any more, and
# from which all leave. With the first two equal, a flow opens and closes with
# the noise of a constant load.
START_PRESSURE = 1.0
STOP_PRESSURE = 0.8
FULL_PRESSURE = 1.2
# Pressure is averaged over about this time: long enough for many requests (with
# 0.3 s, a flow opened and closed about once a second), and far less than demand
# takes to move between data centres.
AVERAGE_SECONDS = 1.0
# A single request with a higher pressure counts as this.
MAX_PRESSURE = 3.0


class Flow:
    """Pressure to send requests of one service to one data centre.

    `changes` counts how often requests started or ceased to leave.
    """

    def __init__(self) -> None:
        self.pressure = 0.0
        self.is_open = False
        self.changes = 0
        self.recorded_at = float('-inf')

    def record(self, pressure: float, now: float) -> None:
        """Record the pressure of one request.

        A request that is considered repeatedly, since it waits, counts as one
        pressure that lasts.
        """
        elapsed = max(now - self.recorded_at, 0)
        weight = 1 - math.exp(-elapsed / AVERAGE_SECONDS)
        bounded = min(max(pressure, 0), MAX_PRESSURE)
        self.pressure += (bounded - self.pressure) * weight
        self.recorded_at = now
        bound = STOP_PRESSURE if self.is_open else START_PRESSURE
        if (self.pressure >= bound) != self.is_open:
            self.is_open = not self.is_open
            self.changes += 1

    def share(self, pressure: float) -> float:
        """Return the share of requests with this pressure that leaves.

        It grows in proportion to the pressure, that of the request itself or
        that of the latest ones. A request whose pressure is too low for the
        present state doesn't leave.
        """
        least = STOP_PRESSURE if self.is_open else START_PRESSURE
        if pressure < least:
            return 0
        largest = max(pressure, self.pressure if self.is_open else 0)
        return min((largest - least) / (FULL_PRESSURE - least), 1)
