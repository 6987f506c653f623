"""Track the load, failures and prompt cache of each upstream."""

import collections
import dataclasses
import logging
import math
from collections import abc as collection_types

from cranberryrill import decimal_numbers
from cranberryrill.forwarding import allowance, caller_request
from cranberryrill.registry import registry_pb2

LOGGER = logging.getLogger(__name__)
# Weight of the newest outcome in the moving average of failures. About the last
# ten outcomes dominate the average.
FAILURE_WEIGHT = 0.1
# The failure rate decays by half in this time.
FAILURE_HALF_LIFE_SECONDS = 4.0
# No requests are sent for this long to an upstream that accepted no connection,
# unless no other is left.
UNREACHABLE_PAUSE_SECONDS = 3.0
# The same for an upstream whose address now belongs to another one. The
# registry removes it soon.
REPLACED_PAUSE_SECONDS = 6.0
# The weight of a reported load falls to zero in this time.
LOAD_LIFETIME_SECONDS = 2.0
# Assumed cache size of an upstream if its service does not configure one. Parts
# beyond it have probably been evicted.
DEFAULT_CACHE_TOKENS = 200_000
# Number of the newest prefilled parts that are kept for other entries.
MAX_REMEMBERED_PARTS = 256


@dataclasses.dataclass(frozen=True)
class ReportedLoad:
    """Load that an upstream reported in a response header."""

    running: int = 0
    waiting: int = 0
    slots: int = 0
    reported_at: float = float('-inf')
    # Requests of this process that were open at that time.
    own_requests: int = 0


@dataclasses.dataclass(frozen=True)
class CachedPart:
    """Part of a prompt in the estimated cache of an upstream."""

    tokens: int
    # Whether it has been prefilled; False while its request is in progress.
    is_ready: bool


class CacheEstimate:
    """Estimate which prompt parts are in an upstream's cache.

    Parts that were used least recently are evicted first.
    """

    def __init__(self, capacity_tokens: int) -> None:
        self.capacity_tokens = capacity_tokens
        self.parts: collections.OrderedDict[str, CachedPart] = (
            collections.OrderedDict()
        )
        self.tokens = 0

    def record(self, part: str, tokens: int, *, is_ready: bool) -> None:
        """Record that the upstream will prefill a part, or has done so."""
        previous = self.parts.pop(part, None)
        if previous is not None:
            self.tokens -= previous.tokens
            is_ready = is_ready or previous.is_ready
        self.parts[part] = CachedPart(tokens, is_ready)
        self.tokens += tokens
        while self.tokens > self.capacity_tokens and self.parts:
            _, evicted = self.parts.popitem(last=False)
            self.tokens -= evicted.tokens

    def missing_tokens(
        self,
        prompt: collection_types.Sequence[caller_request.PromptPart],
        *,
        ready: bool = False,
    ) -> int:
        """Return how many tokens of a prompt are not cached.

        A part counts as cached only if all parts before it are cached, too.
        With `ready`, it must have been prefilled already.
        """
        missing = sum(part.tokens for part in prompt)
        for part in prompt:
            cached = self.parts.get(part.id)
            if cached is None or (ready and not cached.is_ready):
                break
            missing -= part.tokens
        return missing


