"""What may be sent again."""

import pytest

from cranberryrill import failures
from cranberryrill.forwarding import retry_policy
from tests.forwarding import conftest

ONCE = conftest.make_route(repeatable=False)
SAFE = conftest.make_route()


def progress_after(*ran: failures.Ran) -> retry_policy.Progress:
    progress = retry_policy.Progress()
    for one in ran:
        progress = progress.with_attempt(one)
    return progress


@pytest.mark.parametrize('ran', [failures.Ran.unknown, failures.Ran.yes])
def test_what_may_have_run_is_not_repeated(ran: failures.Ran) -> None:
    progress = progress_after(ran)
    assert not retry_policy.may_retry(ONCE, progress, 1)
    assert progress.ran is failures.Ran.unknown


def test_proved_rejections_allow_another_upstream() -> None:
    progress = progress_after(failures.Ran.no)
    assert retry_policy.may_retry(ONCE, progress, 1)
    assert progress.ran is failures.Ran.no
    full = retry_policy.Progress(rejections=retry_policy.MAX_REJECTIONS)
    assert not retry_policy.may_retry(ONCE, full, 1)


def test_attempts_and_time_bound_repeats() -> None:
    assert retry_policy.may_retry(SAFE, progress_after(failures.Ran.yes), 1)
    twice = progress_after(failures.Ran.yes, failures.Ran.unknown)
    assert not retry_policy.may_retry(SAFE, twice, 1)
    once = progress_after(failures.Ran.yes)
    assert not retry_policy.may_retry(SAFE, once, 0.01)
