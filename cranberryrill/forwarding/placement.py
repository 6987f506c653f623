"""Choose the upstream for a request.

Model engines: a request costs what its upstream must read before the first
token, its own prompt and those in front of it. Related requests go to one
upstream, the same for every process without their talking, unless it has so
much to read that reading the shared parts anew elsewhere is sooner.

Plain services: the least loaded upstream, near ones before far ones.
"""

import dataclasses
import random
from collections import abc as collection_types

import xxhash

from cranberryrill.forwarding import caller_request, upstreams

# How many prompt tokens are read in the time that a running request costs
# another one on its way to the first token.
TOKENS_PER_RUNNING = 60
# A request that waits at an upstream has, on average, this much to read.
TOKENS_PER_WAITING = 1500
# Where nothing else decides, related requests begin at one upstream.
TOKENS_FOR_HOME = 600
# What it costs the others to have a long prompt among long answers, besides
# reading it, and a long answer among long prompts.
TOKENS_PER_DISTURBANCE = 4000
TOKENS_PER_DISTURBED = 800
READING_DISTURBS = 2
# Cached parts are fetched from another upstream if there are so many tokens
# more of them. Fetching is charged at this share of reading them: the links
# are fast, yet not free.
LEAST_FETCHED = 512
FETCH_SHARE = 0.25
# Fetching must take at most this share of the time that reading takes.
FASTER_BY = 0.5
READ_TOKENS_PER_MS = 100
BITS_PER_BYTE = 8
# Crossing data centres costs less than this many tokens.
TOKENS_PER_CROSSING = 150
# An upstream all of whose requests fail is as bad as one with this much to
# read.
TOKENS_PER_FAILURE = 60_000
# For plain services, in shares of an upstream's places.
CROSSING_SHARE = 0.3
FAILURE_SHARES = 6.0
JITTER_SHARE = 0.02
# More than any prompt holds.
LARGEST = 1_000_000_000
JITTER_TOKENS = 40


@dataclasses.dataclass(frozen=True)
class PlacementRequest:
    """Hold what the choice depends on."""

    parts: tuple[caller_request.PromptPart, ...]
    session: str
    data_centre: str
    is_engine: bool
    # Whether there is more to write than to read.
    is_decode_heavy: bool = False
    # The upstreams that long answers share.
    decode_pool_ids: frozenset[str] = frozenset()
    # What other processes have sent to each upstream: tokens that they are
    # still to read, and requests that are open.
    peer_prefill_tokens: collection_types.Mapping[str, int] = dataclasses.field(
        default_factory=dict,
    )
    peer_long_answers: collection_types.Mapping[str, int] = dataclasses.field(
        default_factory=dict,
    )
    # Whether upstreams may fetch cached parts from one another.
    can_fetch_cache: bool = False
    peer_open_requests: collection_types.Mapping[str, int] = dataclasses.field(
        default_factory=dict,
    )


@dataclasses.dataclass(frozen=True)
class Choice:
    """Hold the chosen upstream and what decided it."""

    upstream: upstreams.Upstream
    missing_tokens: int
    cost: float
    candidates: int
    is_affinity: bool
    # What was left to read there before this request.
    backlog_tokens: int = 0
    # Where the upstream should fetch cached parts, if anywhere.
    fetch_from: upstreams.Upstream | None = None


