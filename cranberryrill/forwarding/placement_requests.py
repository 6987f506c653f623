"""Collect what the placement of a request depends on, and log its result."""

import logging
import math

from cranberryrill.engine_model import prediction, predictor
from cranberryrill.forwarding import (
    admission,
    cache_fetch,
    decode_pool,
    placement,
    predicted_request,
    service_statistics,
    speed_pools,
    upstreams,
)
from cranberryrill.spillover import offers

LOGGER = logging.getLogger(__name__)
MILLISECONDS_PER_SECOND = 1000


def make_request(
    admitted: admission.Admitted,
    candidates: list[upstreams.Upstream],
    statistics: service_statistics.ServiceStatistics,
    data_centre: str,
    now: float,
) -> placement.PlacementRequest:
    """Return the properties of a request, and the load of other entries."""
    engine = admitted.service.engine
    loads = statistics.peer_loads
    if engine is None:
        return placement.PlacementRequest(
            (),
            '',
            data_centre,
            is_engine=False,
            peer_open_requests=loads.open_requests,
            received_at=admitted.request.received_at,
            need=_need(admitted),
        )
    metadata = admitted.metadata
    pool_size = statistics.decode_pool_size(admitted.service, now)
    prefill_rate = statistics.prefill_rate(admitted.service.name)
    request = placement.PlacementRequest(
        parts=metadata.parts,
        session=metadata.session,
        data_centre=data_centre,
        is_engine=True,
        is_decode_heavy=decode_pool.is_decode_heavy(metadata),
        decode_pool_ids=_decode_pool(statistics, candidates, pool_size, now),
        peer_prefill_tokens=loads.prefill_tokens,
        peer_open_requests=loads.open_requests,
        peer_decode_heavy_requests=loads.decode_heavy_requests,
        fetch_cost_ratio=cache_fetch.fetch_cost_ratio(
            engine.token_bytes,
            engine.link_mbps,
            prefill_rate.tokens_per_ms,
        ),
        received_at=admitted.request.received_at,
        need=_need(admitted),
    )
    if statistics.pool.models is None:
        return request
    model = statistics.pool.models.service(admitted.service.name)
    max_gap_ms = admitted.route.event_gap_ms
    if request.is_decode_heavy:
        model.record_tight_gap(max_gap_ms, now)
    part_tokens = sum(part.tokens for part in metadata.parts)
    return predicted_request.PredictedRequest.extend(
        request,
        engine,
        predictor.Demand(
            metadata.prompt_tokens or part_tokens, metadata.output_tokens
        ),
        (max_gap_ms, model.tight_gap_ms(now)),
        loads.memory_tokens,
    )


def _decode_pool(
    statistics: service_statistics.ServiceStatistics,
    candidates: list[upstreams.Upstream],
    pool_size: int,
    now: float,
) -> frozenset[str]:
    """Return the decode pool, of the fastest upstreams if these are known."""
    if statistics.pool.models is None:
        return decode_pool.pool_members(candidates, pool_size)
    return speed_pools.local_members(candidates, pool_size, now)


def _need(admitted: admission.Admitted) -> offers.Need:
    return offers.Need(
        admitted.service.name,
        admitted.metadata.attempt_id,
        admitted.route.target_latency_ms,
        len(admitted.request.body),
    )


def log_choice(
    choice: placement.Choice,
    admitted: admission.Admitted,
    now: float,
    proof_age: float,
) -> None:
    """Log where a request is placed, and what decided it."""
    waited = now - admitted.request.received_at
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
            'shared_parts': admitted.metadata.shared_parts,
            'version': admitted.version,
            'waited_ms': int(waited * MILLISECONDS_PER_SECOND),
            'proof_age_ms': int(proof_age * MILLISECONDS_PER_SECOND),
            **predicted_fields(choice.predicted),
            **departure_fields(choice.departure),
        },
    )


def departure_fields(
    decision: offers.Decision | None,
) -> dict[str, bool | str]:
    """Return the log fields on leaving; none where it is not decided."""
    if decision is None:
        return {}
    if decision.cause is None:
        return {'remote': False}
    return {'remote': True, 'remote_cause': decision.cause.value}


def predicted_fields(
    predicted: prediction.Prediction | None,
) -> dict[str, float | None]:
    """Return the log fields of a prediction; none without one."""
    if predicted is None:
        return {}
    memory_left = predicted.memory_left_tokens
    return {
        'predicted_ms': round(predicted.first_token_ms, 1),
        'predicted_gap_ms': round(predicted.event_gap_ms, 1),
        'others_delay_ms': round(predicted.others_delay_ms, 1),
        'memory_left': int(memory_left) if math.isfinite(memory_left) else None,
    }
