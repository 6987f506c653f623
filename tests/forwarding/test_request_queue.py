"""Order and expiry of queued requests, and the measured prefill rate.

A burst of long prompts must not make requests with short targets late.
"""

import dataclasses
import functools

import pytest

from cranberryrill.forwarding import request_queue
from tests.forwarding import conftest

NOW = 10.0
CHAT = conftest.make_route(name='chat', target_ms=150)
NOTE = conftest.make_route(name='note', target_ms=250)
REVIEW = conftest.make_route(name='review', target_ms=800)


def make_request(
    backlog_ms: float,
    *,
    arrived_at: float = NOW,
    organisation: str = 'o',
    rank: int = 1,
    backlog_limit_ms: float = 100,
) -> request_queue.QueuedRequest:
    return request_queue.make_queued_request(
        REVIEW,
        rank,
        9000,
        backlog_limit_ms,
        (arrived_at, arrived_at + 4),
        lambda: backlog_ms,
        organisation,
    )


def test_only_routes_with_longer_targets_are_queued() -> None:
    routes = [CHAT, NOTE, REVIEW]
    assert request_queue.max_backlog_ms(CHAT, routes) is None
    assert request_queue.max_backlog_ms(REVIEW, routes) == 0.4 * 150
    assert request_queue.max_backlog_ms(REVIEW, [REVIEW]) is None


def test_request_waits_while_backlog_is_long() -> None:
    queue = request_queue.RequestQueue()
    queue.add(make_request(500))
    assert queue.pop_ready(NOW) is None
    queue = request_queue.RequestQueue()
    queue.add(make_request(50))
    assert queue.pop_ready(NOW) is not None


def test_organisation_with_fewer_sent_tokens_goes_first() -> None:
    queue = request_queue.RequestQueue()
    for number in range(6):
        queue.add(make_request(0, arrived_at=NOW + number / 100))
    queue.add(make_request(0, arrived_at=NOW + 1, organisation='small'))
    order = [queue.pop_ready(NOW + 1) for _ in range(3)]
    names = [request.organisation for request in order if request is not None]
    assert 'small' in names[:2]


def test_urgent_rank_goes_first_and_late_request_last() -> None:
    queue = request_queue.RequestQueue()
    late = make_request(0, arrived_at=NOW - 1)
    fresh = make_request(0, arrived_at=NOW)
    urgent = make_request(0, arrived_at=NOW, rank=0)
    for request in (late, fresh, urgent):
        queue.add(request)
    assert [queue.pop_ready(NOW) for _ in range(3)] == [urgent, fresh, late]


def test_request_would_expire_during_a_long_wait() -> None:
    request = make_request(0)
    assert request_queue.would_expire(request, wait_ms=2500)
    assert not request_queue.would_expire(request, wait_ms=1500)


def test_request_expires_before_its_deadline() -> None:
    queue = request_queue.RequestQueue()
    request = make_request(500)
    queue.add(request)
    assert not queue.expired(NOW + 1.9)
    assert queue.expired(NOW + 2.1) == [request]


def test_prefill_rate_follows_long_measurements() -> None:
    rate = request_queue.PrefillRate()
    for _ in range(200):
        rate.record(9000, 0.09)
    assert 95 < rate.tokens_per_ms < 105
    rate.record(10, 5)
    assert 95 < rate.tokens_per_ms < 105


@dataclasses.dataclass
class Clock:
    """Simulated time in seconds."""

    now: float = 0.0


class Engine:
    """Engine that prefills one prompt after another, at its own speed."""

    def __init__(self, tokens_per_ms: float) -> None:
        self.tokens_per_ms = tokens_per_ms
        self.busy_until = 0.0

    def backlog_ms(self, clock: Clock) -> float:
        return max(self.busy_until - clock.now, 0) * 1000

    def send(self, tokens: int, now: float) -> float:
        """Return when the prompt is prefilled."""
        seconds = tokens / self.tokens_per_ms / 1000
        self.busy_until = max(self.busy_until, now) + seconds
        return self.busy_until


def test_busy_upstream_does_not_hold_up_requests_for_others() -> None:
    # A burst of long prompts, each cached at one of eight engines, of which one
    # is five times slower than the others.
    engines = [Engine(10 if number == 0 else 50) for number in range(8)]
    queue = request_queue.RequestQueue()
    clock = Clock()
    targets: dict[int, Engine] = {}
    for number in range(64):
        engine = engines[number % len(engines)]
        request = request_queue.make_queued_request(
            REVIEW,
            1,
            17_000,
            240,
            (number / 100, number / 100 + 12),
            functools.partial(engine.backlog_ms, clock),
            'o',
        )
        targets[id(request)] = engine
        queue.add(request)
    ends: list[float] = []
    while queue.waiting and clock.now < 30:
        ready = queue.pop_ready(clock.now)
        if ready is not None:
            ends.append(targets[id(ready)].send(ready.tokens, clock.now))
        clock.now += 0.02
    # The sound engines need 8 x 0.34 s for theirs.
    sound_ends = sorted(ends)[:56]
    assert max(sound_ends) < 4
    assert not queue.waiting


EXAMINED_BY_UPSTREAM_COUNT = ((0, 12), (9, 12), (28, 7), (47, 4), (1600, 1))


@pytest.mark.parametrize(
    ('upstream_count', 'expected'), EXAMINED_BY_UPSTREAM_COUNT
)
def test_large_services_examine_fewer_requests_in_a_period(
    upstream_count: int, expected: int
) -> None:
    assert request_queue.examined_requests(upstream_count) == expected


def test_requests_beyond_the_examined_ones_wait() -> None:
    queue = request_queue.RequestQueue()
    for number in range(4):
        backlog_ms = 0 if number == 3 else 500
        queue.add(make_request(backlog_ms, arrived_at=NOW + number / 100))
    assert queue.pop_ready(NOW, examined=3) is None
    assert queue.pop_ready(NOW, examined=4) is not None
