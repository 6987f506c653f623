"""Request that is placed by predicted times, and the load it would meet."""

import dataclasses
import math
from collections import abc

from cranberryrill.engine_model import prediction, predictor, upstream_model
from cranberryrill.forwarding import placement, stream_observer, upstreams
from cranberryrill.traffic import document

# Average prompt of a request that an upstream reports as waiting, and that no
# other entry has reported.
UNKNOWN_PROMPT_TOKENS = 1500


class MissingModel(Exception):
    """An upstream has no model, although times are predicted."""


@dataclasses.dataclass(frozen=True)
class PredictedRequest(placement.PlacementRequest):
    """Request to an engine whose times at each upstream are predicted."""

    engine: document.Engine = document.Engine(0, 0)
    demand: predictor.Demand = predictor.Demand(0, 0)
    # Longest time between two events that is on time; 0 if there is no limit.
    max_gap_ms: float = 0
    # The shortest such time of a decode-heavy route of the service, from which
    # requests were seen lately; infinite without one.
    tight_gap_ms: float = math.inf
    # Memory taken by open requests of other entries, by upstream id.
    peer_memory_tokens: abc.Mapping[str, int] = dataclasses.field(
        default_factory=dict,
    )

    @classmethod
    def extend(
        cls,
        request: placement.PlacementRequest,
        engine: document.Engine,
        demand: predictor.Demand,
        gaps_ms: tuple[float, float],
        peer_memory_tokens: abc.Mapping[str, int],
    ) -> 'PredictedRequest':
        """Return a request with what its prediction needs.

        `gaps_ms` holds the longest gap of its route, and the shortest of the
        longest gaps of decode-heavy routes.
        """
        max_gap_ms, tight_gap_ms = gaps_ms
        return cls(
            **{
                field.name: getattr(request, field.name)
                for field in dataclasses.fields(request)
            },
            engine=engine,
            demand=demand,
            max_gap_ms=max_gap_ms,
            tight_gap_ms=tight_gap_ms,
            peer_memory_tokens=peer_memory_tokens,
        )

    def predict(
        self, upstream: upstreams.Upstream, missing: float, now: float
    ) -> prediction.Prediction:
        """Predict what the request would meet at an upstream.

        `missing` is the part of its prompt that is not cached there.
        """
        return predictor.predict(
            model_of(upstream),
            self.load_at(upstream, now),
            self.demand,
            missing,
            self.engine,
            now,
        )

    def load_at(
        self, upstream: upstreams.Upstream, now: float
    ) -> predictor.Load:
        """Return the requests of all entries on an upstream.

        What the upstream reports counts beyond what entries report.
        """
        peer_open = self.peer_open_requests.get(upstream.id, 0)
        known = upstream.open_requests + peer_open
        unknown_waiting = max(upstream.reported_waiting(now) - known, 0)
        return predictor.Load(
            placement.prefill_backlog(upstream, self)
            + unknown_waiting * UNKNOWN_PROMPT_TOKENS,
            upstream.open_requests + max(peer_open, upstream.peer_running(now)),
            sum(upstream.memory_tokens.values())
            + self.peer_memory_tokens.get(upstream.id, 0),
        )

    def observer_of(
        self, choice: placement.Choice
    ) -> stream_observer.StreamObserver:
        """Return what measures the response of the chosen upstream."""
        to_prefill = choice.backlog_tokens + choice.missing_tokens
        return stream_observer.StreamObserver(
            choice.upstream,
            model_of(choice.upstream),
            self.demand,
            # A fetch takes time that is no prefill.
            to_prefill if choice.fetch_from is None else None,
            self.peer_open_requests,
            self.peer_prefill_tokens,
        )


def model_of(upstream: upstreams.Upstream) -> upstream_model.UpstreamModel:
    """Return the model of an upstream."""
    if upstream.model is None:
        raise MissingModel(upstream.id)
    return upstream.model
