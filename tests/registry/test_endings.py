"""An announced end covers each start before it, and none after the drain time.

The replays give upstreams and members clocks that differ by seconds.
"""

import random

import pytest

from cranberryrill import clock
from cranberryrill.registry import (
    departures,
    endings,
    records,
    registry_pb2,
    table,
    timing,
)
from cranberryrill.state import commands_pb2
from tests.registry import group as replayed

DRAIN_SECONDS = 2.0
END_AT = 200.0
MAX_CLOCK_ERROR_SECONDS = 4.0
# An upstream calls another member after a second without an answer.
MAX_HEARTBEAT_SECONDS = 0.95
MAX_DELAY_SECONDS = 6.0
SEEDS = range(150)
Effect = endings.Effect


def check_starts_around_end(
    group: replayed.Group, rng: random.Random, ahead: float
) -> None:
    """End an upstream whose heartbeat is late; start it after the drain."""
    started_at = END_AT - rng.uniform(0.1, MAX_HEARTBEAT_SECONDS)
    group.end('u1', END_AT)
    arrived_at = END_AT + rng.uniform(0.05, MAX_DELAY_SECONDS)
    assert not group.hear(
        replayed.heartbeat(started_at, ahead=ahead), arrived_at
    )
    assert not group.knows('u1')
    restarted_at = END_AT + DRAIN_SECONDS + rng.uniform(0.06, 3)
    again = replayed.heartbeat(restarted_at, ahead=ahead)
    assert group.hear(again, restarted_at + rng.uniform(0.001, 0.9))
    assert group.knows('u1')


@pytest.mark.parametrize('seed', SEEDS)
def test_late_first_heartbeat_after_a_crash_is_covered(seed: int) -> None:
    # Guards against an end that is taken for that of the start before a crash.
    rng = random.Random(seed)
    error = rng.uniform(-MAX_CLOCK_ERROR_SECONDS, MAX_CLOCK_ERROR_SECONDS)
    ahead = rng.uniform(-MAX_CLOCK_ERROR_SECONDS, MAX_CLOCK_ERROR_SECONDS)
    group = replayed.Group(rng, error)
    first = replayed.heartbeat(100, ahead=ahead)
    group.hear(first, 100 + rng.uniform(0.001, MAX_HEARTBEAT_SECONDS))
    check_starts_around_end(group, rng, ahead)


@pytest.mark.parametrize('seed', SEEDS)
def test_starts_of_others_tell_the_time_for_an_unknown_upstream(
    seed: int,
) -> None:
    # Guards against starts that are compared with the member's clock alone.
    rng = random.Random(seed)
    error = rng.uniform(-MAX_CLOCK_ERROR_SECONDS, MAX_CLOCK_ERROR_SECONDS)
    ahead = rng.uniform(-MAX_CLOCK_ERROR_SECONDS, MAX_CLOCK_ERROR_SECONDS)
    group = replayed.Group(rng, error)
    for number in range(5):
        started_at = 100 + rng.uniform(0, 50)
        other = replayed.heartbeat(
            started_at, name=f'other-{number}', ahead=ahead
        )
        group.hear(other, started_at + rng.uniform(0.001, 0.3))
    check_starts_around_end(group, rng, ahead)


@pytest.mark.parametrize('seed', SEEDS)
def test_clock_alone_may_be_off_by_less_than_half_the_drain_time(
    seed: int,
) -> None:
    rng = random.Random(seed)
    group = replayed.Group(rng, rng.uniform(-0.45, 0.45))
    check_starts_around_end(group, rng, rng.uniform(-0.45, 0.45))


@pytest.mark.parametrize('seed', SEEDS)
def test_any_heartbeat_bounds_the_clock_of_an_upstream_that_is_ahead(
    seed: int,
) -> None:
    # Failed where the first heartbeats of an upstream had found no member.
    rng = random.Random(seed)
    group = replayed.Group(rng, 0)
    ahead = rng.uniform(0, MAX_CLOCK_ERROR_SECONDS)
    group.hear(
        replayed.heartbeat(100, 3, ahead=ahead), 100 + rng.uniform(0.01, 0.6)
    )
    check_starts_around_end(group, rng, ahead)


