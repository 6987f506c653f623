"""Rate limits of organisations at an entry."""

import result

from cranberryrill.configuration import active, document
from cranberryrill.limits import rate_limiter
from cranberryrill.state import commands_pb2


def make_limiter(**limits: float) -> rate_limiter.RateLimiter:
    configuration = active.ActiveConfiguration()
    organisation = document.Organisation(
        name='clinics',
        requests_per_second=limits.get('requests_per_second', 0),
        tokens_per_minute=int(limits.get('tokens_per_minute', 0)),
    )
    change = commands_pb2.ObjectChange(
        kind='organisations',
        name='clinics',
        json=document.encode('organisations', organisation),
    )
    configuration.update(1, [change], [])
    return rate_limiter.RateLimiter(lambda: configuration)


def is_admitted(
    limiter: rate_limiter.RateLimiter, entries: int, now: float
) -> bool:
    return limiter.admit('clinics', entries, now).is_ok()


def test_request_rate_stays_within_the_limit() -> None:
    limiter = make_limiter(requests_per_second=5)
    times = [number / 100 for number in range(1000)]
    count = sum(is_admitted(limiter, 1, now) for now in times)
    # Ten seconds at 5 per second, plus the initial burst of 5.
    assert count in range(50, 56)


def test_entries_share_one_limit() -> None:
    entries = [make_limiter(requests_per_second=8) for _ in range(4)]
    times = [number / 100 for number in range(1000)]
    count = sum(
        is_admitted(limiter, 4, now) for now in times for limiter in entries
    )
    assert count in range(80, 89)


def test_refusal_carries_the_retry_delay() -> None:
    limiter = make_limiter(requests_per_second=0.5)
    assert is_admitted(limiter, 1, 0)
    refused = limiter.admit('clinics', 1, 0.5)
    assert isinstance(refused, result.Err)
    assert refused.err_value.status == 429
    wait = refused.err_value.retry_after_seconds
    assert wait is not None
    assert round(wait * 1000) == 1500
    assert is_admitted(limiter, 1, 2.001)


def test_tokens_are_charged_after_the_answer() -> None:
    limiter = make_limiter(tokens_per_minute=600)
    assert is_admitted(limiter, 1, 0)
    limiter.charge('clinics', 300, 1, 1)
    refused = limiter.admit('clinics', 1, 1)
    assert isinstance(refused, result.Err)
    # The bucket holds 100, so it is at -200 and refills 10 per second.
    assert refused.err_value.retry_after_seconds == 20
    assert is_admitted(limiter, 1, 21.1)


def test_unlimited_and_unknown_organisations_are_admitted() -> None:
    limiter = make_limiter()
    assert all(is_admitted(limiter, 1, 0) for _ in range(1000))
    assert limiter.admit('others', 1, 0).is_ok()