class UpstreamSelector:
    """Choose among the upstreams of one process."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng

    def choose(
        self,
        wanted: PlacementRequest,
        candidates: collection_types.Sequence[upstreams.Upstream],
        avoided: collection_types.Container[str],
        now: float,
    ) -> Choice | None:
        """Return the best upstream, or none if there is none left."""
        usable = _usable(candidates, avoided, now)
        if not usable:
            return None
        if wanted.is_engine:
            return self._choose_engine(wanted, usable, now)
        return self._choose_plain(wanted, usable, now)

    def _choose_engine(
        self,
        wanted: PlacementRequest,
        usable: collection_types.Sequence[upstreams.Upstream],
        now: float,
    ) -> Choice:
        home = affinity_upstream(wanted.session, _preferred(wanted, usable))
        missing = {
            upstream.id: upstream.cache.missing_tokens(wanted.parts)
            for upstream in usable
        }
        held = {
            upstream.id: upstream.cache.missing_tokens(
                wanted.parts,
                ready=True,
            )
            for upstream in usable
        }
        holder = min(usable, key=lambda upstream: held[upstream.id])
        fetched = held[holder.id] if wanted.can_fetch_cache else LARGEST
        costs = {
            upstream.id: self._engine_cost(
                upstream,
                effective_missing_tokens(missing[upstream.id], fetched),
                wanted,
                now,
            )
            - (upstream is home) * TOKENS_FOR_HOME
            for upstream in usable
        }
        best = min(usable, key=lambda upstream: costs[upstream.id])
        fetches = missing[best.id] - fetched >= LEAST_FETCHED
        return Choice(
            best,
            int(effective_missing_tokens(missing[best.id], fetched)),
            costs[best.id],
            len(usable),
            best is home,
            prefill_backlog(best, wanted),
            holder if fetches else None,
        )

    def _engine_cost(
        self,
        upstream: upstreams.Upstream,
        missing: float,
        wanted: PlacementRequest,
        now: float,
    ) -> float:
        far = upstream.registration.data_centre != wanted.data_centre
        running = upstream.open_requests + max(
            wanted.peer_open_requests.get(upstream.id, 0),
            upstream.peer_running(now),
        )
        return (
            missing
            + _disturbance(upstream, missing, wanted)
            + prefill_backlog(upstream, wanted)
            + running * TOKENS_PER_RUNNING
            + upstream.reported_waiting(now) * TOKENS_PER_WAITING
            + far * TOKENS_PER_CROSSING
            + upstream.failure_rate(now) * TOKENS_PER_FAILURE
            + self.rng.random() * JITTER_TOKENS
        )

    def _choose_plain(
        self,
        wanted: PlacementRequest,
        usable: collection_types.Sequence[upstreams.Upstream],
        now: float,
    ) -> Choice:
        costs = {
            upstream.id: self._plain_cost(upstream, wanted, now)
            for upstream in usable
        }
        best = min(usable, key=lambda upstream: costs[upstream.id])
        return Choice(best, 0, costs[best.id], len(usable), is_affinity=False)

    def _plain_cost(
        self,
        upstream: upstreams.Upstream,
        wanted: PlacementRequest,
        now: float,
    ) -> float:
        far = upstream.registration.data_centre != wanted.data_centre
        held = upstream.open_requests + max(
            wanted.peer_open_requests.get(upstream.id, 0),
            upstream.peer_running(now) + upstream.reported_waiting(now),
        )
        return (
            held / max(upstream.registration.slots, 1)
            + far * CROSSING_SHARE
            + upstream.failure_rate(now) * FAILURE_SHARES
            + self.rng.random() * JITTER_SHARE
        )


def affinity_upstream(
    session: str,
    usable: collection_types.Sequence[upstreams.Upstream],
) -> upstreams.Upstream | None:
    """Return where related requests go, by rendezvous hashing."""
    if not session:
        return None
    return max(
        usable,
        key=lambda upstream: xxhash.xxh64_intdigest(
            f'{session}/{upstream.id}'.encode(),
        ),
    )


def _preferred(
    wanted: PlacementRequest,
    usable: collection_types.Sequence[upstreams.Upstream],
) -> collection_types.Sequence[upstreams.Upstream]:
    """Return the upstreams among which related requests have their home."""
    if not wanted.decode_pool_ids:
        return usable
    preferred = [
        upstream
        for upstream in usable
        if (upstream.id in wanted.decode_pool_ids) == wanted.is_decode_heavy
    ]
    return preferred or usable


def prefill_backlog(
    upstream: upstreams.Upstream, wanted: PlacementRequest
) -> int:
    """Return how many prompt tokens an upstream is still to read."""
    others = wanted.peer_prefill_tokens.get(upstream.id, 0)
    return sum(upstream.prefill_tokens.values()) + others


def is_fetching_faster(token_bytes: int, link_mbps: float) -> bool:
    """Say whether fetching a cached token is faster than reading it."""
    if token_bytes <= 0 or link_mbps <= 0:
        return False
    bits_per_ms = link_mbps * 1000
    fetch_ms = token_bytes * BITS_PER_BYTE / bits_per_ms
    return fetch_ms <= FASTER_BY / READ_TOKENS_PER_MS


def effective_missing_tokens(missing: int, missing_at_holder: int) -> float:
    """Return what is left to read, with fetching charged at its share."""
    fetched = missing - missing_at_holder
    if fetched < LEAST_FETCHED:
        return missing
    return missing_at_holder + fetched * FETCH_SHARE


def _disturbance(
    upstream: upstreams.Upstream,
    missing: float,
    wanted: PlacementRequest,
) -> float:
    if not wanted.decode_pool_ids:
        return 0
    is_for_writing = upstream.id in wanted.decode_pool_ids
    if wanted.is_decode_heavy == is_for_writing:
        return 0
    if wanted.is_decode_heavy:
        return TOKENS_PER_DISTURBANCE
    disturbed = upstream.long_answers + wanted.peer_long_answers.get(
        upstream.id, 0
    )
    return (
        TOKENS_PER_DISTURBANCE
        + TOKENS_PER_DISTURBED * disturbed
        + READING_DISTURBS * missing
    )


def _usable(
    candidates: collection_types.Sequence[upstreams.Upstream],
    avoided: collection_types.Container[str],
    now: float,
) -> list[upstreams.Upstream]:
    left = [known for known in candidates if known.id not in avoided]
    reachable = [known for known in left if now >= known.unreachable_until]
    return reachable or left