def test_start_ahead_of_all_clocks_is_covered_within_the_drain_time() -> None:
    # Guards against a late heartbeat that registers, as its start lies ahead.
    group = replayed.Group(random.Random(1), 0)
    group.end('u1', END_AT)
    early = replayed.heartbeat(END_AT - 0.8, ahead=60)
    assert not group.hear(early, END_AT + 1.4)
    assert not group.hear(
        replayed.heartbeat(END_AT - 0.8, 2, ahead=60), END_AT + 4
    )


def test_known_start_ahead_of_all_clocks_ends() -> None:
    group = replayed.Group(random.Random(1), 0)
    group.hear(replayed.heartbeat(100, 50, ahead=60), 100)
    group.end('u1', END_AT)
    assert not group.knows('u1')
    assert not group.hear(replayed.heartbeat(100, 51, ahead=60), END_AT + 1)


def test_repeated_announcement_covers_no_more() -> None:
    # Guards against an end, sent again as its answer was lost, that ends the
    # next start.
    group = replayed.Group(random.Random(1), 0)
    group.hear(replayed.heartbeat(100), 100.01)
    first = group.end('u1', END_AT)
    assert group.end('u1', END_AT + DRAIN_SECONDS - 0.1) == first
    restarted_at = END_AT + DRAIN_SECONDS + 0.1
    assert group.hear(replayed.heartbeat(restarted_at), restarted_at + 0.01)


@pytest.mark.parametrize('seed', SEEDS)
def test_upstream_that_has_drained_may_start_again_at_once(seed: int) -> None:
    # Guards against an end that covers the drain time of one that left before.
    rng = random.Random(seed)
    error = rng.uniform(-MAX_CLOCK_ERROR_SECONDS, MAX_CLOCK_ERROR_SECONDS)
    ahead = rng.uniform(-MAX_CLOCK_ERROR_SECONDS, MAX_CLOCK_ERROR_SECONDS)
    group = replayed.Group(rng, error)
    group.hear(
        replayed.heartbeat(100, ahead=ahead), 100 + rng.uniform(0.001, 0.2)
    )
    draining = replayed.heartbeat(100, 9, ahead=ahead)
    draining.leaving = True
    group.hear(draining, END_AT - 3)
    group.end('u1', END_AT)
    if rng.choice([True, False]):
        group.end('u1', END_AT + 0.3)
    restarted_at = END_AT + rng.uniform(0.35, 3)
    again = replayed.heartbeat(restarted_at, ahead=ahead)
    assert group.hear(again, restarted_at + 0.01)


@pytest.mark.parametrize('seed', SEEDS)
def test_late_first_heartbeat_after_a_drained_start_is_covered(
    seed: int,
) -> None:
    # Guards against an end that is taken for that of the drained start.
    rng = random.Random(seed)
    error = rng.uniform(-MAX_CLOCK_ERROR_SECONDS, MAX_CLOCK_ERROR_SECONDS)
    group = replayed.Group(rng, error)
    group.hear(replayed.heartbeat(100), 100 + rng.uniform(0.001, 0.2))
    draining = replayed.heartbeat(100, 9)
    draining.leaving = True
    group.hear(draining, END_AT - 5)
    # Later than the first heartbeat before was, at each member.
    started_at = END_AT - rng.uniform(0.5, MAX_HEARTBEAT_SECONDS)
    group.end('u1', END_AT)
    late = replayed.heartbeat(started_at)
    assert not group.hear(late, END_AT + rng.uniform(0.05, MAX_DELAY_SECONDS))
    assert not group.knows('u1')


