"""Measure the latency to each data centre by connection times."""

import math

# Assumed time to connect to another data centre until it is measured.
INITIAL_MS = 1.5
# Connection times include waits of this process, so that the least of some
# seconds is the latency. It may change when a path does.
WINDOW_SECONDS = 5.0
# Round trips of a request: one to connect, one for request and response.
ROUND_TRIPS = 2
# Bytes that a new connection sends before the first acknowledgement; the number
# doubles with each round trip.
FIRST_WINDOW_BYTES = 14_600
MILLISECONDS_PER_SECOND = 1000


class Least:
    """Least of the values of the present window and of the one before it."""

    def __init__(self) -> None:
        self.current = math.inf
        self.previous = math.inf
        self.began_at = float('-inf')

    def record(self, measured: float, now: float) -> None:
        """Add a measurement."""
        if now >= self.began_at + WINDOW_SECONDS:
            # After a pause, the former values still count until the next one.
            self.previous = self.current
            self.current = math.inf
            self.began_at = now
        self.current = min(self.current, measured)

    def value(self) -> float:
        """Return the least value; infinite without a measurement."""
        return min(self.current, self.previous)


class Latencies:
    """Connection times from this process to the data centres."""

    def __init__(self) -> None:
        self.by_data_centre: dict[str, Least] = {}

    def record(self, data_centre: str, seconds: float, now: float) -> None:
        """Record how long it took to connect to an upstream."""
        if seconds <= 0 or not math.isfinite(seconds):
            return
        least = self.by_data_centre.setdefault(data_centre, Least())
        least.record(seconds * MILLISECONDS_PER_SECOND, now)

    def connect_ms(self, data_centre: str) -> float:
        """Return the time to connect to an upstream of a data centre."""
        least = self.by_data_centre.get(data_centre)
        return INITIAL_MS if least is None else least.value()

    def way_ms(self, data_centre: str, body_bytes: int) -> float:
        """Return how long a request is under way to a data centre and back."""
        windows = max(body_bytes / FIRST_WINDOW_BYTES, 1)
        trips = ROUND_TRIPS + math.log2(windows)
        return self.connect_ms(data_centre) * trips
