"""Which requests may be retried."""

import pytest

from cranberryrill import failures
from cranberryrill.forwarding import retry_policy
from tests.forwarding import conftest

NOT_REPEATABLE = conftest.make_route(repeatable=False)
REPEATABLE = conftest.make_route()


def progress_after(*ran: failures.Ran) -> retry_policy.Progress:
    progress = retry_policy.Progress()
    for outcome in ran:
        progress = progress.with_attempt(outcome)
    return progress


@pytest.mark.parametrize('ran', [failures.Ran.unknown, failures.Ran.yes])
def test_non_repeatable_request_that_may_have_run_is_not_retried(
    ran: failures.Ran,
) -> None:
    progress = progress_after(ran)
    assert not retry_policy.may_retry(NOT_REPEATABLE, progress, 1)
    assert progress.ran is failures.Ran.unknown


def test_rejected_request_is_retried_up_to_limit() -> None:
    progress = progress_after(failures.Ran.no)
    assert retry_policy.may_retry(NOT_REPEATABLE, progress, 1)
    assert progress.ran is failures.Ran.no
    at_limit = retry_policy.Progress(rejections=retry_policy.MAX_REJECTIONS)
    assert not retry_policy.may_retry(NOT_REPEATABLE, at_limit, 1)


def test_attempts_and_remaining_time_limit_retries() -> None:
    assert retry_policy.may_retry(
        REPEATABLE, progress_after(failures.Ran.yes), 1
    )
    twice = progress_after(failures.Ran.yes, failures.Ran.unknown)
    assert not retry_policy.may_retry(REPEATABLE, twice, 1)
    once = progress_after(failures.Ran.yes)
    assert not retry_policy.may_retry(REPEATABLE, once, 0.01)


def test_retry_delays_are_spread_over_their_range() -> None:
    assert retry_policy.backoff_seconds(0) == pytest.approx(0.1)
    assert retry_policy.backoff_seconds(1) == pytest.approx(0.5)
    assert retry_policy.queue_delay_seconds(4, 0, 0) == pytest.approx(2)
    assert retry_policy.queue_delay_seconds(4, 0, 1) == pytest.approx(4)
    assert retry_policy.queue_delay_seconds(0, 0, 1) == pytest.approx(0.5)


@pytest.mark.parametrize('pause', [0.2, 1, 5])
@pytest.mark.parametrize('sampled', [0, 0.5, 1])
def test_no_caller_is_called_back_into_a_pause(
    pause: float, sampled: float
) -> None:
    delay = retry_policy.queue_delay_seconds(pause, pause, sampled)
    assert pause < delay < pause + 1
