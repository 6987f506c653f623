"""Queues of all services that hold requests by predicted times."""

import functools
import logging

from cranberryrill import clock, failures
from cranberryrill.engine_model import prediction
from cranberryrill.forwarding import (
    admission,
    dispatch_queue,
    retry_policy,
)
from cranberryrill.queueing import (
    capacity,
    engine_capacity,
    figures,
    gate,
    organisation_use,
    peer_news,
    place_capacity,
    predictor,
    return_times,
    returning,
    service_queue,
    upstream_places,
    wait_prediction,
    waiting,
)

LOGGER = logging.getLogger(__name__)
MILLISECONDS_PER_SECOND = 1000


class PredictedQueue:
    """Queues of engines and plain services; implements dispatch_queue.Queue."""

    def __init__(
        self,
        context: dispatch_queue.QueueContext,
        use: organisation_use.OrganisationUse,
    ) -> None:
        self.context = context
        self.use = use
        self.predictor: predictor.Predictor = predictor.PlacementPredictor(
            context
        )
        self.news = peer_news.PeerNews(context.peer_loads, context.entry_count)
        self.places = upstream_places.UpstreamPlaces(context, self.news)
        self.refused = returning.RefusedCallers()
        self.return_times: dict[str, return_times.ReturnTimes] = {}
        self.gates: dict[str, gate.Gate] = {}
        self.place_capacities: dict[str, place_capacity.PlaceCapacity] = {}
        self.figures = figures.Figures(self.count_waiting)

    async def wait(
        self, admitted: admission.Admitted
    ) -> failures.Failure | None:
        """Wait until a request may be sent.

        Return None if it may, or the failure to refuse it with.
        """
        now = clock.monotonic_seconds()
        predicted = self._predict(admitted, now)
        request = self._make_request(admitted, predicted, now)
        service_gate = self._gate_for(admitted)
        turn = await service_gate.wait(
            request,
            self._upstream_seconds(
                admitted, request, predicted, service_gate.queue, now
            ),
        )
        if turn.may_send:
            return None
        return self._refusal(admitted, request, turn)

    def full_upstreams(
        self,
        admitted: admission.Admitted,
        excluded: frozenset[str],
        now: float,
    ) -> frozenset[str]:
        """Return the upstreams of a plain service that have no place left."""
        if admitted.service.engine is not None:
            return frozenset()
        return self.places.full_upstreams(admitted, excluded, now)

    def count_waiting(self) -> dict[str, int]:
        """Return how many requests of each service wait."""
        return {
            service: len(service_gate.queue.waiting)
            for service, service_gate in self.gates.items()
        }

    def waiting_organisations(self, service: str) -> set[str]:
        """Return the organisations with requests that wait for a service."""
        service_gate = self.gates.get(service)
        if service_gate is None:
            return set()
        return {request.organisation for request in service_gate.queue.waiting}

    def _predict(
        self, admitted: admission.Admitted, now: float
    ) -> prediction.Prediction | None:
        """Predict what a request would meet at an engine."""
        if admitted.service.engine is None:
            return None
        predicted = self.predictor.predict(admitted, now)
        if predicted is None and not self.context.is_closed(admitted, now):
            # There is nothing to wait for.
            return predictor.NOTHING_AHEAD
        return predicted

    def _make_request(
        self,
        admitted: admission.Admitted,
        predicted: prediction.Prediction | None,
        now: float,
    ) -> waiting.WaitingRequest:
        received_at = admitted.request.received_at
        key = returning.key_of(admitted)
        work = self._work(admitted, predicted)
        first_event_ms = work
        if admitted.service.engine is None:
            places = self._places_of(admitted.service.name)
            first_event_ms = places.service_seconds * MILLISECONDS_PER_SECOND
        max_wait = waiting.max_wait_seconds(
            admitted.route, admitted.deadline - received_at, first_event_ms
        )
        return waiting.WaitingRequest(
            service=admitted.service.name,
            organisation=admitted.organisation,
            rank=admitted.rank,
            arrived_at=received_at,
            late_at=waiting.late_at(
                admitted.route,
                received_at,
                first_event_ms / MILLISECONDS_PER_SECOND,
            ),
            expires_at=received_at + max_wait,
            work=work,
            target_ms=admitted.route.target_latency_ms,
            is_returning=self.refused.take(key, now),
            limits=self._limits(admitted, now),
            predict=functools.partial(self._predict, admitted),
            regions=admitted.regions,
        )

    def _work(
        self,
        admitted: admission.Admitted,
        predicted: prediction.Prediction | None,
    ) -> float:
        """Return the prefill of a request in ms, or 1 place."""
        if admitted.service.engine is None:
            return 1
        if predicted is not None and predicted.own_ms:
            return predicted.own_ms
        rate = self.context.statistics.prefill_rate(admitted.service.name)
        return rate.prefill_ms(admitted.metadata.prompt_tokens)

    def _limits(
        self, admitted: admission.Admitted, now: float
    ) -> waiting.Limits:
        engine = admitted.service.engine
        if engine is None:
            return waiting.Limits()
        statistics = self.context.statistics
        metadata = admitted.metadata
        is_decode_heavy = statistics.record_request(admitted.route, metadata)
        competing = statistics.competing_routes(
            self.context.table.document.routes,
            admitted.service,
            now,
            is_decode_heavy=is_decode_heavy,
        )
        is_most_urgent = all(
            admitted.rank <= route.rank
            for route in self.context.table.document.routes
            if any(
                share.service == admitted.service.name for share in route.shares
            )
        )
        return waiting.Limits(
            engine_capacity.max_ahead_ms(
                admitted.route, competing, is_decode_heavy=is_decode_heavy
            ),
            engine_capacity.min_memory_left(
                engine.cache_tokens,
                metadata.prompt_tokens + metadata.output_tokens,
                is_most_urgent=is_most_urgent,
            ),
        )

    def _upstream_seconds(
        self,
        admitted: admission.Admitted,
        request: waiting.WaitingRequest,
        predicted: prediction.Prediction | None,
        queue: service_queue.ServiceQueue,
        now: float,
    ) -> float:
        """Return for how long upstreams are busy, paused or limited."""
        seconds = self.context.pause_seconds(admitted, now)
        if predicted is not None:
            ahead_ms = engine_capacity.ahead_ms(predicted, request.work)
            seconds = max(seconds, ahead_ms / MILLISECONDS_PER_SECOND)
        per_second = self.context.pool.total_limit(request.service, now)
        if per_second is None:
            return seconds
        before = sum(other.rank <= request.rank for other in queue.waiting)
        entries = max(self.context.entry_count(), 1)
        return max(seconds, before * entries / per_second)

    def _gate_for(self, admitted: admission.Admitted) -> gate.Gate:
        service = admitted.service.name
        if service not in self.gates:
            service_capacity: capacity.Capacity = self._places_of(service)
            if admitted.service.engine is not None:
                service_capacity = engine_capacity.EngineCapacity(
                    functools.partial(self._engine_state, service)
                )
            self.gates[service] = gate.Gate(
                service_queue.ServiceQueue(service_capacity, self.use)
            )
        return self.gates[service]

    def _places_of(self, service: str) -> place_capacity.PlaceCapacity:
        if service not in self.place_capacities:
            self.place_capacities[service] = place_capacity.PlaceCapacity(
                functools.partial(self.places.state, service),
                self.places.places,
                self.context.rng,
            )
        return self.place_capacities[service]

    def _engine_state(
        self, service: str, now: float
    ) -> engine_capacity.EngineState:
        """Return the engines that prefill prompts, and the entries."""
        configured = self.context.table.services.get(service)
        reserved = 0
        if configured is not None:
            reserved = self.context.statistics.decode_pool_size(configured, now)
        engines = len(self.context.pool.for_service(service)) - reserved
        return engine_capacity.EngineState(
            max(engines, 1),
            self.context.entry_count(),
            self.news.view(now).share,
        )

    def _refusal(
        self,
        admitted: admission.Admitted,
        request: waiting.WaitingRequest,
        turn: gate.Turn,
    ) -> failures.Failure:
        now = clock.monotonic_seconds()
        self.refused.record(returning.key_of(admitted), now)
        self.figures.refusals[request.service] += 1
        times = self.return_times.setdefault(
            request.service, return_times.ReturnTimes()
        )
        retry_after = times.retry_after(
            request,
            turn.wait,
            admitted.deadline - now,
            now,
            self.context.rng.random(),
        )
        pause = self.context.pause_seconds(admitted, now)
        if pause:
            spread = retry_policy.backoff_seconds(self.context.rng.random())
            retry_after = max(retry_after, pause + spread)
        _log_refusal(admitted, request, turn, retry_after, now)
        return failures.NoPlace(
            'too much waits for the upstreams', retry_after_seconds=retry_after
        )


def _log_refusal(
    admitted: admission.Admitted,
    request: waiting.WaitingRequest,
    turn: gate.Turn,
    retry_after: float,
    now: float,
) -> None:
    wait: wait_prediction.PredictedWait = turn.wait
    LOGGER.info(
        'no turn in time',
        extra={
            'request_id': admitted.metadata.attempt_id,
            'service': request.service,
            'rank': request.rank,
            'has_queued': turn.waited,
            'is_returning': request.is_returning,
            'waited_ms': _milliseconds(now - request.arrived_at),
            'expected_wait_ms': _milliseconds(wait.seconds),
            'max_wait_ms': _milliseconds(request.max_wait_seconds),
            'requests_before': wait.requests_before,
            'work_before': round(wait.work_before, 1),
            'work_per_second': round(wait.work_per_second, 1),
            'own_per_second': round(wait.own_per_second, 1),
            'upstream_ms': _milliseconds(wait.upstream_seconds),
            'retry_after_ms': _milliseconds(retry_after),
        },
    )


def _milliseconds(seconds: float) -> int:
    return int(seconds * MILLISECONDS_PER_SECOND)
