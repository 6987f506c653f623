"""Statistics on the requests of each service, as seen by this process."""

from collections import abc

from cranberryrill.forwarding import (
    caller_request,
    decode_pool,
    peer_loads,
    request_queue,
    upstream_pool,
)
from cranberryrill.traffic import document


class ServiceStatistics:
    """Prefill rates, and which requests are decode-heavy."""

    def __init__(
        self, pool: upstream_pool.Pool, loads: peer_loads.PeerLoads
    ) -> None:
        self.pool = pool
        self.peer_loads = loads
        self.prefill_rates: dict[str, request_queue.PrefillRate] = {}
        # Whether the latest request of each route was decode-heavy.
        self.decode_heavy_routes: dict[str, bool] = {}
        self.decode_heavy_peaks: dict[str, decode_pool.DecodeHeavyPeak] = {}

    def record_request(
        self, route: document.Route, metadata: caller_request.Metadata
    ) -> bool:
        """Record a request of a route; return whether it is decode-heavy."""
        is_decode_heavy = decode_pool.is_decode_heavy(metadata)
        self.decode_heavy_routes[route.name] = is_decode_heavy
        return is_decode_heavy

    def prefill_rate(self, service: str) -> request_queue.PrefillRate:
        """Return the measured prefill rate of a service's engines."""
        return self.prefill_rates.setdefault(
            service, request_queue.PrefillRate()
        )

    def decode_pool_size(self, service: document.Service, now: float) -> int:
        """Return how many upstreams to reserve; 0 for a plain service.

        Also records the number of open decode-heavy requests.
        """
        if service.engine is None:
            return 0
        candidates = self.pool.for_service(service.name)
        peak = self.decode_heavy_peaks.setdefault(
            service.name, decode_pool.DecodeHeavyPeak()
        )
        peak.record(
            sum(
                upstream.decode_heavy_requests
                + self.peer_loads.decode_heavy_requests[upstream.id]
                for upstream in candidates
            ),
            now,
        )
        return decode_pool.pool_size(
            peak.recent(now), service.engine.slots, len(candidates)
        )

    def competing_routes(
        self,
        routes: abc.Iterable[document.Route],
        service: document.Service,
        now: float,
        *,
        is_decode_heavy: bool,
    ) -> list[document.Route]:
        """Return the routes whose requests compete for the same upstreams."""
        has_decode_pool = self.decode_pool_size(service, now) > 0
        return [
            route
            for route in routes
            if any(share.service == service.name for share in route.shares)
            and not (
                has_decode_pool
                and self.decode_heavy_routes.get(route.name, is_decode_heavy)
                != is_decode_heavy
            )
        ]
