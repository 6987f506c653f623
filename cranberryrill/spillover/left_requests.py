"""Count the requests that left their data centre, for the metrics page."""

import collections
from collections import abc as collection_types

from prometheus_client import metrics_core, registry

from cranberryrill.spillover import offers


class LeftRequests(registry.Collector):
    """Requests sent to another data centre, by service and cause."""

    def __init__(self) -> None:
        self.counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    def count(self, service: str, decision: offers.Decision | None) -> None:
        """Count a request that is sent, if it leaves."""
        if decision is not None and decision.cause is not None:
            self.counts[service, decision.cause.value] += 1

    def collect(self) -> collection_types.Iterable[metrics_core.Metric]:
        """Return the metric."""
        metric = metrics_core.CounterMetricFamily(
            'cranberryrill_requests_left_data_centre',
            'Requests sent to another data centre, by cause.',
            labels=('service', 'cause'),
        )
        for labels, count in sorted(self.counts.items()):
            metric.add_metric(labels, count)
        return [metric]
