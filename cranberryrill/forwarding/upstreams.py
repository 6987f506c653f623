"""Hold what this process has seen of each upstream."""

import collections
import dataclasses
import math
from collections import abc as collection_types

from cranberryrill.forwarding import caller_request
from cranberryrill.registry import registry_pb2

# A failure counts a tenth; ten in a row are nearly all that is remembered.
FAILURE_WEIGHT = 0.1
# Failures that were seen are forgotten by half in this time, in seconds.
FAILURE_HALF_LIFE = 4.0
# An upstream that took no connection is left alone this long, in seconds.
UNREACHABLE_PAUSE = 3.0
# One whose address another has is soon dropped from the registry, in seconds.
REPLACED_PAUSE = 6.0
# A load that was reported longer ago than this says little, in seconds.
LOAD_LIFETIME = 2.0
# Parts beyond this number of tokens have probably been evicted, where the
# service does not say how much its upstreams cache.
DEFAULT_CACHE_TOKENS = 200_000
# Other processes hear of so many of the newest parts that were read.
REMEMBERED_READS = 256


@dataclasses.dataclass(frozen=True)
class ReportedLoad:
    """Hold what an upstream said of itself with an answer."""

    running: int = 0
    waiting: int = 0
    slots: int = 0
    at: float = float('-inf')
    # How many requests of this process it held at that moment.
    own: int = 0


@dataclasses.dataclass(frozen=True)
class CachedPart:
    """Hold what is known of one part at one upstream."""

    tokens: int
    # Whether it has been read; before, it is about to be.
    is_ready: bool


class CacheEstimate:
    """Estimate which parts of prompts an upstream holds."""

    def __init__(self, capacity_tokens: int) -> None:
        self.capacity = capacity_tokens
        self.parts: collections.OrderedDict[str, CachedPart] = (
            collections.OrderedDict()
        )
        self.tokens = 0

    def record(self, part: str, tokens: int, *, is_ready: bool) -> None:
        """Note that the upstream reads a part, or has read it."""
        before = self.parts.pop(part, None)
        if before is not None:
            self.tokens -= before.tokens
            is_ready = is_ready or before.is_ready
        self.parts[part] = CachedPart(tokens, is_ready)
        self.tokens += tokens
        while self.tokens > self.capacity and self.parts:
            _, evicted = self.parts.popitem(last=False)
            self.tokens -= evicted.tokens

    def missing_tokens(
        self,
        wanted: collection_types.Sequence[caller_request.PromptPart],
        *,
        ready: bool = False,
    ) -> int:
        """Return how many tokens would have to be read anew.

        A part helps only if all parts before it are held, too. With `ready`,
        only what has been read already counts.
        """
        missing = sum(part.tokens for part in wanted)
        for part in wanted:
            held = self.parts.get(part.id)
            if held is None or (ready and not held.is_ready):
                break
            missing -= part.tokens
        return missing


