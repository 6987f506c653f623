"""A window is due for sealing once it has lasted the window length."""

import pytest

from cranberryrill.usage import usage_pb2, window_reporter

WINDOW_SECONDS = 60


@pytest.mark.parametrize(
    ('opened', 'unix_ms', 'now', 'due'),
    [
        (0, 99_000, 200, False),
        (1000, 60_999, 10, False),
        (1000, 61_000, 10, True),
        # The wall clock was set back, or was ahead when the window opened:
        # the monotonic time since it was first observed decides.
        (90_000, 1000, 59, False),
        (90_000, 1000, 60, True),
    ],
)
def test_due_after_window_seconds(
    opened: int, unix_ms: int, now: float, due: bool
) -> None:
    window = usage_pb2.Window(number=1, opened_unix_ms=opened)
    observed = window_reporter.ObservedWindow(1, 0)
    assert observed.is_due(window, now, unix_ms, WINDOW_SECONDS) is due


def test_window_age_starts_when_first_seen() -> None:
    observed = window_reporter.ObservedWindow(1, 5)
    assert observed.observe(usage_pb2.Window(number=1), 9) == observed
    assert observed.observe(
        usage_pb2.Window(number=2), 9
    ) == window_reporter.ObservedWindow(2, 9)


def test_first_window_age_starts_at_first_usage() -> None:
    idle = usage_pb2.Window(number=1)
    observed = window_reporter.ObservedWindow(0, 0).observe(idle, 5)
    opened = usage_pb2.Window(number=1, opened_unix_ms=70_000)
    later = observed.observe(opened, 100)
    assert not later.is_due(opened, 100, 70_000, WINDOW_SECONDS)
