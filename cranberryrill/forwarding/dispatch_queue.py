"""Requests of one forwarding process that wait until they may be sent."""

import functools
import logging
import math
import random
import sys
import typing

from cranberryrill import clock, failures
from cranberryrill.forwarding import (
    admission,
    gate,
    peer_loads,
    placement,
    request_queue,
    retry_policy,
    service_statistics,
    upstream_pool,
)
from cranberryrill.traffic import route_table

LOGGER = logging.getLogger(__name__)
MILLISECONDS_PER_SECOND = 1000


class QueueContext(typing.Protocol):
    """State of the process on which the release of requests depends."""

    pool: upstream_pool.Pool
    statistics: service_statistics.ServiceStatistics
    peer_loads: peer_loads.PeerLoads
    table: route_table.RouteTable
    rng: random.Random

    def choose(
        self, admitted: admission.Admitted, excluded: frozenset[str], now: float
    ) -> placement.Choice | None:
        """Choose an upstream that is not in `excluded`, or return None."""

    def is_closed(self, admitted: admission.Admitted, now: float) -> bool:
        """Return whether no upstream may be sent the request just now."""

    def pause_seconds(self, admitted: admission.Admitted, now: float) -> float:
        """Return when the first pause ends if all upstreams have paused."""

    def entry_count(self) -> int:
        """Return the number of entries."""


class Queue(typing.Protocol):
    """Queues of all services of a process."""

    async def wait(
        self, admitted: admission.Admitted
    ) -> failures.Failure | None:
        """Wait until a request may be sent; return its refusal, or None."""

    def full_upstreams(
        self,
        admitted: admission.Admitted,
        excluded: frozenset[str],
        now: float,
    ) -> frozenset[str]:
        """Return the ids of upstreams that a request may not go to now."""


class DispatchQueue:
    """Queues of all services, with one gate for each."""

    def __init__(self, context: QueueContext) -> None:
        self.context = context
        self.gates: dict[str, gate.Gate] = {}

    def full_upstreams(
        self,
        admitted: admission.Admitted,
        excluded: frozenset[str],
        now: float,
    ) -> frozenset[str]:
        """Return none: upstreams themselves turn away what is too much."""
        return frozenset()

    async def wait(
        self, admitted: admission.Admitted
    ) -> failures.Failure | None:
        """Wait until a request may be sent.

        Return None if it may, or the failure to refuse it with.
        """
        service = admitted.service
        pool = self.context.pool
        is_restricted = pool.is_restricted(service.name) or pool.has_cold(
            service.name, clock.monotonic_seconds()
        )
        if service.engine is None and not is_restricted:
            return None
        backlog_limit_ms = self._backlog_limit_ms(admitted)
        if backlog_limit_ms is None:
            if not is_restricted:
                return None
            backlog_limit_ms = sys.float_info.max
        queued_request = request_queue.make_queued_request(
            admitted.route,
            admitted.rank,
            admitted.metadata.prompt_tokens,
            backlog_limit_ms,
            (admitted.request.received_at, admitted.deadline),
            functools.partial(self._backlog_ms, admitted),
            admitted.organisation,
        )
        service_gate = self._gate_for(service.name)
        wait_ms = self._expected_wait_ms(admitted, service_gate)
        if request_queue.would_expire(queued_request, wait_ms):
            return self._queue_refusal(admitted, wait_ms)
        gate_result = await service_gate.wait(queued_request)
        if gate_result.may_send:
            return None
        return self._queue_refusal(admitted, wait_ms)

    def _backlog_limit_ms(self, admitted: admission.Admitted) -> float | None:
        """Return the largest backlog at which a request may be sent.

        None if it needn't be queued: decode-heavy requests have little to
        prefill, so they don't delay others, and without a competing route that
        has a much shorter latency target there is nothing to delay.
        """
        is_decode_heavy = self.context.statistics.record_request(
            admitted.route, admitted.metadata
        )
        if is_decode_heavy:
            return None
        return request_queue.max_backlog_ms(
            admitted.route,
            self.context.statistics.competing_routes(
                self.context.table.document.routes,
                admitted.service,
                clock.monotonic_seconds(),
                is_decode_heavy=is_decode_heavy,
            ),
        )

    def _queue_refusal(
        self, admitted: admission.Admitted, wait_ms: float
    ) -> failures.Failure:
        now = clock.monotonic_seconds()
        LOGGER.info(
            'no turn in time',
            extra={
                'request_id': admitted.metadata.attempt_id,
                'expected_wait_ms': int(wait_ms),
                'waited_ms': _milliseconds(now - admitted.request.received_at),
            },
        )
        return failures.NoPlace(
            'too much waits for the upstreams',
            retry_after_seconds=retry_policy.queue_delay_seconds(
                wait_ms / MILLISECONDS_PER_SECOND,
                self.context.pause_seconds(admitted, now),
                self.context.rng.random(),
            ),
        )

    def _gate_for(self, service: str) -> gate.Gate:
        if service not in self.gates:
            self.gates[service] = gate.Gate(
                functools.partial(self.context.pool.for_service, service)
            )
        return self.gates[service]

    def _backlog_ms(self, admitted: admission.Admitted) -> float:
        """Return the prefill backlog of the best upstream in milliseconds.

        Infinite if no upstream may be sent a request now.
        """
        now = clock.monotonic_seconds()
        choice = self.context.choose(admitted, frozenset(), now)
        if choice is None and self.context.is_closed(admitted, now):
            return math.inf
        tokens = choice.backlog_tokens if choice else 0
        return self.context.statistics.prefill_rate(
            admitted.service.name
        ).prefill_ms(tokens)

    def _expected_wait_ms(
        self, admitted: admission.Admitted, service_gate: gate.Gate
    ) -> float:
        """Estimate in milliseconds how long a new request would wait.

        Other entries are assumed to have as much queued as this one.
        """
        service = admitted.service.name
        entries = max(self.context.entry_count(), 1)
        tokens = service_gate.queue.total_tokens() * entries
        engines = max(len(self.context.pool.for_service(service)), 1)
        prefill_ms = self.context.statistics.prefill_rate(service).prefill_ms(
            tokens / engines
        )
        now = clock.monotonic_seconds()
        pause_seconds = self.context.pause_seconds(admitted, now)
        wait_ms = max(prefill_ms, pause_seconds * MILLISECONDS_PER_SECOND)
        per_second = self.context.pool.total_limit(service, now)
        if per_second is None:
            return wait_ms
        requests = len(service_gate.queue.waiting) * entries
        return max(wait_ms, requests / per_second * MILLISECONDS_PER_SECOND)


def _milliseconds(seconds: float) -> int:
    return int(seconds * MILLISECONDS_PER_SECOND)
