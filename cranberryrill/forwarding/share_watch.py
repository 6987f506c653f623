"""Report the largest part that one organisation has of each service."""

import asyncio
import logging
from collections import abc

import prometheus_client

from cranberryrill import clock
from cranberryrill.shares import monitor, usage_reports

LOGGER = logging.getLogger(__name__)
PERIOD_SECONDS = 1.0


class ShareWatch:
    """Log lines and the metric on the parts of organisations."""

    def __init__(
        self,
        exchange: usage_reports.UsageExchange,
        waiting_organisations: abc.Callable[[str], set[str]],
        registry: prometheus_client.CollectorRegistry,
    ) -> None:
        self.exchange = exchange
        # Returns the organisations with requests that wait for a service.
        self.waiting_organisations = waiting_organisations
        self.monitor = monitor.Monitor()
        self.largest_part = prometheus_client.Gauge(
            'cranberryrill_largest_organisation_part',
            'Largest part of the recent use of a service by one organisation.',
            ('service',),
            registry=registry,
        )

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            self.report(clock.monotonic_seconds())
            await asyncio.sleep(PERIOD_SECONDS)

    def report(self, now: float) -> None:
        """Report on all services."""
        self.exchange.recorder.accrue(now)
        for service in sorted(self.exchange.shares.services()):
            uses = self.exchange.shares.by_organisation(service, now)
            largest = monitor.largest_part(uses)
            self.largest_part.labels(service).set(largest.part)
            waiting = self.waiting_organisations(service)
            if self.monitor.is_news(service, largest, waiting, now):
                LOGGER.info(
                    'large part of one organisation',
                    extra={
                        'service': service,
                        'organisation': largest.organisation,
                        'part': round(largest.part, 3),
                        'waiting': len(waiting),
                    },
                )