class Upstream:
    """Follow one incarnation of an upstream."""

    def __init__(
        self,
        registration: registry_pb2.Registration,
        cache_tokens: int = 0,
    ) -> None:
        self.registration = registration
        self.cache = CacheEstimate(cache_tokens or DEFAULT_CACHE_TOKENS)
        self.load = ReportedLoad()
        # Prompt tokens to be read, for each request without a first event.
        self.prefill_tokens: dict[object, int] = {}
        self.open_requests = 0
        # Requests with more to write than to read.
        self.long_answers = 0
        self.failure_share = 0.0
        self.failure_at = float('-inf')
        self.unreachable_until = float('-inf')

    @property
    def id(self) -> str:
        """Return the upstream's own name."""
        return self.registration.id

    def start_request(
        self,
        token: object,
        missing_tokens: int,
        *,
        is_long: bool = False,
    ) -> None:
        """Note a request that is sent."""
        self.open_requests += 1
        self.long_answers += is_long
        self.prefill_tokens[token] = missing_tokens

    def start_answer(self, token: object) -> None:
        """Note that a request's answer has begun."""
        self.prefill_tokens.pop(token, None)

    def end_request(self, token: object, *, is_long: bool = False) -> None:
        """Note that a request has ended."""
        self.open_requests -= 1
        self.long_answers -= is_long
        self.prefill_tokens.pop(token, None)

    def record_outcome(self, now: float, *, failed: bool) -> None:
        """Remember whether a request that was sent failed at the upstream."""
        share = self.failure_rate(now)
        share += (float(failed) - share) * FAILURE_WEIGHT
        self.failure_share = share
        self.failure_at = now

    def failure_rate(self, now: float) -> float:
        """Return the share of requests that failed lately."""
        age = now - self.failure_at
        return self.failure_share * math.exp2(-age / FAILURE_HALF_LIFE)

    def mark_unreachable(self, now: float) -> None:
        """Remember that no connection came about."""
        self.unreachable_until = now + UNREACHABLE_PAUSE

    def mark_replaced(self, now: float) -> None:
        """Remember that another incarnation answers at its address."""
        self.unreachable_until = now + REPLACED_PAUSE

    def record_load(self, text: str, now: float) -> None:
        """Take `running,waiting,slots` as the upstream says it."""
        counts = text.split(',')
        if len(counts) != 3 or not all(
            count.strip().isascii() and count.strip().isdigit()
            for count in counts
        ):
            return
        running, waiting, slots = (int(count) for count in counts)
        self.load = ReportedLoad(
            running, waiting, slots, now, self.open_requests
        )

    def peer_running(self, now: float) -> float:
        """Estimate how many requests of other processes run there."""
        held = self.load.running + self.load.waiting - self.load.own
        return max(held - self.load.waiting, 0) * self._trust(now)

    def reported_waiting(self, now: float) -> float:
        """Estimate how many requests wait there."""
        return self.load.waiting * self._trust(now)

    def _trust(self, now: float) -> float:
        """Return how much the reported load still says, from 0 to 1."""
        age = now - self.load.at
        return max(1 - age / LOAD_LIFETIME, 0)


@dataclasses.dataclass(frozen=True)
class PrefilledPart:
    """Say that an upstream has read a part of a prompt."""

    number: int
    upstream: str
    part: str
    tokens: int


class Pool:
    """Keep the upstreams in step with the registry."""

    def __init__(self) -> None:
        self.by_id: dict[str, Upstream] = {}
        # What upstreams have read for this process, the newest last, each
        # with its number.
        self.recently_prefilled: collections.deque[PrefilledPart] = (
            collections.deque(
                maxlen=REMEMBERED_READS,
            )
        )
        self.prefilled_count = 0

    def record_prefilled(
        self,
        upstream: Upstream,
        parts: collection_types.Sequence[caller_request.PromptPart],
    ) -> None:
        """Note that an upstream has read the parts of a prompt."""
        for part in parts:
            upstream.cache.record(part.id, part.tokens, is_ready=True)
            self.prefilled_count += 1
            self.recently_prefilled.append(
                PrefilledPart(
                    self.prefilled_count, upstream.id, part.id, part.tokens
                ),
            )

    def prefilled_since(self, number: int) -> list[PrefilledPart]:
        """Return what was read after the one of this number."""
        return [
            read for read in self.recently_prefilled if read.number > number
        ]

    def record_prefilled_elsewhere(
        self,
        upstream: str,
        part: str,
        tokens: int,
    ) -> None:
        """Note what an upstream has read for another process."""
        known = self.by_id.get(upstream)
        if known is not None:
            known.cache.record(part, tokens, is_ready=True)

    def update(
        self,
        registrations: collection_types.Mapping[str, registry_pb2.Registration],
        cache_tokens: collection_types.Mapping[str, int],
    ) -> None:
        """Take the registrations that are in force now."""
        for name, registration in registrations.items():
            held = self.by_id.get(name)
            started = registration.started_unix_ms
            if held is None or held.registration.started_unix_ms != started:
                self.by_id[name] = Upstream(
                    registration,
                    cache_tokens.get(registration.service, 0),
                )
            else:
                held.registration = registration
        for name in list(self.by_id):
            if name not in registrations:
                del self.by_id[name]

    def for_service(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service that take new work."""
        return [
            known
            for known in self.by_id.values()
            if known.registration.service == service
            and not known.registration.leaving
        ]
