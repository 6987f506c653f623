"""Wall-clock windows: batches are added once, sealed windows never change."""

from cranberryrill.state import commands_pb2
from cranberryrill.usage import clock_reporter, clock_windows, usage_pb2


def add(
    state: clock_windows.ClockWindowsState,
    number: int,
    window: int,
    requests: int,
) -> None:
    batch = usage_pb2.AddWindowUsage(
        source='e1',
        incarnation='i',
        number=number,
        lines=[
            usage_pb2.WindowLine(
                window=window,
                organisation='o',
                requests=requests,
            ),
        ],
    )
    state.apply(commands_pb2.Command(add_window_usage=batch), 1, 0)


def seal(state: clock_windows.ClockWindowsState, number: int) -> None:
    sealed = usage_pb2.SealClockWindow(number=number)
    state.apply(commands_pb2.Command(seal_clock_window=sealed), 1, 0)


def mark(state: clock_windows.ClockWindowsState, number: int) -> None:
    marked = usage_pb2.MarkClockWindow(number=number)
    state.apply(commands_pb2.Command(mark_clock_window=marked), 1, 0)


def test_resent_batch_is_ignored() -> None:
    state = clock_windows.ClockWindowsState()
    add(state, 1, 7, 4)
    add(state, 1, 7, 4)
    assert state.counts[7]['o'] == 4


def test_sealed_window_never_changes() -> None:
    state = clock_windows.ClockWindowsState()
    add(state, 1, 7, 4)
    seal(state, 7)
    add(state, 2, 7, 9)
    assert state.counts[7]['o'] == 4
    assert state.late_requests == 9
    assert state.unreported() == [7]
    mark(state, 7)
    assert not state.unreported()


def test_windows_without_requests_are_reported() -> None:
    state = clock_windows.ClockWindowsState()
    seal(state, 7)
    assert not state.unreported()
    seal(state, 10)
    assert state.unreported() == [8, 9, 10]


def test_snapshot_restores_windows_and_sources() -> None:
    state = clock_windows.ClockWindowsState()
    add(state, 1, 7, 4)
    seal(state, 7)
    add(state, 2, 8, 1)
    restored = clock_windows.ClockWindowsState()
    restored.load(state.dump())
    assert restored.dump() == state.dump()
    add(restored, 2, 8, 1)
    assert restored.counts[8]['o'] == 1


def test_window_is_due_after_the_seal_delay() -> None:
    delay = clock_reporter.SEAL_DELAY_SECONDS
    window_end = 100 * 5
    early = (window_end + delay - 0.1) * 1000
    late = (window_end + delay + 0.1) * 1000
    assert clock_reporter.due_window(early, 5) == 98
    assert clock_reporter.due_window(late, 5) == 99
