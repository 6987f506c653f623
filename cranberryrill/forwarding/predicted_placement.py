"""Choose the upstream for a request by predicted times.

The cost of an engine is in milliseconds: the predicted time to the first event,
and what the request would cost itself and others later. Plain services are
placed as without predictions.
"""

import dataclasses
import math
import random
from collections import abc

import xxhash

from cranberryrill.engine_model import prediction, speed_level
from cranberryrill.forwarding import (
    cache_source,
    departure,
    placement,
    placement_option,
    predicted_request,
    upstreams,
)
from cranberryrill.spillover import offers

# Share of the delays of other requests that counts: most of them have time
# until their target.
OTHERS_DELAY_SHARE = 0.15
# A stream whose gaps are too long has lost its value, so that a little excess
# counts as much as waiting for a whole prompt elsewhere.
GAP_EXCESS_WEIGHT = 5
# A prefill may interrupt streams for this share of their longest gap, since
# other entries may send prompts at the same moment. Each millisecond beyond it
# counts for each stream.
INTERRUPTION_SHARE = 0.4
INTERRUPTED_WEIGHT = 1
# Bonus of the session's upstream, so that a session starts on one upstream when
# the costs are nearly equal.
AFFINITY_BONUS_MS = 10
# Delay of other requests when a decode-heavy request is sent outside the decode
# pool, or a request that is not decode-heavy is sent to it.
WRONG_POOL_MS = 70
# Further delay by a request that is not decode-heavy: for each decode-heavy
# request that is open there, and in the pool for each millisecond of prefill.
DELAYED_REQUEST_MS = 13
WRONG_POOL_PREFILL_FACTOR = 2
# Cost of an upstream all of whose requests fail.
FAILURE_MS = 1000
# Cost of an upstream whose memory the request would fill: it then preempts
# requests, which run again, or crashes. Below the margin, a part of it counts,
# since other entries may send requests at the same moment.
MEMORY_FULL_MS = 2000
MEMORY_MARGIN_SHARE = 0.05
# Random part of the cost, so that entries that see the same load don't all
# choose the same upstream.
JITTER_MS = 0.7
JITTER_SHARE = 0.05
HASH_BITS = 64
# A float holds the others exactly, so that a hash is never rounded to 1.
UNUSED_HASH_BITS = 12


