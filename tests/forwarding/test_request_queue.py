"""Short targets are kept when a burst of long prompts arrives."""

from cranberryrill.forwarding import request_queue
from tests.forwarding import conftest

NOW = 10.0
CHAT = conftest.make_route(name='chat', target_ms=150)
NOTE = conftest.make_route(name='note', target_ms=250)
REVIEW = conftest.make_route(name='review', target_ms=800)


def make_waiter(
    backlog_ms: float,
    *,
    arrived_at: float = NOW,
    organisation: str = 'o',
    rank: int = 1,
    limit_ms: float = 100,
) -> request_queue.QueuedRequest:
    return request_queue.make_queued_request(
        REVIEW,
        rank,
        9000,
        limit_ms,
        (arrived_at, arrived_at + 4),
        lambda: backlog_ms,
        organisation,
    )


def test_only_requests_with_longer_targets_wait() -> None:
    routes = [CHAT, NOTE, REVIEW]
    assert request_queue.max_backlog_ms(CHAT, routes) is None
    assert request_queue.max_backlog_ms(REVIEW, routes) == 0.4 * 150
    assert request_queue.max_backlog_ms(REVIEW, [REVIEW]) is None


def test_burst_waits_while_there_is_much_to_read() -> None:
    queue = request_queue.RequestQueue()
    queue.add(make_waiter(500))
    assert queue.pop_ready(NOW) is None
    queue = request_queue.RequestQueue()
    queue.add(make_waiter(50))
    assert queue.pop_ready(NOW) is not None


def test_organisations_take_turns() -> None:
    queue = request_queue.RequestQueue()
    for number in range(6):
        queue.add(make_waiter(0, arrived_at=NOW + number / 100))
    queue.add(make_waiter(0, arrived_at=NOW + 1, organisation='small'))
    order = [queue.pop_ready(NOW + 1) for _ in range(3)]
    names = [known.organisation for known in order if known is not None]
    assert 'small' in names[:2]


def test_more_urgent_ranks_go_first_and_late_ones_last() -> None:
    queue = request_queue.RequestQueue()
    late = make_waiter(0, arrived_at=NOW - 1)
    fresh = make_waiter(0, arrived_at=NOW)
    urgent = make_waiter(0, arrived_at=NOW, rank=0)
    for waiter in (late, fresh, urgent):
        queue.add(waiter)
    assert [queue.pop_ready(NOW) for _ in range(3)] == [urgent, fresh, late]


def test_hopeless_requests_are_known_at_once() -> None:
    waiter = make_waiter(0)
    assert request_queue.would_expire(waiter, wait_ms=2500)
    assert not request_queue.would_expire(waiter, wait_ms=1500)


def test_waiters_are_given_up_before_their_time_is_over() -> None:
    queue = request_queue.RequestQueue()
    waiter = make_waiter(500)
    queue.add(waiter)
    assert not queue.expired(NOW + 1.9)
    assert queue.expired(NOW + 2.1) == [waiter]


def test_rate_follows_what_is_measured() -> None:
    rate = request_queue.PrefillRate()
    for _ in range(200):
        rate.record(9000, 0.09)
    assert 95 < rate.tokens_per_ms < 105
    rate.record(10, 5)
    assert 95 < rate.tokens_per_ms < 105
