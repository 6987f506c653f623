"""Scheduling and placement state of one forwarding process.

The dispatcher decides when each request may be sent and to which upstream.
"""

import dataclasses
import functools
import logging
import random

from cranberryrill import clock, failures
from cranberryrill.forwarding import (
    admission,
    curl_multi,
    decode_pool,
    gate,
    http_names,
    peer_loads,
    placement,
    request_queue,
    retry_budget,
    upstreams,
    usage_counter,
)
from cranberryrill.membership import membership_pb2, serving_lease
from cranberryrill.traffic import document, route_table

LOGGER = logging.getLogger(__name__)
MILLISECONDS_PER_SECOND = 1000
# Refused callers are told to retry after a random delay in this range if there
# is no better estimate of when capacity will be free.
MIN_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 0.5


@dataclasses.dataclass(frozen=True)
class DispatcherOptions:
    """Fixed parameters of a dispatcher."""

    names: http_names.HttpNames
    data_centre: str
    # Limits that all entries share, for each service.
    retry_limits: retry_budget.RetryLimits


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
        self.names = options.names
        self.data_centre = options.data_centre
        self.retry_limits = options.retry_limits
        self.holder = holder
        self.usage = usage
        self.rng = rng
        self.driver = curl_multi.Driver()
        self.table = route_table.RouteTable(document.EMPTY)
        self.pool = upstreams.Pool()
        self.other_loads = peer_loads.PeerLoads(self.pool)
        self.placer = placement.UpstreamSelector(rng)
        self.budgets: dict[str, retry_budget.RetryBudget] = {}
        self.gates: dict[str, gate.Gate] = {}
        self.rates: dict[str, request_queue.PrefillRate] = {}
        # For each route, whether its latest request has more to write than
        # to read.
        self.writes_long: dict[str, bool] = {}
        self.open_answers: dict[str, decode_pool.LongAnswerPeak] = {}

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
        self.pool.update(self.holder.upstreams, cache_tokens)

    async def wait_turn(
        self, admitted: admission.Admitted
    ) -> failures.Failure | None:
        """Wait until a request may be sent.

        Return None if it may, or the failure to refuse it with.
        """
        service = admitted.service
        if service.engine is None:
            return None
        is_long = decode_pool.is_decode_heavy(admitted.metadata)
        self.writes_long[admitted.route.name] = is_long
        limit_ms = request_queue.max_backlog_ms(
            admitted.route, self._competing_routes(admitted, is_long=is_long)
        )
        if is_long or limit_ms is None:
            # Requests with long answers have little to read, so that they don't
            # delay others. A limit of None means that no competing route has a
            # much shorter latency target.
            return None
        waiter = request_queue.make_queued_request(
            admitted.route,
            admitted.rank,
            admitted.metadata.prompt_tokens,
            limit_ms,
            (admitted.request.received_at, admitted.deadline),
            functools.partial(self._backlog_ms, admitted),
            admitted.organisation,
        )
        service_gate = self._gate_of(service.name)
        wait_ms = self._expected_wait_ms(service.name, service_gate)
        if request_queue.would_expire(waiter, wait_ms):
            return self._no_turn(admitted, wait_ms)
        turn = await service_gate.wait(waiter)
        if turn.may_send:
            return None
        return self._no_turn(admitted, wait_ms)

    def _no_turn(
        self, admitted: admission.Admitted, wait_ms: float
    ) -> failures.Failure:
        now = clock.monotonic_seconds()
        LOGGER.info(
            'no turn in time',
            extra={
                'request_id': admitted.metadata.attempt_id,
                'expected_wait_ms': int(wait_ms),
                'waited_ms': int(
                    (now - admitted.request.received_at)
                    * MILLISECONDS_PER_SECOND
                ),
            },
        )
        return failures.NoPlace(
            'too much waits for the upstreams',
            retry_after_seconds=self.rng.uniform(MAX_RETRY_SECONDS, 1)
            * max(wait_ms / MILLISECONDS_PER_SECOND, MAX_RETRY_SECONDS),
        )

    def _competing_routes(
        self, admitted: admission.Admitted, *, is_long: bool
    ) -> list[document.Route]:
        """Return the routes whose requests compete for the same upstreams.

        The request's own route is among them.
        """
        service = admitted.service.name
        separated = self._long_answer_upstreams(service) > 0
        return [
            route
            for route in self.table.document.routes
            if any(share.service == service for share in route.shares)
            and not (
                separated
                and self.writes_long.get(route.name, is_long) != is_long
            )
        ]

    def _long_answer_upstreams(self, service: str) -> int:
        """Return how many upstreams long answers need, 0 without an engine.

        Also records the number of long answers that are open now.
        """
        configured = self.table.services.get(service)
        if configured is None or configured.engine is None:
            return 0
        now = clock.monotonic_seconds()
        candidates = self.pool.for_service(service)
        open_answers = self._open_answers(service)
        open_answers.record(
            sum(
                upstream.long_answers
                + self.other_loads.long_answers[upstream.id]
                for upstream in candidates
            ),
            now,
        )
        return decode_pool.pool_size(
            open_answers.recent(now), configured.engine.slots, len(candidates)
        )

    def _gate_of(self, service: str) -> gate.Gate:
        if service not in self.gates:
            self.gates[service] = gate.Gate()
        return self.gates[service]

    def _backlog_ms(self, admitted: admission.Admitted) -> float:
        """Return the unread prompt backlog, in ms, where a request would go."""
        choice = self._choose(admitted, frozenset(), clock.monotonic_seconds())
        tokens = choice.backlog_tokens if choice else 0
        return self._rate_of(admitted.service.name).milliseconds_for(tokens)

    def _expected_wait_ms(self, service: str, service_gate: gate.Gate) -> float:
        """Estimate in milliseconds how long a new request would wait.

        Other entries are assumed to have as much queued as this one.
        """
        waiting = service_gate.queue.total_tokens() * max(self.entry_count(), 1)
        engines = max(len(self.pool.for_service(service)), 1)
        return self._rate_of(service).milliseconds_for(waiting / engines)

    def _rate_of(self, service: str) -> request_queue.PrefillRate:
        if service not in self.rates:
            self.rates[service] = request_queue.PrefillRate()
        return self.rates[service]

    def record_response_start(
        self,
        admitted: admission.Admitted,
        choice: placement.Choice,
        tokens: int,
        seconds: float,
    ) -> None:
        """Record how long an upstream took to start its response.

        `tokens` is the part of the prompt that it had to read.
        """
        if admitted.service.engine is not None:
            rate = self._rate_of(admitted.service.name)
            rate.record(choice.backlog_tokens + tokens, seconds)

    def place(
        self, admitted: admission.Admitted, tried: frozenset[str], now: float
    ) -> placement.Choice | None:
        """Choose an upstream that is not in `tried`.

        Return None if there is none, or if the configuration is no longer
        proved to be in force.
        """
        if not self.holder.may_serve(now):
            return None
        choice = self._choose(admitted, tried, now)
        if choice is not None:
            LOGGER.info(
                'request placed',
                extra={
                    'request_id': admitted.metadata.attempt_id,
                    'upstream': choice.upstream.id,
                    'cost': round(choice.cost, 1),
                    'missing_tokens': choice.missing_tokens,
                    'candidates': choice.candidates,
                    'home': choice.has_affinity,
                    'fetch_from': choice.fetch_from and choice.fetch_from.id,
                    'tokens': admitted.metadata.prompt_tokens,
                    'output_tokens': admitted.metadata.output_tokens,
                    'version': admitted.version,
                    'waited_ms': int(
                        (now - admitted.request.received_at)
                        * MILLISECONDS_PER_SECOND
                    ),
                    'proof_age_ms': int(
                        (now - self.holder.fresh_as_of)
                        * MILLISECONDS_PER_SECOND
                    ),
                },
            )
        return choice

    def _choose(
        self, admitted: admission.Admitted, tried: frozenset[str], now: float
    ) -> placement.Choice | None:
        candidates = self.pool.for_service(admitted.service.name)
        return self.placer.choose(
            self._placement_request(admitted, candidates),
            candidates,
            tried,
            now,
        )

    def _placement_request(
        self, admitted: admission.Admitted, candidates: list[upstreams.Upstream]
    ) -> placement.PlacementRequest:
        engine = admitted.service.engine
        metadata = admitted.metadata
        if engine is None:
            return placement.PlacementRequest(
                (),
                '',
                self.data_centre,
                is_engine=False,
                peer_open_requests=self.other_loads.open_requests,
            )
        upstream_count = self._long_answer_upstreams(admitted.service.name)
        return placement.PlacementRequest(
            parts=metadata.parts,
            session=metadata.session,
            data_centre=self.data_centre,
            is_engine=True,
            is_decode_heavy=decode_pool.is_decode_heavy(metadata),
            decode_pool_ids=decode_pool.pool_members(
                candidates, upstream_count
            ),
            peer_prefill_tokens=self.other_loads.prefill_tokens,
            peer_open_requests=self.other_loads.open_requests,
            peer_long_answers=self.other_loads.long_answers,
            can_fetch_cache=placement.is_fetching_faster(
                engine.token_bytes, engine.link_mbps
            ),
        )

    def _open_answers(self, name: str) -> decode_pool.LongAnswerPeak:
        if name not in self.open_answers:
            self.open_answers[name] = decode_pool.LongAnswerPeak()
        return self.open_answers[name]

    def budget_for(self, service: str, now: float) -> retry_budget.RetryBudget:
        """Return the retry budget of a service."""
        if service not in self.budgets:
            self.budgets[service] = retry_budget.RetryBudget(
                self.retry_limits, now
            )
        return self.budgets[service]

    def entry_count(self) -> int:
        """Return the number of entries that share the retry budgets."""
        return sum(
            process.role == membership_pb2.Role.ENTRY
            for process in self.holder.processes.values()
        )

    def count_started_request(
        self, admitted: admission.Admitted, now: float
    ) -> None:
        """Count a request that an upstream has started to process."""
        self.usage.count(admitted.organisation, now)

    def record_prompt_read(
        self, upstream: upstreams.Upstream, admitted: admission.Admitted
    ) -> None:
        """Record that an upstream has read, and caches, a prompt."""
        self.pool.record_prefilled(upstream, admitted.metadata.parts)

    def backoff(self, admitted: admission.Admitted, now: float) -> float:
        """Return the delay in seconds before a refused caller should retry."""
        return self.rng.uniform(MIN_RETRY_SECONDS, MAX_RETRY_SECONDS)
