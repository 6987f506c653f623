"""Upstreams that want nothing for a while get nothing, whatever the load.

Several entries decide by themselves, with the decisions of the product and a
simulated clock: the pool, the selector and the request queue.
"""

import collections
import dataclasses
import functools
import heapq
import itertools
import math
import random
from collections import abc as collection_types

import pytest

from cranberryrill.forwarding import (
    placement,
    request_queue,
    retry_policy,
    upstream_pool,
)
from cranberryrill.registry import registry_pb2
from tests.forwarding import conftest

SERVICE = 'model'
ROUTE = conftest.make_route(name='r', target_ms=500)
SLOTS = 8
WORK_SECONDS = 0.04
ANSWER_SECONDS = 0.003
POLL_SECONDS = 0.02
DEADLINE_SECONDS = 1.5
DAY_SECONDS = 16.0
# Requests that were on their way when an upstream turned one away.
ON_THEIR_WAY_SECONDS = 0.5
MAX_IN_PAUSE = 2
MAX_REJECTIONS = 3
MIN_SERVED_SHARE = 0.99


@dataclasses.dataclass
class Refusal:
    """A request that an upstream turned away, at one entry."""

    at: float
    entry: int
    upstream: str


class Day:
    """Entries, upstreams of which some pause now and then, and their load."""

    def __init__(
        self, seed: int, entries: int, paused: int, pause: float, total: int
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.events: list[
            tuple[float, int, collection_types.Callable[[], None]]
        ] = []
        self.numbers = itertools.count()
        self.pause = pause
        names = [f'u{number}' for number in range(total)]
        self.pausing = frozenset(names[:paused])
        self.entries = range(entries)
        self.pools = [make_pool(names) for _ in self.entries]
        self.queues = [request_queue.RequestQueue() for _ in self.pools]
        self.selector = placement.UpstreamSelector(self.rng)
        self.arrivals: dict[tuple[int, str], list[float]] = (
            collections.defaultdict(list)
        )
        self.refusals: list[Refusal] = []
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.early_callbacks = 0
        self.callers: dict[int, collection_types.Callable[[], None]] = {}

    def wants_nothing(self, upstream: str) -> bool:
        """Return whether an upstream turns requests away: every other time."""
        period = 2 * max(self.pause, 1)
        return upstream in self.pausing and self.now % period < max(
            self.pause / 2, 0.5
        )

    def at(
        self, delay: float, action: collection_types.Callable[[], None]
    ) -> None:
        heapq.heappush(
            self.events, (self.now + delay, next(self.numbers), action)
        )

    def run(self, per_second: float) -> None:
        for entry in self.entries:
            self.at(0, functools.partial(self.arrive, entry, per_second))
            self.at(0, functools.partial(self.poll, entry))
        while self.events:
            event = heapq.heappop(self.events)
            self.now = event[0]
            event[-1]()

    def arrive(self, entry: int, per_second: float) -> None:
        if self.now < DAY_SECONDS:
            delay = self.rng.expovariate(per_second / len(self.pools))
            self.at(delay, functools.partial(self.arrive, entry, per_second))
        received_at = self.now
        pool = self.pools[entry]
        closed = pool.is_closed(SERVICE, received_at, self.now)
        if not closed and not self.queues[entry].waiting:
            self.send(entry, received_at, frozenset())
            return
        queued = request_queue.make_queued_request(
            ROUTE,
            1,
            0,
            1,
            (received_at, received_at + DEADLINE_SECONDS),
            lambda: (
                math.inf
                if pool.is_closed(SERVICE, received_at, self.now)
                else 0
            ),
            'o',
        )
        pause = pool.pause_seconds(SERVICE, received_at, self.now)
        if request_queue.would_expire(queued, pause * 1000):
            self.refuse(entry, received_at)
            return
        self.callers[id(queued)] = functools.partial(
            self.send, entry, received_at, frozenset()
        )
        self.queues[entry].add(queued)

    def poll(self, entry: int) -> None:
        queue = self.queues[entry]
        for expired in queue.expired(self.now):
            queue.remove(expired)
            self.refuse(entry, expired.arrived_at)
        ready = queue.pop_ready(self.now)
        if ready is not None:
            self.callers.pop(id(ready))()
        if self.now < DAY_SECONDS + 2 * DEADLINE_SECONDS:
            self.at(POLL_SECONDS, functools.partial(self.poll, entry))

    def refuse(self, entry: int, received_at: float) -> None:
        pause = self.pools[entry].pause_seconds(SERVICE, received_at, self.now)
        delay = retry_policy.queue_delay_seconds(
            pause, pause, self.rng.random()
        )
        self.early_callbacks += delay < pause
        self.outcomes['refused'] += 1

    def send(
        self, entry: int, received_at: float, tried: frozenset[str]
    ) -> None:
        pool = self.pools[entry]
        request = placement.PlacementRequest(
            (), '', 'a', is_engine=False, received_at=received_at
        )
        choice = self.selector.choose(
            request, pool.for_service(SERVICE), tried, self.now
        )
        if choice is None or len(tried) > MAX_REJECTIONS:
            self.refuse(entry, received_at)
            return
        upstream = choice.upstream
        upstream.record_sent(self.now)
        upstream.start_request(received_at, 0)
        self.arrivals[entry, upstream.id].append(self.now)
        is_refused = self.wants_nothing(upstream.id)
        self.at(
            ANSWER_SECONDS if is_refused else WORK_SECONDS,
            functools.partial(
                self.answer, entry, upstream.id, received_at, tried, is_refused
            ),
        )

    def answer(
        self,
        entry: int,
        name: str,
        received_at: float,
        tried: frozenset[str],
        is_refused: bool,
    ) -> None:
        upstream = self.pools[entry].by_id[name]
        upstream.end_request(received_at)
        if not is_refused:
            self.outcomes['served'] += 1
            return
        upstream.record_pause(self.pause, self.now)
        self.refusals.append(Refusal(self.now, entry, name))
        self.send(entry, received_at, tried | {name})

    def served_share(self) -> float:
        return self.outcomes['served'] / sum(self.outcomes.values())

    def most_in_a_pause(self) -> int:
        """Return the most requests of an entry that a pause should keep off."""
        return max(self.count_in_pause(refusal) for refusal in self.refusals)

    def count_in_pause(self, refusal: Refusal) -> int:
        begin = refusal.at + ON_THEIR_WAY_SECONDS
        end = refusal.at + self.pause
        arrivals = self.arrivals[refusal.entry, refusal.upstream]
        return sum(begin < at < end for at in arrivals)

    def returns(self) -> list[list[float]]:
        """Return when the entries come back to the first upstream, by pause."""
        first = sorted(
            refusal.at for refusal in self.refusals if refusal.upstream == 'u0'
        )
        starts = [
            at
            for previous, at in itertools.pairwise([-math.inf, *first])
            if at - previous > self.pause
        ]
        return [
            [
                min(
                    (
                        at
                        for at in self.arrivals[entry, 'u0']
                        if at > start + self.pause
                    ),
                    default=math.inf,
                )
                for entry in self.entries
            ]
            for start in starts[:-1]
        ]


def make_pool(names: collection_types.Iterable[str]) -> upstream_pool.Pool:
    pool = upstream_pool.Pool()
    registrations = {
        name: registry_pb2.Registration(
            id=name,
            service=SERVICE,
            data_centre='a',
            slots=SLOTS,
            started_unix_ms=1,
        )
        for name in names
    }
    pool.update(registrations, {})
    return pool


PAUSES = (0.2, 0.75, 2, 5)
# All upstreams, and those that pause now and then.
COUNTS = ((100, 1), (10, 3), (4, 2), (4, 4), (1, 1))


@pytest.mark.parametrize('pause', PAUSES)
@pytest.mark.parametrize(('total', 'paused'), COUNTS)
@pytest.mark.parametrize('entries', [1, 4, 8])
def test_pause_is_kept_and_the_rest_is_served(
    pause: float, total: int, paused: int, entries: int
) -> None:
    day = Day(entries, entries, paused, pause, total)
    day.run(per_second=80)
    assert day.refusals
    assert day.most_in_a_pause() <= MAX_IN_PAUSE
    assert not day.early_callbacks
    assert not any(queue.waiting for queue in day.queues)
    # The others take what is kept away.
    has_others = paused < total
    assert not has_others or day.served_share() >= MIN_SERVED_SHARE


@pytest.mark.parametrize('pause', [1, 2, 5])
def test_entries_come_back_at_different_times(pause: float) -> None:
    day = Day(3, 8, 4, pause, 4)
    day.run(per_second=80)
    returns = day.returns()
    assert returns
    for times in returns:
        known = [at for at in times if math.isfinite(at)]
        spread = max(known) - min(known)
        assert spread > pause / 20


def test_named_limit_holds_beside_a_pause() -> None:
    limit, entries = 20.0, 4
    day = Day(5, entries, 3, 2, 5)
    for pool in day.pools:
        limited = pool.by_id['u4']
        limited.record_limit(limit, 0)
        limited.allowance.group_share = 1 / entries
    day.run(per_second=120)
    at_limited = sorted(
        itertools.chain.from_iterable(
            day.arrivals[entry, 'u4'] for entry in range(entries)
        )
    )
    most = max(
        sum(start <= at < start + 4 for at in at_limited)
        for start in at_limited
    )
    assert most <= 1.5 * limit * 4 + 5
    assert day.most_in_a_pause() <= MAX_IN_PAUSE
