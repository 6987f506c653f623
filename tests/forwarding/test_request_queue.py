"""Order and expiry of queued requests, and the measured prefill rate.

A burst of long prompts must not make requests with short targets late.
"""

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
