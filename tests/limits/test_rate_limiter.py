"""Hold organisations to their limits."""

import result

from cranberryrill.configuration import active, document
from cranberryrill.limits import rate_limiter
from cranberryrill.state import commands_pb2


def limiter(**limits: float) -> rate_limiter.RateLimiter:
    held = active.ActiveConfiguration()
    named = document.Organisation(
        name='clinics',
        requests_per_second=limits.get('requests_per_second', 0),
        tokens_per_minute=int(limits.get('tokens_per_minute', 0)),
    )
    change = commands_pb2.ObjectChange(
        kind='organisations',
        name='clinics',
        json=document.encode('organisations', named),
    )
    held.update(1, [change], [])
    return rate_limiter.RateLimiter(lambda: held)


def admitted(one: rate_limiter.RateLimiter, entries: int, now: float) -> bool:
    return one.admit('clinics', entries, now).is_ok()


def test_requests_of_a_long_run_stay_within_the_limit() -> None:
    one = limiter(requests_per_second=5)
    times = [number / 100 for number in range(1000)]
    count = sum(admitted(one, 1, now) for now in times)
    # Ten seconds, and what the bucket held at first.
    assert count in range(50, 56)


def test_entries_share_a_limit() -> None:
    entries = [limiter(requests_per_second=8) for _ in range(4)]
    times = [number / 100 for number in range(1000)]
    count = sum(admitted(one, 4, now) for now in times for one in entries)
    assert count in range(80, 89)


def test_refusal_says_when_to_come_back() -> None:
    one = limiter(requests_per_second=0.5)
    assert admitted(one, 1, 0)
    refused = one.admit('clinics', 1, 0.5)
    assert isinstance(refused, result.Err)
    assert refused.err_value.status == 429
    wait = refused.err_value.retry_after_seconds
    assert wait is not None
    assert round(wait * 1000) == 1500
    assert admitted(one, 1, 2.001)


def test_tokens_are_paid_for_afterwards() -> None:
    one = limiter(tokens_per_minute=600)
    assert admitted(one, 1, 0)
    one.charge('clinics', 300, 1, 1)
    refused = one.admit('clinics', 1, 1)
    assert isinstance(refused, result.Err)
    # The bucket holds 100; 200 more come back at 10 a second.
    assert refused.err_value.retry_after_seconds == 20
    assert admitted(one, 1, 21.1)


def test_no_limit_and_unknown_organisation() -> None:
    one = limiter()
    assert all(admitted(one, 1, 0) for _ in range(1000))
    assert one.admit('others', 1, 0).is_ok()
