"""Prometheus metrics of forwarded requests."""

import functools

import prometheus_client

from cranberryrill.quarantine import ledger

# From the duration of a short plain request to that of a long stream.
BUCKETS_SECONDS = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30)


class Instruments:
    """Request counter and duration histogram of one forwarding process."""

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self.requests = prometheus_client.Counter(
            'cranberryrill_requests',
            'Requests by how they ended.',
            ('outcome',),
            registry=self.registry,
        )
        self.lost_connections = prometheus_client.Counter(
            'cranberryrill_lost_connections',
            'Attempts whose connection the upstream closed or reset.',
            ('service',),
            registry=self.registry,
        )
        self.quarantined_parts = prometheus_client.Gauge(
            'cranberryrill_quarantined_parts',
            'Prompt parts that crash upstreams and are refused.',
            registry=self.registry,
        )
        self.quarantined_requests = prometheus_client.Gauge(
            'cranberryrill_quarantined_requests',
            'Requests that crash upstreams and are refused.',
            registry=self.registry,
        )
        self.limited_upstreams = prometheus_client.Gauge(
            'cranberryrill_limited_upstreams',
            'Upstreams that name a limit of requests a second.',
            registry=self.registry,
        )
        self.cold_upstreams = prometheus_client.Gauge(
            'cranberryrill_cold_upstreams',
            'Cold upstreams, which get few requests a second.',
            registry=self.registry,
        )
        self.closed_upstreams = prometheus_client.Gauge(
            'cranberryrill_closed_upstreams',
            'Upstreams of evacuated data centres, which get no requests.',
            registry=self.registry,
        )
        self.slow_upstreams = prometheus_client.Gauge(
            'cranberryrill_slow_upstreams',
            "Upstreams much slower than their service's median.",
            registry=self.registry,
        )
        self.turned_elsewhere = prometheus_client.Counter(
            'cranberryrill_requests_turned_elsewhere',
            'Requests sent while an upstream of their service was avoided.',
            ('service',),
            registry=self.registry,
        )
        self.seconds = prometheus_client.Histogram(
            'cranberryrill_request_seconds',
            "Seconds from a request's last byte to the end of its answer.",
            ('route',),
            buckets=BUCKETS_SECONDS,
            registry=self.registry,
        )

    def watch_quarantine(self, evidence: ledger.Ledger) -> None:
        """Export how many parts and requests a ledger has quarantined."""
        self.quarantined_parts.set_function(
            functools.partial(evidence.quarantined_count, requests=False)
        )
        self.quarantined_requests.set_function(
            functools.partial(evidence.quarantined_count, requests=True)
        )

    def count(self, route: str, outcome: str, seconds: float) -> None:
        """Record a request that has ended.

        The route is empty for requests refused before delivery; these are not
        in the histogram.
        """
        self.requests.labels(outcome).inc()
        if route:
            self.seconds.labels(route).observe(seconds)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)
