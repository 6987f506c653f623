"""Choose the upstream for a request.

For model engines, the cost of an upstream is the number of prompt tokens that
it must process (prefill) before the request's first output token: the
uncached part of the request's own prompt and the prompts queued ahead of it.
Requests of one session prefer the same upstream, which every process computes
by itself. They go elsewhere when its backlog is so long that processing the
shared parts of the prompt again is faster.

For plain services, the least loaded upstream is chosen. Upstreams in the
entry's own data centre are favoured.
"""

import dataclasses
import random
from collections import abc as collection_types

import xxhash

from cranberryrill.engine_model import prediction
from cranberryrill.forwarding import (
    cache_fetch,
    caller_request,
    stream_observer,
    upstreams,
    usable_upstreams,
)
from cranberryrill.spillover import latency, offers

# Costs for model engines are in prompt tokens: the number of tokens that an
# engine prefills in the time by which the first output token is delayed.
#
# Delay caused by each request that is running on the upstream.
RUNNING_REQUEST_COST_TOKENS = 60
# Average prefill of a request that waits on the upstream.
WAITING_REQUEST_COST_TOKENS = 1500
# Bonus of the session's upstream, so that a session starts on one upstream when
# the costs are nearly equal.
AFFINITY_BONUS_TOKENS = 600
# Delay of other requests when a decode-heavy request is sent outside the decode
# pool, or a request that is not decode-heavy is sent to it.
WRONG_POOL_COST_TOKENS = 4000
# Further delay when a request that is not decode-heavy is sent to the decode
# pool: for each decode-heavy request open there, and for each token to prefill.
DELAYED_REQUEST_COST_TOKENS = 800
WRONG_POOL_PREFILL_FACTOR = 2
# Upper bound of the delay between data centres.
CROSS_DATA_CENTRE_COST_TOKENS = 150
# Cost of an upstream all of whose requests fail.
FAILURE_COST_TOKENS = 60_000
# Costs for plain services are in units of utilisation: open requests divided
# by slots.
CROSS_DATA_CENTRE_COST_UTILISATION = 0.3
FAILURE_COST_UTILISATION = 6.0
JITTER_UTILISATION = 0.02
# Larger than any prompt; the missing tokens at the source if fetching is off.
UNFETCHABLE_TOKENS = 1_000_000_000
JITTER_TOKENS = 40


@dataclasses.dataclass(frozen=True)
class PlacementRequest:
    """Properties of a request, and load from other entries, used to place it.

    The mappings are keyed by upstream id.
    """

    parts: tuple[caller_request.PromptPart, ...]
    session: str
    data_centre: str
    is_engine: bool
    # Whether generating the response takes longer than prefilling the prompt.
    is_decode_heavy: bool = False
    # Ids of the upstreams reserved for decode-heavy requests; empty when
    # requests are not separated.
    decode_pool_ids: frozenset[str] = frozenset()
    # Load that other entries have sent to each upstream: prompt tokens not yet
    # prefilled, open decode-heavy requests and, below, all open requests.
    peer_prefill_tokens: collection_types.Mapping[str, int] = dataclasses.field(
        default_factory=dict,
    )
    peer_decode_heavy_requests: collection_types.Mapping[str, int] = (
        dataclasses.field(
            default_factory=dict,
        )
    )
    # Time of fetching a cached token from another upstream, as a fraction of
    # the time of prefilling it; None if upstreams can't fetch, or not faster.
    fetch_cost_ratio: float | None = None
    # When the request was received, on the monotonic clock.
    received_at: float = float('-inf')
    peer_open_requests: collection_types.Mapping[str, int] = dataclasses.field(
        default_factory=dict,
    )
    # What decides whether it leaves its data centre.
    need: offers.Need = offers.Need()


