"""Collect what the placement of a request depends on, and log its result."""

import logging

from cranberryrill.forwarding import (
    admission,
    cache_fetch,
    decode_pool,
    placement,
    service_statistics,
    upstreams,
)

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
        )
    metadata = admitted.metadata
    pool_size = statistics.decode_pool_size(admitted.service, now)
    prefill_rate = statistics.prefill_rate(admitted.service.name)
    return placement.PlacementRequest(
        parts=metadata.parts,
        session=metadata.session,
        data_centre=data_centre,
        is_engine=True,
        is_decode_heavy=decode_pool.is_decode_heavy(metadata),
        decode_pool_ids=decode_pool.pool_members(candidates, pool_size),
        peer_prefill_tokens=loads.prefill_tokens,
        peer_open_requests=loads.open_requests,
        peer_decode_heavy_requests=loads.decode_heavy_requests,
        fetch_cost_ratio=cache_fetch.fetch_cost_ratio(
            engine.token_bytes,
            engine.link_mbps,
            prefill_rate.tokens_per_ms,
        ),
        received_at=admitted.request.received_at,
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
        },
    )
