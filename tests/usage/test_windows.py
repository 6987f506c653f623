"""Batches are added once, and sealed windows never change."""

from cranberryrill.state import commands_pb2
from cranberryrill.usage import reports, usage_pb2, windows


def batch(number: int, tokens: int, incarnation: str = 'i-1') -> bytes:
    line = usage_pb2.UsageLine(
        organisation='clinics',
        class_name='urgent',
        target='wobble',
        requests=1,
        output_tokens=tokens,
    )
    added = usage_pb2.AddUsage(
        agent='agent',
        incarnation=incarnation,
        number=number,
        lines=[line],
    )
    return commands_pb2.Command(add_usage=added).SerializeToString()


FIRST = batch(1, 5)
SECOND = batch(2, 7)


def seal(number: int) -> bytes:
    sealed = usage_pb2.SealWindow(number=number)
    return commands_pb2.Command(seal_window=sealed).SerializeToString()


def mark(number: int) -> bytes:
    marked = usage_pb2.MarkReported(number=number)
    return commands_pb2.Command(mark_reported=marked).SerializeToString()


def state_after(*commands: bytes) -> windows.UsageState:
    state = windows.UsageState()
    apply(state, *commands)
    return state


def apply(state: windows.UsageState, *commands: bytes) -> None:
    for index, content in enumerate(commands):
        command = commands_pb2.Command.FromString(content)
        state.apply(command, index, 1000 + index)


def tokens(window: usage_pb2.Window) -> int:
    return sum(line.output_tokens for line in window.lines)


def test_resent_batch_is_ignored() -> None:
    state = state_after(FIRST, FIRST, SECOND, FIRST, seal(1))
    assert tokens(state.sealed[1]) == 12


def test_incarnations_have_separate_batch_numbers() -> None:
    state = state_after(batch(1, 5), batch(1, 7, 'i-2'), seal(1))
    assert tokens(state.sealed[1]) == 12


def test_late_usage_is_added_to_the_next_window() -> None:
    state = state_after(batch(1, 5), seal(1))
    before = reports.encode_report(state.sealed[1])
    apply(state, batch(2, 7), batch(1, 5), seal(2))
    assert reports.encode_report(state.sealed[1]) == before
    assert tokens(state.sealed[2]) == 7


def test_only_the_open_window_is_sealed() -> None:
    state = state_after(batch(1, 5), seal(1), batch(2, 7), seal(1))
    assert list(state.sealed) == [1]
    assert state.open.number == 2


def test_snapshot_restores_windows_and_sources() -> None:
    state = state_after(FIRST, seal(1), SECOND, seal(2), mark(1))
    apply(state, batch(3, 9))
    other = windows.UsageState()
    other.load(state.dump())
    assert other.dump() == state.dump()
    assert [window.number for window in other.unreported()] == [2]
    assert reports.encode_report(other.sealed[2]) == reports.encode_report(
        state.sealed[2]
    )
    apply(other, batch(3, 9), seal(3))
    assert tokens(other.sealed[3]) == 9


def test_totals_do_not_depend_on_batch_order() -> None:
    first = state_after(batch(1, 5), batch(1, 7, 'i-2'))
    second = state_after(batch(1, 7, 'i-2'), batch(1, 5))
    assert first.totals.lines() == second.totals.lines()


def test_old_reported_windows_and_sources_are_dropped() -> None:
    state = state_after(batch(1, 5))
    last = windows.SOURCE_RETENTION_WINDOWS + 1
    for number in range(1, last + 1):
        apply(state, seal(number), mark(number))
    assert len(state.sealed) == windows.MAX_REPORTED_WINDOWS
    assert not state.sources


def test_unreported_windows_are_kept() -> None:
    state = windows.UsageState()
    count = windows.MAX_REPORTED_WINDOWS * 2
    for number in range(1, count + 1):
        apply(state, seal(number))
    assert len(state.unreported()) == count