class Upstream:
    """State of one incarnation of an upstream, as seen by this process."""

    def __init__(
        self,
        registration: registry_pb2.Registration,
        cache_tokens: int = 0,
    ) -> None:
        self.registration = registration
        self.cache = CacheEstimate(cache_tokens or DEFAULT_CACHE_TOKENS)
        self.load = ReportedLoad()
        # Prompt tokens to prefill, by request whose response has not started.
        self.prefill_tokens: dict[object, int] = {}
        self.open_requests = 0
        # Number of open requests that are decode-heavy.
        self.decode_heavy_requests = 0
        self.last_failure_rate = 0.0
        self.last_outcome_at = float('-inf')
        self.unreachable_until = float('-inf')
        self.allowance = allowance.Allowance()
        # When it last lost the connection of a request of this process.
        self.lost_connection_at = float('-inf')

    @property
    def incarnation(self) -> str:
        """Return a name that differs for each start of the upstream."""
        return f'{self.id}@{self.registration.started_unix_ms}'

    @property
    def id(self) -> str:
        """Return the upstream's id in the registry."""
        return self.registration.id

    def start_request(
        self,
        handle: object,
        missing_tokens: int,
        *,
        is_decode_heavy: bool = False,
    ) -> None:
        """Record that a request is sent; `handle` identifies it."""
        self.open_requests += 1
        self.decode_heavy_requests += is_decode_heavy
        self.prefill_tokens[handle] = missing_tokens

    def start_response(self, handle: object) -> None:
        """Record that a response has started, so its prefill is done."""
        self.prefill_tokens.pop(handle, None)

    def end_request(
        self, handle: object, *, is_decode_heavy: bool = False
    ) -> None:
        """Record that a request has ended."""
        self.open_requests -= 1
        self.decode_heavy_requests -= is_decode_heavy
        self.prefill_tokens.pop(handle, None)

    def record_outcome(self, now: float, *, failed: bool) -> None:
        """Update the failure rate with the outcome of a request."""
        rate = self.failure_rate(now)
        rate += (float(failed) - rate) * FAILURE_WEIGHT
        self.last_failure_rate = rate
        self.last_outcome_at = now

    def failure_rate(self, now: float) -> float:
        """Return the share of recent requests that failed, from 0 to 1."""
        age = now - self.last_outcome_at
        return self.last_failure_rate * math.exp2(
            -age / FAILURE_HALF_LIFE_SECONDS
        )

    def mark_unreachable(self, now: float) -> None:
        """Pause the upstream after a failed connection attempt."""
        self.unreachable_until = now + UNREACHABLE_PAUSE_SECONDS

    def mark_replaced(self, now: float) -> None:
        """Pause the upstream after another one answered at its address."""
        self.unreachable_until = now + REPLACED_PAUSE_SECONDS

    def record_load(self, text: str, now: float) -> None:
        """Record a load header, `running,waiting,slots`.

        A malformed value is ignored.
        """
        counts = [decimal_numbers.parse(count) for count in text.split(',')]
        known = [count for count in counts if count is not None]
        if len(counts) != 3 or len(known) != 3:
            return
        running, waiting, slots = known
        self.load = ReportedLoad(
            running, waiting, slots, now, self.open_requests
        )

    def record_limit(self, per_second: float | None, now: float) -> None:
        """Record the limit that a response names, or that it names none."""
        if per_second != self.allowance.own.per_second:
            LOGGER.info(
                'limit named',
                extra={'upstream': self.id, 'per_second': per_second},
            )
        self.allowance.record_named(per_second, now)

    def peer_running(self, now: float) -> float:
        """Estimate how many requests of other processes are running."""
        others = self.load.running + self.load.waiting - self.load.own_requests
        return max(others - self.load.waiting, 0) * self._load_weight(now)

    def reported_waiting(self, now: float) -> float:
        """Estimate how many requests are waiting at the upstream."""
        return self.load.waiting * self._load_weight(now)

    def _load_weight(self, now: float) -> float:
        """Return the weight of the reported load by its age, from 0 to 1."""
        age = now - self.load.reported_at
        return max(1 - age / LOAD_LIFETIME_SECONDS, 0)


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

    def __init__(self) -> None:
        self.by_id: dict[str, Upstream] = {}
        # Parts that upstreams have prefilled for this process, newest last.
        self.recently_prefilled: collections.deque[PrefilledPart] = (
            collections.deque(
                maxlen=MAX_REMEMBERED_PARTS,
            )
        )
        self.prefilled_count = 0

    def record_prefilled(
        self,
        upstream: Upstream,
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
        state. `cache_tokens` gives the cache size by service.
        """
        for upstream_id, registration in registrations.items():
            current = self.by_id.get(upstream_id)
            started = registration.started_unix_ms
            if (
                current is None
                or current.registration.started_unix_ms != started
            ):
                self.by_id[upstream_id] = Upstream(
                    registration,
                    cache_tokens.get(registration.service, 0),
                )
            else:
                current.registration = registration
        for upstream_id in list(self.by_id):
            if upstream_id not in registrations:
                del self.by_id[upstream_id]

    def for_service(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service that accept new requests."""
        return [
            upstream
            for upstream in self.by_id.values()
            if upstream.registration.service == service
            and not upstream.registration.leaving
        ]

    def limited_count(self) -> int:
        """Return how many upstreams name a limit."""
        return sum(
            upstream.allowance.per_second is not None
            for upstream in self.by_id.values()
        )

    def has_limits(self, service: str) -> bool:
        """Return whether any upstream of a service names a limit."""
        return any(
            upstream.allowance.per_second is not None
            for upstream in self.for_service(service)
        )

    def total_limit(self, service: str) -> float | None:
        """Return the requests a second that the upstreams of a service take.

        None if there is an upstream without a limit, or none at all.
        """
        limits = [
            upstream.allowance.per_second
            for upstream in self.for_service(service)
        ]
        named = [limit for limit in limits if limit is not None]
        if not named or len(named) < len(limits):
            return None
        return sum(max(limit, allowance.MIN_PER_SECOND) for limit in named)

    def limits_used_up(self, service: str, now: float) -> bool:
        """Return whether no upstream of a service may be sent a request now."""
        candidates = self.for_service(service)
        return bool(candidates) and all(
            upstream.allowance.wait_seconds(now) for upstream in candidates
        )
