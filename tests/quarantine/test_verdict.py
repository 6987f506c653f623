"""Which parts are held to be fatal under the loads that raise suspicion."""

import random
from collections import abc

import pytest

from cranberryrill.quarantine import records, request_key, verdict
from cranberryrill.settings import quarantine_limits
from tests.quarantine import conftest

LIMITS = quarantine_limits.QuarantineLimits(crashes=3)
SYSTEMS = 4
DOCUMENTS = 300
SOUND_PER_SECOND = 30
# The last two are in KNOWN-RED.txt.
SEEDS = (*range(30), 64, 114)
# The users' bound: requests with the part that may still be sent later than
# this after the fifth crash.
CONTACT_SECONDS = 3.0
MAX_LATE_REQUESTS = 3


def sound_parts(rng: random.Random) -> tuple[str, ...]:
    # A few documents are asked for far more often than the rest.
    document = int(DOCUMENTS * rng.random() ** 2)
    return (f's{rng.randrange(SYSTEMS)}', f'd{document}')


def fatal_document(rng: random.Random) -> tuple[str, ...]:
    return (f's{rng.randrange(SYSTEMS)}', 'fatal')


def fatal_system(rng: random.Random) -> tuple[str, ...]:
    return ('fatal', f'd{rng.randrange(DOCUMENTS)}')


def fatal_of_one_system(rng: random.Random) -> tuple[str, ...]:
    return ('s0', 'fatal')


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('per_second', [0.4, 1, 4])
@pytest.mark.parametrize(
    'make_fatal', [fatal_document, fatal_system, fatal_of_one_system]
)
def test_only_the_fatal_part_is_quarantined_in_time(
    make_fatal: abc.Callable[[random.Random], tuple[str, ...]],
    per_second: float,
    seed: int,
) -> None:
    replay = conftest.Replay(seed, fatal={'fatal'})
    replay.traffic(SOUND_PER_SECOND, sound_parts, (0, 60))
    replay.traffic(per_second, make_fatal, (5, 60))
    replay.run(60)
    assert replay.quarantined == {'fatal'}
    assert replay.refused > 0
    known_from = replay.known_from(CONTACT_SECONDS)
    late = [at for at in replay.fatal_sent if at > known_from]
    assert len(late) <= MAX_LATE_REQUESTS


@pytest.mark.parametrize('seed', SEEDS)
def test_part_that_becomes_fatal_after_many_responses_is_quarantined(
    seed: int,
) -> None:
    replay = conftest.Replay(seed)
    replay.traffic(SOUND_PER_SECOND, sound_parts, (0, 60))
    replay.traffic(1, fatal_document, (0, 60))
    replay.at(10, lambda: replay.fatal.add('fatal'))
    replay.run(60)
    assert replay.quarantined == {'fatal'}
    known_from = replay.known_from(CONTACT_SECONDS)
    late = [at for at in replay.fatal_sent if at > known_from]
    assert len(late) <= MAX_LATE_REQUESTS


@pytest.mark.parametrize('seed', SEEDS)
def test_upstreams_that_end_one_by_one_raise_no_lasting_suspicion(
    seed: int,
) -> None:
    replay = conftest.Replay(seed)
    replay.traffic(SOUND_PER_SECOND, sound_parts, (0, 60))
    # 170 times as often as in the fleet to come.
    for second in range(5, 60, 2):
        replay.crash_at(second, replay.rng.randrange(conftest.UPSTREAMS))
    replay.run(60)
    assert len(replay.crashed_at) > 15
    assert not replay.quarantined


@pytest.mark.parametrize('seed', range(30))
def test_upstreams_that_end_each_second_raise_no_lasting_suspicion(
    seed: int,
) -> None:
    replay = conftest.Replay(seed)
    replay.traffic(SOUND_PER_SECOND, sound_parts, (0, 60))
    for second in range(5, 60):
        replay.crash_at(second, replay.rng.randrange(conftest.UPSTREAMS))
    replay.run(60)
    assert len(replay.crashed_at) > 30
    assert not replay.quarantined


@pytest.mark.parametrize('seed', SEEDS)
def test_upstreams_that_end_together_count_once(seed: int) -> None:
    replay = conftest.Replay(seed)
    replay.traffic(SOUND_PER_SECOND, sound_parts, (0, 60))
    for second in (10, 20, 30, 40, 50):
        for number in range(conftest.UPSTREAMS):
            replay.crash_at(second + number / 1000, number)
    replay.run(60)
    assert not replay.quarantined


def test_crashes_count_only_one_after_the_other() -> None:
    together = records.SuspectRecord(
        'p', tuple(conftest.make_crash(n, 2 + n / 100) for n in range(5))
    )
    assert verdict.crash_count(together) == 1
    in_turn = records.SuspectRecord(
        'p', tuple(conftest.make_crash(n, n + 0.5) for n in range(5))
    )
    assert verdict.crash_count(in_turn) == 5


def test_survived_response_voids_earlier_crashes() -> None:
    crashes = tuple(conftest.make_crash(n, n + 0.5) for n in range(5))
    record = records.SuspectRecord('p', crashes, completed_at=2.6)
    assert verdict.crash_count(record) == 2


