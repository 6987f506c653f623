"""All upstreams that an entry may send requests to."""

import collections
import dataclasses
import logging
import types
from collections import abc as collection_types

from cranberryrill.engine_model import models
from cranberryrill.evacuation import withdrawal
from cranberryrill.forwarding import (
    caller_request,
    cold_upstreams,
    upstreams,
)
from cranberryrill.limits import avoidance
from cranberryrill.registry import registry_pb2

LOGGER = logging.getLogger(__name__)
# Number of the newest prefilled parts that are kept for other entries.
MAX_REMEMBERED_PARTS = 256
MAX_FORMER_AVOIDANCES = 1024
EMPTY_REGIONS: collection_types.Mapping[str, str] = types.MappingProxyType({})


@dataclasses.dataclass(frozen=True)
class PrefilledPart:
    """Prompt part that an upstream has prefilled for this process.

    Sequence numbers increase by 1 with each part.
    """

    sequence: int
    upstream: str
    part: str
    tokens: int


class Pool:
    """All registered upstreams, by id."""

    def __init__(
        self,
        drain_seconds: float = avoidance.DEFAULT_DRAIN_SECONDS,
        regions: collection_types.Mapping[str, str] = EMPTY_REGIONS,
    ) -> None:
        self.drain_seconds = drain_seconds
        # Region of each data centre.
        self.regions = regions
        # Where the speeds of upstreams are modelled; None if they are not.
        self.models: models.Models | None = None
        self.by_id: dict[str, upstreams.Upstream] = {}
        self.cold = cold_upstreams.ColdUpstreams()
        # Ids of upstreams in evacuated data centres, which get nothing.
        self.closed_ids: frozenset[str] = frozenset()
        # What upstreams that are no longer registered have asked for, by
        # incarnation, oldest first: they may be registered again.
        self.former_avoidances: collections.OrderedDict[
            str, avoidance.Avoidance
        ] = collections.OrderedDict()
        # Parts that upstreams have prefilled for this process, newest last.
        self.recently_prefilled: collections.deque[PrefilledPart] = (
            collections.deque(
                maxlen=MAX_REMEMBERED_PARTS,
            )
        )
        self.prefilled_count = 0

    def start_models(self) -> models.Models:
        """Model the speeds of all upstreams from now on."""
        self.models = models.Models()
        for upstream in self.by_id.values():
            upstream.model = self.models.new_upstream(
                upstream.registration.service
            )
        return self.models

    def record_prefilled(
        self,
        upstream: upstreams.Upstream,
        parts: collection_types.Sequence[caller_request.PromptPart],
    ) -> None:
        """Record that an upstream has prefilled the parts of a prompt."""
        for part in parts:
            upstream.cache.record(part.id, part.tokens, is_ready=True)
            self.prefilled_count += 1
            self.recently_prefilled.append(
                PrefilledPart(
                    self.prefilled_count, upstream.id, part.id, part.tokens
                ),
            )

    def prefilled_since(self, sequence: int) -> list[PrefilledPart]:
        """Return the parts recorded after the given sequence number.

        Only the newest are kept; older ones are missing.
        """
        return [
            part for part in self.recently_prefilled if part.sequence > sequence
        ]

    def record_prefilled_elsewhere(
        self,
        upstream: str,
        part: str,
        tokens: int,
    ) -> None:
        """Record a part that an upstream has prefilled for another entry."""
        target = self.by_id.get(upstream)
        if target is not None:
            target.cache.record(part, tokens, is_ready=True)

    def update(
        self,
        registrations: collection_types.Mapping[str, registry_pb2.Registration],
        cache_tokens: collection_types.Mapping[str, int],
    ) -> None:
        """Apply the current registrations.

        An upstream that has restarted is replaced, and loses its recorded
        state. One that was missing for a while loses all but what it has asked
        for. `cache_tokens` gives the cache size by service.
        """
        for upstream_id, registration in registrations.items():
            current = self.by_id.get(upstream_id)
            started = registration.started_unix_ms
            if (
                current is None
                or current.registration.started_unix_ms != started
            ):
                self._remove(upstream_id)
                self._add(
                    registration, cache_tokens.get(registration.service, 0)
                )
            else:
                current.registration = registration
        for upstream_id in list(self.by_id):
            if upstream_id not in registrations:
                self._remove(upstream_id)

    def _accepting(
        self,
        service: str,
        received_at: float,
        regions: collection_types.Container[str] | None = None,
    ) -> list[upstreams.Upstream]:
        return [
            upstream
            for upstream in self.for_service(service, regions)
            if upstream.avoidance.accepts(received_at)
        ]

    def _add(
        self, registration: registry_pb2.Registration, cache_tokens: int
    ) -> None:
        upstream = upstreams.Upstream(
            registration,
            cache_tokens,
            avoidance.Avoidance(self.drain_seconds),
        )
        if self.models is not None:
            upstream.model = self.models.new_upstream(registration.service)
        former = self.former_avoidances.pop(upstream.incarnation, None)
        if former is not None:
            upstream.avoidance = former
        self.by_id[upstream.id] = upstream

    def _remove(self, upstream_id: str) -> None:
        upstream = self.by_id.pop(upstream_id, None)
        if upstream is None or not upstream.avoidance.has_been_asked:
            return
        self.former_avoidances[upstream.incarnation] = upstream.avoidance
        while len(self.former_avoidances) > MAX_FORMER_AVOIDANCES:
            self.former_avoidances.popitem(last=False)
        LOGGER.info(
            'upstream avoided no longer',
            extra={'upstream': upstream_id, 'cause': 'not registered'},
        )

    def for_service(
        self,
        service: str,
        regions: collection_types.Container[str] | None = None,
    ) -> list[upstreams.Upstream]:
        """Return the upstreams of a service that accept new requests.

        With `regions`, only those in data centres of these regions.
        """
        return [
            upstream
            for upstream in self.by_id.values()
            if upstream.registration.service == service
            and not upstream.registration.leaving
            and upstream.id not in self.closed_ids
            and (
                regions is None
                or self.regions.get(upstream.registration.data_centre)
                in regions
            )
        ]

    def close_evacuated(self, known: withdrawal.Withdrawal, now: float) -> bool:
        """Close the upstreams from which requests are withdrawn at `now`.

        Return whether more of them will be closed.
        """
        self.cold.record_evacuations(self.by_id.values(), known)
        closed = frozenset(
            upstream.id
            for upstream in self.by_id.values()
            if known.is_closed(
                upstream.registration.data_centre, upstream.id, now
            )
        )
        if closed != self.closed_ids:
            self.closed_ids = closed
            LOGGER.info(
                'upstreams closed',
                extra={'count': len(closed), 'cause': 'evacuation'},
            )
        return known.is_under_way(now)

    def limited_count(self) -> int:
        """Return how many upstreams name a limit."""
        return sum(
            upstream.allowance.per_second is not None
            for upstream in self.by_id.values()
        )

    def slow_count(self, now: float) -> int:
        """Return how many upstreams are much slower than their median."""
        return sum(
            upstream.model is not None and upstream.model.is_much_slower(now)
            for upstream in self.by_id.values()
        )

    def cold_count(self, now: float) -> int:
        """Return how many upstreams are cold."""
        return sum(
            upstream.allowance.cold.is_cold(now)
            for upstream in self.by_id.values()
        )

    def has_cold(self, service: str, now: float) -> bool:
        """Return whether any upstream of a service is limited as a cold one."""
        return any(
            upstream.allowance.cold.limit(now) is not None
            for upstream in self.for_service(service)
        )

    def is_restricted(self, service: str) -> bool:
        """Return whether any upstream of a service names a limit or a pause."""
        return any(
            upstream.allowance.per_second is not None
            or upstream.avoidance.pause is not None
            for upstream in self.for_service(service)
        )

    def pause_seconds(
        self, service: str, received_at: float, now: float
    ) -> float:
        """Return when the first pause ends if all upstreams have paused."""
        return min(
            (
                upstream.avoidance.pause_seconds(now)
                for upstream in self._accepting(service, received_at)
            ),
            default=0,
        )

    def total_limit(self, service: str, now: float) -> float | None:
        """Return the requests a second that the upstreams of a service take.

        None if there is an upstream without a limit, or none at all.
        """
        limits = [
            upstream.allowance.limit(now)
            for upstream in self.for_service(service)
        ]
        named = [limit for limit in limits if limit is not None]
        if not named or len(named) < len(limits):
            return None
        return sum(named)

    def is_closed(
        self,
        service: str,
        received_at: float,
        now: float,
        regions: collection_types.Container[str] | None = None,
    ) -> bool:
        """Return whether no upstream of a service may be sent a request now.

        The request was received at `received_at` and stays in `regions`.
        """
        candidates = self._accepting(service, received_at, regions)
        return bool(candidates) and not upstreams.open_upstreams(
            candidates, now
        )
