"""Scheduling and placement state of one forwarding process.

The dispatcher decides when each request may be sent and to which upstream.
"""

import dataclasses
import logging
import random
from collections import abc

from cranberryrill import clock, failures
from cranberryrill.forwarding import (
    admission,
    crash_tracker,
    curl_multi,
    dispatch_queue,
    http_names,
    peer_loads,
    placement,
    placement_requests,
    predicted_placement,
    retry_budget,
    retry_policy,
    service_statistics,
    upstream_pool,
    usage_counter,
)
from cranberryrill.limits import buffer_budget
from cranberryrill.membership import membership_pb2, serving_lease
from cranberryrill.queueing import predicted_queue, recent_choice
from cranberryrill.settings import response_limits
from cranberryrill.shares import recording, usage_reports
from cranberryrill.spillover import left_requests
from cranberryrill.traffic import document, route_table

LOGGER = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True)
class DispatcherOptions:
    """Fixed parameters of a dispatcher."""

    # Name of this entry.
    name: str
    names: http_names.HttpNames
    data_centre: str
    # Retry limits of each service, shared by all entries.
    retry_limits: retry_budget.RetryLimits
    response_limits: response_limits.ResponseLimits
    # How long a leaving upstream takes requests.
    drain_seconds: float
    # Region of each data centre.
    regions: abc.Mapping[str, str] = dataclasses.field(default_factory=dict)
    # Whether upstreams are compared by predicted times.
    predicted_times: bool = False