def test_crashes_are_explained_by_the_part_furthest_back() -> None:
    shared = records.SuspectRecord(
        'shared', tuple(conftest.make_crash(n, n, position=0) for n in range(3))
    )
    fatal = records.SuspectRecord(
        'fatal', tuple(conftest.make_crash(n, n, position=1) for n in range(3))
    )
    assert verdict.fatal_keys([shared, fatal], LIMITS) == ['fatal']


REQUEST_CRASHES = 3
MAX_LATE_REPEATS = 3
FATAL_REQUEST = conftest.request_key_of('fatal')
# A caller tries twice; its entry retries the first attempt, and no suspect.
CALLER_TRIES = 3


def quarantined_parts(replay: conftest.Replay) -> set[str]:
    return {
        key for key in replay.quarantined if not request_key.is_request(key)
    }


@pytest.mark.parametrize('seed', range(30))
@pytest.mark.parametrize('per_second', [0.4, 1, 4])
@pytest.mark.parametrize('upstreams', [4, 6])
@pytest.mark.parametrize(
    'parts', [(), ('s0',), ('s0', 'd0'), ('s0', 'd299'), ('own',)]
)
def test_fatal_request_is_quarantined_in_time_and_not_its_parts(
    parts: tuple[str, ...], upstreams: int, per_second: float, seed: int
) -> None:
    replay = conftest.Replay(
        seed, {FATAL_REQUEST}, CALLER_TRIES, upstreams=upstreams
    )
    replay.traffic(SOUND_PER_SECOND, sound_parts, (0, 60))
    replay.repeats('fatal', per_second, parts, (5, 60))
    replay.run(60)
    assert FATAL_REQUEST in replay.quarantined
    assert not quarantined_parts(replay)
    assert not replay.sound_refused
    known_from = replay.known_from(CONTACT_SECONDS, REQUEST_CRASHES)
    late = [at for at in replay.fatal_sent if at > known_from]
    assert len(late) <= MAX_LATE_REPEATS


@pytest.mark.parametrize('seed', range(30))
@pytest.mark.parametrize('per_second', [0.4, 1, 4])
def test_fatal_part_is_quarantined_although_callers_repeat(
    per_second: float, seed: int
) -> None:
    replay = conftest.Replay(seed, {'fatal'}, client_tries=2)
    replay.traffic(SOUND_PER_SECOND, sound_parts, (0, 60))
    replay.traffic(per_second, fatal_document, (5, 60))
    replay.run(60)
    assert quarantined_parts(replay) == {'fatal'}
    assert not replay.sound_refused
    known_from = replay.known_from(CONTACT_SECONDS)
    late = [at for at in replay.fatal_sent if at > known_from]
    assert len(late) <= MAX_LATE_REQUESTS


@pytest.mark.parametrize('seed', range(30))
@pytest.mark.parametrize('count', [2, 3])
def test_several_fatal_requests_are_told_apart(count: int, seed: int) -> None:
    names = [f'fatal-{number}' for number in range(count)]
    keys = {conftest.request_key_of(name) for name in names}
    replay = conftest.Replay(seed, keys, client_tries=2)
    replay.traffic(SOUND_PER_SECOND, sound_parts, (0, 60))
    for number, name in enumerate(names):
        replay.repeats(name, 1, ('s0', f'd{number}'), (5, 60))
    replay.run(60)
    assert keys <= replay.quarantined
    assert not quarantined_parts(replay)
    assert not replay.sound_refused


@pytest.mark.parametrize('seed', range(30))
@pytest.mark.parametrize('period', [1, 2, 4])
def test_repeats_while_upstreams_end_one_by_one_are_served(
    period: int, seed: int
) -> None:
    replay = conftest.Replay(seed, client_tries=CALLER_TRIES)
    replay.traffic(SOUND_PER_SECOND, sound_parts, (0, 60))
    replay.repeats('popular', 2, ('s0', 'd0'), (0, 60))
    for second in range(5, 60, period):
        replay.crash_at(second, replay.rng.randrange(conftest.UPSTREAMS))
    replay.run(60)
    assert not replay.sound_refused


@pytest.mark.parametrize('seed', range(30))
@pytest.mark.parametrize('spread', [0.001, 0.02, 0.1, 0.3])
def test_repeats_through_a_loss_of_power_are_served(
    spread: float, seed: int
) -> None:
    replay = conftest.Replay(seed, client_tries=CALLER_TRIES)
    replay.traffic(SOUND_PER_SECOND, sound_parts, (0, 60))
    replay.repeats('popular', 2, ('s0', 'd0'), (0, 60))
    for second in (10, 25, 40):
        for number in range(conftest.UPSTREAMS):
            replay.crash_at(second + number * spread, number)
    replay.run(60)
    assert not replay.sound_refused


def test_quarantined_bystander_does_not_cover_up_the_fatal_request() -> None:
    evidence = conftest.make_ledger()
    bystander, fatal = (conftest.request_key_of(name) for name in 'bf')
    for number in range(REQUEST_CRASHES):
        crash = conftest.make_crash(number, number, position=0)
        evidence.record_crash(bystander, crash)
    assert evidence.quarantine(4) == [bystander]
    # What another entry saw of the same crashes arrives later.
    for number in range(REQUEST_CRASHES):
        crash = conftest.make_crash(number, number, position=0)
        evidence.record_crash(fatal, crash)
    assert evidence.quarantine(5) == [fatal]
