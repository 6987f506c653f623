"""Read the open requests at the upstreams of a plain service."""

import math
from collections import abc

from cranberryrill.forwarding import admission, dispatch_queue, upstreams
from cranberryrill.queueing import peer_news, place_capacity, waiting

# While the loads of all other entries are known, an older report of an upstream
# says less than they do.
FRESH_REPORT_SECONDS = 0.1


class UpstreamPlaces:
    """Open requests of this process and of others, by upstream."""

    def __init__(
        self,
        context: dispatch_queue.QueueContext,
        news: peer_news.PeerNews,
    ) -> None:
        self.context = context
        self.news = news

    def state(self, service: str, now: float) -> place_capacity.PlaceState:
        """Return the load of this process, and who else sends requests."""
        candidates = self.context.pool.for_service(service)
        ids = {upstream.id for upstream in candidates}
        by_entry = self.context.peer_loads.by_entry
        active = sum(not ids.isdisjoint(loads) for loads in by_entry.values())
        view = self.news.view(now)
        return place_capacity.PlaceState(
            own_open=sum(upstream.open_requests for upstream in candidates),
            upstreams=len(candidates),
            slots=sum(upstream.registration.slots for upstream in candidates),
            entries=math.ceil((active + 1) * view.scale),
            share=view.share,
        )

    def places(
        self, request: waiting.WaitingRequest, now: float
    ) -> list[place_capacity.Place] | None:
        """Return the upstreams that a request may be sent to now.

        None if there are none for which it could wait.
        """
        accepting = [
            upstream
            for upstream in self.context.pool.for_service(
                request.service, request.regions
            )
            if upstream.avoidance.accepts(request.arrived_at)
        ]
        if not accepting:
            return None
        view = self.news.view(now)
        return [
            self._place(upstream, view, now)
            for upstream in reachable(accepting, now)
        ]

    def full_upstreams(
        self,
        admitted: admission.Admitted,
        excluded: abc.Container[str],
        now: float,
    ) -> frozenset[str]:
        """Return the ids of upstreams without room; none if all are full."""
        view = self.news.view(now)
        candidates = [
            upstream
            for upstream in reachable(
                self.context.pool.for_service(
                    admitted.service.name, admitted.regions
                ),
                now,
            )
            if upstream.id not in excluded
            and upstream.avoidance.accepts(admitted.request.received_at)
        ]
        full = frozenset(
            upstream.id
            for upstream in candidates
            if self._place(upstream, view, now).room < 1
        )
        return full if len(full) < len(candidates) else frozenset()

    def _place(
        self, upstream: upstreams.Upstream, view: peer_news.View, now: float
    ) -> place_capacity.Place:
        others: float = self.context.peer_loads.open_requests[upstream.id]
        others += view.last_open.get(upstream.id, 0)
        report_age = now - upstream.load.reported_at
        if not view.is_complete or report_age < FRESH_REPORT_SECONDS:
            reported = upstream.peer_running(now)
            reported += upstream.reported_waiting(now)
            others = max(others, reported)
        return place_capacity.Place(
            upstream.registration.slots, upstream.open_requests, others
        )


def reachable(
    candidates: abc.Iterable[upstreams.Upstream], now: float
) -> list[upstreams.Upstream]:
    """Return the upstreams that may be sent a request now.

    Those that accepted no connection count only if there are no others.
    """
    ready = upstreams.open_upstreams(list(candidates), now)
    return [
        upstream for upstream in ready if now >= upstream.unreachable_until
    ] or ready
