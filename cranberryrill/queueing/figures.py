"""Metrics of the queues of all services."""

import collections
from collections import abc as collection_types

from prometheus_client import core, registry


class Figures(registry.Collector):
    """Waiting requests and refusals by service, as Prometheus metrics.

    `count_waiting` returns how many requests of each service wait.
    """

    def __init__(
        self,
        count_waiting: collection_types.Callable[
            [], collection_types.Mapping[str, int]
        ],
    ) -> None:
        self.count_waiting = count_waiting
        self.refusals: collections.Counter[str] = collections.Counter()

    def collect(self) -> collection_types.Iterator[core.Metric]:
        """Return the present figures."""
        waiting_requests = core.GaugeMetricFamily(
            'cranberryrill_waiting_requests',
            'Requests that wait for an upstream.',
            labels=('service',),
        )
        for service, count in self.count_waiting().items():
            waiting_requests.add_metric((service,), count)
        yield waiting_requests
        refusals = core.CounterMetricFamily(
            'cranberryrill_queue_refusals',
            'Requests refused because they would wait for too long.',
            labels=('service',),
        )
        for service, count in self.refusals.items():
            refusals.add_metric((service,), count)
        yield refusals