class Dispatcher:
    """State that all deliveries of one process share.

    Implements attempts.DeliveryContext.
    """

    def __init__(
        self,
        options: DispatcherOptions,
        holder: serving_lease.Holder,
        usage: usage_counter.UsageCounter,
        rng: random.Random,
    ) -> None:
        self.name = options.name
        self.names = options.names
        self.data_centre = options.data_centre
        self.retry_limits = options.retry_limits
        self.response_limits = options.response_limits
        self.response_buffers = buffer_budget.BufferBudget(
            options.response_limits.total_bytes
        )
        self.holder = holder
        self.usage = usage
        self.rng = rng
        self.driver = curl_multi.Driver()
        self.table = route_table.RouteTable(document.EMPTY)
        self.pool = upstream_pool.Pool(options.drain_seconds, options.regions)
        # Uses by organisations through all entries; None if not predicting.
        self.shares: usage_reports.UsageExchange | None = None
        self.recorder: recording.Recorder = recording.NULL_RECORDER
        self.peer_loads = peer_loads.PeerLoads(self.pool)
        self.crash_tracker = crash_tracker.CrashTracker(
            holder.evidence, holder.renew_now.set
        )
        self.selector = placement.UpstreamSelector(rng)
        self.left_requests = left_requests.LeftRequests()
        self.recent_choices = recent_choice.RecentChoice()
        self.retry_budgets: dict[str, retry_budget.RetryBudget] = {}
        self.statistics = service_statistics.ServiceStatistics(
            self.pool, self.peer_loads
        )
        self.queue: dispatch_queue.Queue = dispatch_queue.DispatchQueue(self)
        if options.predicted_times:
            self.start_predictions()

    def start_predictions(self) -> None:
        """Compare upstreams by predicted times from now on."""
        self.shares = usage_reports.UsageExchange()
        self.recorder = self.shares.recorder
        self.peer_loads.usage = self.shares
        self.pool.start_models().configure(self.table.document.services)
        self.selector = predicted_placement.PredictingSelector(self.rng)
        self.queue = predicted_queue.PredictedQueue(self, self.shares.recorder)
        LOGGER.info('predictions started')

    def update(self) -> None:
        """Apply the newest configuration and registry that were received."""
        traffic = self.holder.configuration.traffic
        if traffic is not self.table.document:
            self.table = route_table.RouteTable(traffic)
            LOGGER.info(
                'configuration in force',
                extra={
                    'version': traffic.version,
                    'routes': len(traffic.routes),
                },
            )
        cache_tokens = {
            service.name: service.engine.cache_tokens
            for service in traffic.services
            if service.engine is not None
        }
        if self.shares:
            self.shares.shares.update_organisations(len(traffic.organisations))
        if self.pool.models is not None:
            self.pool.models.configure(traffic.services)
        self.pool.update(self.holder.upstreams, cache_tokens)
        self.pool.cold.update(
            traffic.services,
            self.pool.by_id.values(),
            clock.monotonic_seconds(),
            clock.unix_milliseconds(),
        )
        self.close_evacuated(clock.monotonic_seconds())
        self.crash_tracker.confirm_replaced(
            self.pool.by_id.values(), clock.monotonic_seconds()
        )
        self.update_limit_shares()

    def close_evacuated(self, now: float) -> bool:
        """Close the upstreams of evacuated data centres by degrees.

        Return whether more of them will be closed.
        """
        return self.pool.close_evacuated(self.holder.withdrawal, now)

    def update_limit_shares(self) -> None:
        """Apply which entries report what they send to upstreams."""
        entries = self._entries()
        share = self.peer_loads.limit_share(self.name, entries)
        if self.peer_loads.by_entry or entries == [self.name]:
            self.pool.cold.record_informed()
        for upstream in self.pool.by_id.values():
            upstream.allowance.group_share = share
            upstream.allowance.connected_entries = len(self.peer_loads.by_entry)

    async def wait_in_queue(
        self, admitted: admission.Admitted
    ) -> failures.Failure | None:
        """Wait until a request may be sent.

        Return None if it may, or the failure to refuse it with.
        """
        return await self.queue.wait(admitted)

    def pause_seconds(self, admitted: admission.Admitted, now: float) -> float:
        """Return when the first pause ends if all upstreams have paused."""
        return self.pool.pause_seconds(
            admitted.service.name, admitted.request.received_at, now
        )

    def is_closed(self, admitted: admission.Admitted, now: float) -> bool:
        """Return whether no upstream may be sent the request just now.

        All have named limits that are used up, or have asked for a pause.
        """
        return self.holder.may_serve(now) and self.pool.is_closed(
            admitted.service.name,
            admitted.request.received_at,
            now,
            admitted.regions,
        )

    def record_response_start(
        self,
        admitted: admission.Admitted,
        choice: placement.Choice,
        prefill_tokens: int,
        seconds: float,
    ) -> None:
        """Record how long an upstream took to start its response.

        `prefill_tokens` is the part of the prompt that it had to prefill.
        """
        if admitted.service.engine is not None:
            rate = self.statistics.prefill_rate(admitted.service.name)
            rate.record(choice.backlog_tokens + prefill_tokens, seconds)

    def place(
        self, admitted: admission.Admitted, excluded: frozenset[str], now: float
    ) -> placement.Choice | None:
        """Choose an upstream that is not in `excluded`.

        Return None if there is none, or if the configuration is no longer
        proved to be in force.
        """
        if not self.holder.may_serve(now):
            return None
        choice = self.choose(admitted, excluded, now)
        if choice is not None:
            placement_requests.log_choice(
                choice, admitted, now, now - self.holder.fresh_as_of
            )
            self.left_requests.count(admitted.service.name, choice.departure)
        return choice

    def choose(
        self, admitted: admission.Admitted, excluded: frozenset[str], now: float
    ) -> placement.Choice | None:
        """Choose an upstream as `place` does, without recording the choice."""
        recent = self.recent_choices.find(admitted, excluded, now)
        if recent is not None:
            return recent
        choice = self._compare(admitted, excluded, now)
        if self.shares is not None and choice is not None:
            self.recent_choices.store(admitted, excluded, choice, now)
        return choice

    def _compare(
        self, admitted: admission.Admitted, excluded: frozenset[str], now: float
    ) -> placement.Choice | None:
        candidates = self.pool.for_service(
            admitted.service.name, admitted.regions
        )
        return self.selector.choose(
            placement_requests.make_request(
                admitted, candidates, self.statistics, self.data_centre, now
            ),
            candidates,
            excluded | self.queue.full_upstreams(admitted, excluded, now),
            now,
        )

    def retry_budget_for(
        self, service: str, now: float
    ) -> retry_budget.RetryBudget:
        """Return the retry budget of a service, created on first use."""
        if service not in self.retry_budgets:
            self.retry_budgets[service] = retry_budget.RetryBudget(
                self.retry_limits, now
            )
        return self.retry_budgets[service]

    def entry_count(self) -> int:
        """Return the number of entries that share the retry budgets."""
        return len(self._entries())

    def _entries(self) -> list[str]:
        """Return the names of all entries that the directory lists."""
        return [
            name
            for name, process in self.holder.processes.items()
            if process.role == membership_pb2.Role.ENTRY
        ]

    def count_started_request(
        self, admitted: admission.Admitted, now: float
    ) -> None:
        """Count a request that an upstream has started to process."""
        self.usage.count(admitted.organisation, now)

    def record_prefilled_prompt(
        self, choice: placement.Choice, admitted: admission.Admitted
    ) -> None:
        """Record that an upstream has prefilled, and caches, a prompt."""
        self.pool.record_prefilled(choice.upstream, admitted.metadata.parts)

    def backoff(self, admitted: admission.Admitted, now: float) -> float:
        """Return the delay in seconds before a refused caller should retry."""
        return self.pause_seconds(admitted, now) + retry_policy.backoff_seconds(
            self.rng.random()
        )