class PredictingSelector(placement.UpstreamSelector):
    """Choose the engine with the lowest predicted cost for a request."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self.departures = departure.Departures()

    def _choose_engine(
        self,
        request: placement.PlacementRequest,
        usable: abc.Sequence[upstreams.Upstream],
        now: float,
    ) -> placement.Choice:
        if not isinstance(request, predicted_request.PredictedRequest):
            return super()._choose_engine(request, usable, now)
        sources = cache_source.Sources(request, usable)
        groups = {
            data_centre: self._options(request, members, sources, now)
            for data_centre, members in departure.by_data_centre(usable).items()
        }
        decision = self._decide(request, groups, now)
        best = groups[decision.data_centre][0]
        choice = placement.Choice(
            best.upstream,
            int(best.fetch.missing_tokens),
            best.cost,
            len(usable),
            best.is_preferred,
            placement.prefill_backlog(best.upstream, request),
            best.fetch.source,
            predicted=best.predicted,
            departure=decision,
            latencies=self.departures.latencies,
        )
        return dataclasses.replace(choice, observer=request.observer_of(choice))

    def _choose_plain(
        self,
        request: placement.PlacementRequest,
        usable: abc.Sequence[upstreams.Upstream],
        now: float,
    ) -> placement.Choice:
        costs = {
            upstream.id: self._plain_cost(upstream, request, now)
            for upstream in usable
        }
        decision = self.departures.decide_plain(request, costs, usable, now)
        members = departure.by_data_centre(usable)[decision.data_centre]
        best = min(members, key=lambda upstream: costs[upstream.id])
        return placement.Choice(
            best,
            0,
            costs[best.id],
            len(usable),
            has_affinity=False,
            departure=decision,
            latencies=self.departures.latencies,
        )

    def _options(
        self,
        request: predicted_request.PredictedRequest,
        members: abc.Sequence[upstreams.Upstream],
        sources: cache_source.Sources,
        now: float,
    ) -> list[placement_option.Option]:
        """Return the options in one data centre, the best one first.

        It has a decode pool of its own; without one, its requests are not
        separated.
        """
        local = request
        if request.decode_pool_ids:
            pool_ids = request.decode_pool_ids.intersection(
                upstream.id for upstream in members
            )
            local = dataclasses.replace(request, decode_pool_ids=pool_ids)
        preferred = preferred_upstream(
            request.session, placement.affinity_candidates(local, members), now
        )
        options = [
            self._option(
                upstream,
                local,
                sources.fetch_for(upstream),
                now,
                is_preferred=upstream is preferred,
            )
            for upstream in members
        ]
        return sorted(options, key=placement_option.random_cost)

    def _decide(
        self,
        request: predicted_request.PredictedRequest,
        groups: abc.Mapping[str, list[placement_option.Option]],
        now: float,
    ) -> offers.Decision:
        bounds = self.departures.bounds(request, request.max_gap_ms, now)
        own = request.data_centre
        latencies = self.departures.latencies
        neighbours = [
            bounds.neighbour(
                data_centre,
                placement_option.estimate(options),
                [option.cost for option in options],
                latencies.way_ms(data_centre, request.need.body_bytes),
            )
            for data_centre, options in groups.items()
            if data_centre != own
        ]
        home = (
            bounds.home(placement_option.estimate(groups[own]))
            if own in groups
            else None
        )
        return self.departures.policy.decide(
            request.need, (own, home), neighbours, bounds.scale, now
        )

    def _option(
        self,
        upstream: upstreams.Upstream,
        request: predicted_request.PredictedRequest,
        fetch: cache_source.Fetch,
        now: float,
        *,
        is_preferred: bool,
    ) -> placement_option.Option:
        """Return what it costs, in milliseconds, to send the request there."""
        missing = fetch.missing_tokens
        predicted = request.predict(upstream, missing, now)
        trouble_ms = (
            _memory_cost(predicted, request)
            + upstream.failure_rate(now) * FAILURE_MS
        )
        return placement_option.Option(
            upstream,
            predicted.first_token_ms
            + predicted.others_delay_ms * OTHERS_DELAY_SHARE
            + _gap_cost(predicted, request)
            + _interruption_cost(upstream, request, predicted)
            + trouble_ms
            + _wrong_pool_cost(upstream, request, missing, now)
            - is_preferred * AFFINITY_BONUS_MS,
            predicted.first_token_ms * JITTER_SHARE * self.rng.random()
            + self.rng.random() * JITTER_MS,
            predicted.first_token_ms + trouble_ms,
            predicted,
            fetch,
            is_preferred,
        )


def preferred_upstream(
    session: str,
    usable: abc.Sequence[upstreams.Upstream],
    now: float,
) -> upstreams.Upstream | None:
    """Return the preferred upstream of a session, by rendezvous hashing.

    Faster upstreams are preferred by more sessions, in proportion to their
    quantised speeds. None if the request belongs to no session.
    """
    if not session:
        return None
    return max(
        usable, key=lambda upstream: _affinity_score(session, upstream, now)
    )


def _affinity_score(
    session: str, upstream: upstreams.Upstream, now: float
) -> float:
    level = predicted_request.model_of(upstream).speed_level(now)
    digest = xxhash.xxh64_intdigest(f'{session}/{upstream.id}'.encode())
    uniform = ((digest >> UNUSED_HASH_BITS) + 0.5) / math.exp2(
        HASH_BITS - UNUSED_HASH_BITS
    )
    return speed_level.RATIO**level / -math.log(uniform)


def _gap_cost(
    predicted: prediction.Prediction,
    request: predicted_request.PredictedRequest,
) -> float:
    """Return the cost of gaps that are longer than the route allows."""
    if request.max_gap_ms <= 0:
        return 0
    excess_ms = max(predicted.event_gap_ms - request.max_gap_ms, 0)
    return excess_ms * GAP_EXCESS_WEIGHT


def _memory_cost(
    predicted: prediction.Prediction,
    request: predicted_request.PredictedRequest,
) -> float:
    """Return the cost of memory that is used up, or nearly so."""
    margin = request.engine.cache_tokens * MEMORY_MARGIN_SHARE
    if predicted.memory_left_tokens >= margin:
        return 0
    shortage = (margin - predicted.memory_left_tokens) / margin
    return MEMORY_FULL_MS * shortage


def _interruption_cost(
    upstream: upstreams.Upstream,
    request: predicted_request.PredictedRequest,
    predicted: prediction.Prediction,
) -> float:
    """Return what the prefill costs the decode-heavy streams on the upstream.

    Their gaps may last until the first event of this request.
    """
    if request.is_decode_heavy:
        return 0
    allowed_ms = request.tight_gap_ms * INTERRUPTION_SHARE
    excess_ms = max(predicted.first_token_ms - allowed_ms, 0)
    interrupted = _decode_heavy_requests(upstream, request)
    return excess_ms * interrupted * INTERRUPTED_WEIGHT


def _decode_heavy_requests(
    upstream: upstreams.Upstream,
    request: predicted_request.PredictedRequest,
) -> int:
    return (
        upstream.decode_heavy_requests
        + request.peer_decode_heavy_requests.get(upstream.id, 0)
    )


def _wrong_pool_cost(
    upstream: upstreams.Upstream,
    request: predicted_request.PredictedRequest,
    missing: float,
    now: float,
) -> float:
    if not request.decode_pool_ids:
        return 0
    is_in_decode_pool = upstream.id in request.decode_pool_ids
    if request.is_decode_heavy:
        return 0 if is_in_decode_pool else WRONG_POOL_MS
    # Streams of upstreams that were in the pool until lately count, too.
    delayed_ms = DELAYED_REQUEST_MS * _decode_heavy_requests(upstream, request)
    if not is_in_decode_pool:
        return delayed_ms
    speed = predicted_request.model_of(upstream).estimate(now)
    prefill_ms = missing * speed.prefill_ms_per_token
    return WRONG_POOL_MS + delayed_ms + WRONG_POOL_PREFILL_FACTOR * prefill_ms
