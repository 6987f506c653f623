"""Count requests and measure how long they take, for the metrics address."""

import prometheus_client

# Seconds; from a plain service's answer to a long stream's end.
BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30)


class Instruments:
    """Hold the metrics of one forwarding process."""

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self.requests = prometheus_client.Counter(
            'cranberryrill_requests',
            'Requests by how they ended.',
            ('outcome',),
            registry=self.registry,
        )
        self.seconds = prometheus_client.Histogram(
            'cranberryrill_request_seconds',
            "Seconds from a request's last byte to the end of its answer.",
            ('route',),
            buckets=BUCKETS,
            registry=self.registry,
        )

    def count(self, route: str, outcome: str, seconds: float) -> None:
        """Count one request that has ended."""
        self.requests.labels(outcome).inc()
        if route:
            self.seconds.labels(route).observe(seconds)

    def render(self) -> bytes:
        """Return all metrics as text."""
        return prometheus_client.generate_latest(self.registry)
