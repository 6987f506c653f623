"""Measure the time to the first event of a stream and between its events."""

from collections import abc

from cranberryrill.engine_model import predictor, upstream_model
from cranberryrill.forwarding import upstreams

MILLISECONDS_PER_SECOND = 1000


class StreamObserver:
    """Measurements of one attempt, for the model of its upstream.

    `peer_open_requests` and `peer_prefill_tokens` hold the present load of
    other entries by upstream id.
    """

    def __init__(
        self,
        upstream: upstreams.Upstream,
        model: upstream_model.UpstreamModel,
        demand: predictor.Demand,
        prefill_tokens: float | None,
        peer_open_requests: abc.Mapping[str, int],
        peer_prefill_tokens: abc.Mapping[str, int],
    ) -> None:
        self.upstream = upstream
        self.model = model
        self.demand = demand
        # Tokens to prefill before the first event, own ones and those ahead;
        # None if the time to the first event shows no prefill speed.
        self.prefill_tokens = prefill_tokens
        self.peer_open_requests = peer_open_requests
        self.peer_prefill_tokens = peer_prefill_tokens
        self.sent_at = float('-inf')
        # When the latest event was received; None if that is not known.
        self.event_at: float | None = None
        self.has_event = False
        self.is_interrupted = False

    def start(self, handle: object, now: float) -> None:
        """Record that the request is sent; `handle` identifies it."""
        self.sent_at = now
        self.upstream.memory_tokens[handle] = self.demand.memory_tokens

    def record_events(self, events: int, now: float, *, waited: bool) -> None:
        """Record that events of the response were read together.

        `waited` is whether they arrived just now: events that had arrived
        while this process was busy, or while the caller was slow, don't show
        when the upstream sent them.
        """
        self._record_first(now)
        previous = self.event_at
        self.event_at = now if waited else None
        was_interrupted = self.is_interrupted
        self.is_interrupted = self._has_prefill()
        if previous is None or not waited:
            return
        gap_ms = (now - previous) * MILLISECONDS_PER_SECOND
        running = self._other_requests()
        if not was_interrupted and not self.is_interrupted:
            self.model.record_gap(gap_ms, max(events, 1), running, now)
        expected_ms = self.model.estimate(now).gap_ms(running) * max(events, 1)
        self.model.record_interruption(max(gap_ms - expected_ms, 0), now)

    def _record_first(self, now: float) -> None:
        if self.has_event:
            return
        self.has_event = True
        if self.prefill_tokens is not None:
            wait_ms = (now - self.sent_at) * MILLISECONDS_PER_SECOND
            self.model.record_prefill(self.prefill_tokens, wait_ms, now)

    def _has_prefill(self) -> bool:
        return bool(
            self.upstream.prefill_tokens
            or self.peer_prefill_tokens.get(self.upstream.id, 0)
        )

    def _other_requests(self) -> int:
        peers = self.peer_open_requests.get(self.upstream.id, 0)
        return max(self.upstream.open_requests + peers - 1, 0)