@dataclasses.dataclass(frozen=True)
class Choice:
    """The chosen upstream, with the values that are logged or reused.

    `cost` is in prompt tokens for engines and in utilisation for plain
    services; `candidates` counts the upstreams considered.
    """

    upstream: upstreams.Upstream
    missing_tokens: int
    cost: float
    candidates: int
    has_affinity: bool
    # Prompt tokens that the upstream had to prefill before this request.
    backlog_tokens: int = 0
    # Upstream to fetch cached parts from; None if none are fetched.
    fetch_from: upstreams.Upstream | None = None
    # Whether an upstream was left out because of what its responses ask for.
    has_avoided: bool = False
    # What the request would meet there, and what measures the response; None
    # where upstreams are not compared by predicted times.
    predicted: prediction.Prediction | None = None
    observer: stream_observer.StreamObserver | None = None
    # Whether and why it leaves its data centre, and where the latency of its
    # connection is recorded; None as above.
    departure: offers.Decision | None = None
    latencies: latency.Latencies | None = None


class UpstreamSelector:
    """Choose the upstream with the lowest cost for a request.

    `rng` adds a small random jitter to each cost.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng

    def choose(
        self,
        request: PlacementRequest,
        candidates: collection_types.Sequence[upstreams.Upstream],
        excluded: collection_types.Container[str],
        now: float,
    ) -> Choice | None:
        """Return the cheapest upstream; None when no one may be chosen.

        `excluded` holds upstream ids. Unreachable and leaving upstreams are
        considered only if no other is left. Those whose limit is used up, or
        that have asked for a pause, are not.
        """
        usable = usable_upstreams.usable(
            request.received_at, candidates, excluded, now
        )
        if not usable:
            return None
        if request.is_engine:
            choice = self._choose_engine(request, usable, now)
        else:
            choice = self._choose_plain(request, usable, now)
        has_avoided = usable_upstreams.has_avoided(candidates, usable)
        return dataclasses.replace(choice, has_avoided=has_avoided)

    def _choose_engine(
        self,
        request: PlacementRequest,
        usable: collection_types.Sequence[upstreams.Upstream],
        now: float,
    ) -> Choice:
        preferred = affinity_upstream(
            request.session, affinity_candidates(request, usable)
        )
        missing = {
            upstream.id: upstream.cache.missing_tokens(request.parts)
            for upstream in usable
        }
        source, missing_at_source = fetch_source(request, usable)
        costs = {
            upstream.id: self._engine_cost(
                upstream,
                cache_fetch.effective_missing_tokens(
                    missing[upstream.id],
                    missing_at_source,
                    request.fetch_cost_ratio or 1,
                ),
                request,
                now,
            )
            - (upstream is preferred) * AFFINITY_BONUS_TOKENS
            for upstream in usable
        }
        best = min(usable, key=lambda upstream: costs[upstream.id])
        fetches = (
            missing[best.id] - missing_at_source
            >= cache_fetch.MIN_FETCHED_TOKENS
        )
        return Choice(
            best,
            int(
                cache_fetch.effective_missing_tokens(
                    missing[best.id],
                    missing_at_source,
                    request.fetch_cost_ratio or 1,
                )
            ),
            costs[best.id],
            len(usable),
            best is preferred,
            prefill_backlog(best, request),
            source if fetches else None,
        )

    def _engine_cost(
        self,
        upstream: upstreams.Upstream,
        missing: float,
        request: PlacementRequest,
        now: float,
    ) -> float:
        is_remote = upstream.registration.data_centre != request.data_centre
        running = upstream.open_requests + max(
            request.peer_open_requests.get(upstream.id, 0),
            upstream.peer_running(now),
        )
        return (
            missing
            + _wrong_pool_cost(upstream, missing, request)
            + prefill_backlog(upstream, request)
            + running * RUNNING_REQUEST_COST_TOKENS
            + upstream.reported_waiting(now) * WAITING_REQUEST_COST_TOKENS
            + is_remote * CROSS_DATA_CENTRE_COST_TOKENS
            + upstream.failure_rate(now) * FAILURE_COST_TOKENS
            + self.rng.random() * JITTER_TOKENS
        )

    def _choose_plain(
        self,
        request: PlacementRequest,
        usable: collection_types.Sequence[upstreams.Upstream],
        now: float,
    ) -> Choice:
        costs = {
            upstream.id: self._plain_cost(upstream, request, now)
            for upstream in usable
        }
        best = min(usable, key=lambda upstream: costs[upstream.id])
        return Choice(best, 0, costs[best.id], len(usable), has_affinity=False)

    def _plain_cost(
        self,
        upstream: upstreams.Upstream,
        request: PlacementRequest,
        now: float,
    ) -> float:
        is_remote = upstream.registration.data_centre != request.data_centre
        active = upstream.open_requests + max(
            request.peer_open_requests.get(upstream.id, 0),
            upstream.peer_running(now) + upstream.reported_waiting(now),
        )
        return (
            active / max(upstream.registration.slots, 1)
            + is_remote * CROSS_DATA_CENTRE_COST_UTILISATION
            + upstream.failure_rate(now) * FAILURE_COST_UTILISATION
            + self.rng.random() * JITTER_UTILISATION
        )


def affinity_upstream(
    session: str,
    usable: collection_types.Sequence[upstreams.Upstream],
) -> upstreams.Upstream | None:
    """Return the preferred upstream of a session, by rendezvous hashing.

    None if the request belongs to no session.
    """
    if not session:
        return None
    return max(
        usable,
        key=lambda upstream: xxhash.xxh64_intdigest(
            f'{session}/{upstream.id}'.encode(),
        ),
    )


def fetch_source(
    request: PlacementRequest,
    usable: collection_types.Sequence[upstreams.Upstream],
) -> tuple[upstreams.Upstream, int]:
    """Return where most of the prompt is cached, and the tokens missing there.

    More tokens than any prompt has if upstreams can't fetch from each other.
    """
    if request.fetch_cost_ratio is None:
        return usable[0], UNFETCHABLE_TOKENS
    missing_ready = {
        upstream.id: upstream.cache.missing_tokens(request.parts, ready=True)
        for upstream in usable
    }
    source = min(usable, key=lambda upstream: missing_ready[upstream.id])
    return source, missing_ready[source.id]


def affinity_candidates(
    request: PlacementRequest,
    usable: collection_types.Sequence[upstreams.Upstream],
) -> collection_types.Sequence[upstreams.Upstream]:
    """Return the upstreams from which the session's upstream is chosen.

    These are the ones inside the decode pool for decode-heavy requests and the
    ones outside for others; all when no such upstream is usable.
    """
    if not request.decode_pool_ids:
        return usable
    same_kind = [
        upstream
        for upstream in usable
        if (upstream.id in request.decode_pool_ids) == request.is_decode_heavy
    ]
    return same_kind or usable


def prefill_backlog(
    upstream: upstreams.Upstream, request: PlacementRequest
) -> int:
    """Return how many prompt tokens the upstream has yet to prefill."""
    peer_tokens = request.peer_prefill_tokens.get(upstream.id, 0)
    return sum(upstream.prefill_tokens.values()) + peer_tokens


def _wrong_pool_cost(
    upstream: upstreams.Upstream,
    missing: float,
    request: PlacementRequest,
) -> float:
    if not request.decode_pool_ids:
        return 0
    is_in_decode_pool = upstream.id in request.decode_pool_ids
    if request.is_decode_heavy == is_in_decode_pool:
        return 0
    if request.is_decode_heavy:
        return WRONG_POOL_COST_TOKENS
    delayed = (
        upstream.decode_heavy_requests
        + request.peer_decode_heavy_requests.get(upstream.id, 0)
    )
    return (
        WRONG_POOL_COST_TOKENS
        + DELAYED_REQUEST_COST_TOKENS * delayed
        + WRONG_POOL_PREFILL_FACTOR * missing
    )
