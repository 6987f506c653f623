"""Seal windows by their length."""

import pytest

from cranberryrill.usage import usage_pb2, window_reporter

WINDOW_SECONDS = 60


@pytest.mark.parametrize(
    ('opened', 'unix_ms', 'now', 'due'),
    [
        (0, 99_000, 200, False),
        (1000, 60_999, 10, False),
        (1000, 61_000, 10, True),
        # The wall clock went back, or was ahead when the window was opened.
        (90_000, 1000, 59, False),
        (90_000, 1000, 60, True),
    ],
)
def test_due(opened: int, unix_ms: int, now: float, due: bool) -> None:
    window = usage_pb2.Window(number=1, opened_unix_ms=opened)
    seen = window_reporter.ObservedWindow(1, 0)
    assert seen.is_due(window, now, unix_ms, WINDOW_SECONDS) is due


def test_each_window_is_timed_from_when_it_was_seen() -> None:
    seen = window_reporter.ObservedWindow(1, 5)
    assert seen.observe(usage_pb2.Window(number=1), 9) == seen
    assert seen.observe(
        usage_pb2.Window(number=2), 9
    ) == window_reporter.ObservedWindow(2, 9)


def test_the_first_window_is_timed_from_its_first_usage() -> None:
    idle = usage_pb2.Window(number=1)
    seen = window_reporter.ObservedWindow(0, 0).observe(idle, 5)
    opened = usage_pb2.Window(number=1, opened_unix_ms=70_000)
    later = seen.observe(opened, 100)
    assert not later.is_due(opened, 100, 70_000, WINDOW_SECONDS)