@pytest.mark.parametrize('is_known', [True, False])
def test_start_that_goes_on_after_a_late_announcement_returns(
    *, is_known: bool
) -> None:
    # Guards against a late announcement of an earlier start that ends this one
    # for good.
    group = replayed.Group(random.Random(1), 0)
    group.hear(replayed.heartbeat(100), 100.01)
    started_at = END_AT - 0.5
    if is_known:
        group.hear(replayed.heartbeat(started_at), started_at + 0.01)
    first_end = group.end('u1', END_AT)
    sequence = 1
    sent_at = END_AT + 0.1
    while not group.hear(replayed.heartbeat(started_at, sequence), sent_at):
        sequence += 1
        sent_at += timing.DEFAULT_HEARTBEAT_SECONDS
        assert sent_at < END_AT + 12
    assert sent_at > END_AT + timing.RETURN_SECONDS
    assert group.knows('u1')
    # A member that restarts applies the log and its archive.
    restarted = table.RegistrationTable(started_at=sent_at)
    age = timing.RESTORED_DEPARTURE_AGE_SECONDS
    replayed.apply_at(restarted, group.log.by_id['u1'], sent_at - age)
    restarted.restore(replayed.heartbeat(started_at, sequence), sent_at)
    assert set(restarted.registrations()) == {'u1'}
    # One that has missed this tells the others of the end once more.
    behind = table.RegistrationTable()
    behind.record(replayed.heartbeat(100), 100)
    replayed.apply_at(behind, first_end, END_AT)
    group.tables.append(restarted)
    for sighting in behind.sightings_since(0, sent_at):
        for each in group.tables:
            each.merge(sighting, sent_at)
    assert all('u1' in each.registrations() for each in group.tables[:3])
    # Its own end is news, and is stored.
    before = group.log.by_id['u1']
    own = group.end('u1', sent_at + 2)
    assert own != before
    assert own == group.log.by_id['u1']
    assert not group.knows('u1')


def test_leaving_of_a_start_that_returned_is_recorded() -> None:
    ended = registry_pb2.RecordDeparture(
        registration=replayed.heartbeat(100, 5),
        removed=True,
        covered_until_unix_ms=replayed.UNIX_MS + 200_000,
    )
    state = departures.DeparturesState(lambda *_: True)
    state.apply(
        commands_pb2.Command(record_departure=ended), 1, replayed.UNIX_MS
    )
    leaving = registry_pb2.RecordDeparture(
        registration=replayed.heartbeat(100, 5 + timing.RETURN_HEARTBEATS + 1)
    )
    assert not state.covers(leaving)
    leaving.registration.sequence -= 1
    assert state.covers(leaving)


def test_single_late_heartbeat_does_not_return() -> None:
    ended = records.Record(
        replayed.heartbeat(100, 5),
        END_AT,
        removed=True,
        covered_until_ms=replayed.UNIX_MS,
    )
    last = replayed.heartbeat(100, 5 + timing.RETURN_HEARTBEATS)
    far = END_AT + 2 * timing.RETURN_SECONDS
    assert endings.effect_of(ended, last, far, DRAIN_SECONDS) is Effect.ignored
    burst = replayed.heartbeat(100, 6 + timing.RETURN_HEARTBEATS)
    soon = END_AT + timing.RETURN_SECONDS - 0.1
    assert endings.effect_of(ended, burst, soon, DRAIN_SECONDS) is (
        Effect.ignored
    )


def test_upstream_replaced_at_its_address_may_start_again() -> None:
    registry = table.RegistrationTable()
    registry.record(replayed.heartbeat(100, name='u1'), 100)
    later = replayed.heartbeat(150, name='u2')
    later.host = 'u1'
    registry.record(later, 150)
    moved = replayed.heartbeat(151)
    moved.host = 'elsewhere'
    assert registry.record(moved, 151)


@pytest.mark.parametrize('age_seconds', [0.0, 1.0, 90.0])
def test_restored_departure_ends_an_archived_start(age_seconds: float) -> None:
    # A member that restarts applies the log first, and then its archive.
    registry = table.RegistrationTable(started_at=END_AT)
    age = departures.age_seconds(
        replayed.UNIX_MS - int(age_seconds * clock.MILLISECONDS_PER_SECOND),
        replayed.UNIX_MS,
    )
    ended = replayed.heartbeat(100, 5)
    covered_ms = replayed.heartbeat(END_AT - 50).started_unix_ms
    registry.record(
        ended, END_AT - age, removed=True, covered_until_ms=covered_ms
    )
    registry.restore(replayed.heartbeat(100, 5), END_AT + 0.1)
    registry.restore(replayed.heartbeat(END_AT - 60), END_AT + 0.1)
    assert not registry.registrations()
