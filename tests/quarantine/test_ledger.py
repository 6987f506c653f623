"""Evidence converges in all processes, is bounded, and expires."""

import itertools
import random

from cranberryrill.quarantine import ledger, records
from tests.quarantine import conftest

THRESHOLD = 4


def record_crashes(evidence: ledger.Ledger, part: str, count: int) -> None:
    for number in range(count):
        evidence.record_crash(part, conftest.make_crash(number, number))


def share(source: ledger.Ledger, target: ledger.Ledger, now: float) -> bool:
    return target.merge(source.changes_since(0, now), now)


def test_processes_that_saw_one_crash_each_agree_in_any_order() -> None:
    rng = random.Random(1)
    for _ in range(50):
        entries = [conftest.make_ledger() for _ in range(THRESHOLD)]
        for number, evidence in enumerate(entries):
            evidence.record_crash('p', conftest.make_crash(number, number))
        pairs = list(itertools.permutations(entries, 2)) * 2
        rng.shuffle(pairs)
        for source, target in pairs:
            share(source, target, 10)
        for evidence in entries:
            evidence.quarantine(10)
            assert evidence.quarantined_key(['q', 'p']) == 'p'


def test_echoed_evidence_is_no_news() -> None:
    one, other = conftest.make_ledger(), conftest.make_ledger()
    record_crashes(one, 'p', THRESHOLD)
    one.record_completion('p', 5)
    one.quarantine(6)
    now = 7.0
    assert share(one, other, now)
    for _ in range(100):
        # Each message takes 20 ms.
        messages = other.changes_since(0, now)
        now += 0.02
        assert not one.merge(messages, now)
        messages = one.changes_since(0, now)
        now += 0.02
        assert not other.merge(messages, now)


def test_restarted_process_learns_all_that_others_know() -> None:
    known, restarted = conftest.make_ledger(), conftest.make_ledger()
    record_crashes(known, 'p', THRESHOLD)
    known.quarantine(5)
    share(known, restarted, 6)
    assert restarted.quarantined_key(['p']) == 'p'


def test_survived_response_releases_a_part_everywhere() -> None:
    one, other = conftest.make_ledger(), conftest.make_ledger()
    record_crashes(one, 'p', THRESHOLD)
    one.quarantine(5)
    share(one, other, 5)
    other.record_completion('p', 6)
    share(other, one, 6)
    # What was known before doesn't bring the quarantine back.
    share(one, other, 7)
    for evidence in (one, other):
        assert evidence.quarantined_key(['p']) is None
        assert not evidence.quarantine(8)


def test_released_part_is_quarantined_again_after_new_crashes() -> None:
    evidence = conftest.make_ledger()
    record_crashes(evidence, 'p', THRESHOLD)
    evidence.quarantine(5)
    evidence.record_completion('p', 6)
    for number in range(10, 17):
        evidence.record_crash('p', conftest.make_crash(number, number))
    assert evidence.quarantine(17) == ['p']
    assert evidence.quarantined_count(requests=False) == 1


def test_quarantine_lasts_while_requests_come_and_ends_after() -> None:
    evidence = conftest.make_ledger(idle_seconds=100)
    record_crashes(evidence, 'p', THRESHOLD)
    evidence.quarantine(5)
    now = 5.0
    for _ in range(20):
        now += 60
        evidence.record_refusal('p', now)
        evidence.expire(now)
        assert evidence.quarantined_key(['p'])
    evidence.expire(now + 101)
    assert not evidence.quarantined_key(['p'])


def test_request_that_was_survived_before_is_soon_tried_again() -> None:
    evidence = conftest.make_ledger()
    known, unknown = (conftest.request_key_of(number) for number in (1, 2))
    for number in range(10, 16):
        crash = conftest.make_crash(number, number)
        evidence.record_crash(known, crash, completed_at=5)
        evidence.record_crash(unknown, crash)
    assert set(evidence.quarantine(16)) == {known, unknown}
    evidence.expire(25.9)
    assert evidence.quarantined_count(requests=True) == 2
    evidence.expire(26)
    assert evidence.quarantined_key([known, unknown]) == unknown


def test_evidence_is_bounded_and_quarantined_parts_stay() -> None:
    evidence = conftest.make_ledger(max_parts=100)
    record_crashes(evidence, 'fatal', THRESHOLD)
    evidence.quarantine(5)
    for number in range(5000):
        crash = conftest.make_crash(number, 10 + number)
        evidence.record_crash(f'filler-{number}', crash)
    assert len(evidence.records) == 100
    assert evidence.quarantined_key(['fatal'])
    for number in range(200):
        evidence.record_crash('p', conftest.make_crash(number, 9000 + number))
    assert len(evidence.records['p'].crashes) == ledger.MAX_CRASHES


def test_requests_and_parts_displace_only_their_own_kind() -> None:
    evidence = conftest.make_ledger(max_parts=10, max_requests=20)
    record_crashes(evidence, 'fatal', THRESHOLD)
    evidence.quarantine(5)
    for number in range(500):
        crash = conftest.make_crash(number, 10 + number)
        evidence.record_crash(f'part-{number}', crash)
        evidence.record_crash(conftest.request_key_of(number), crash)
    assert len(evidence.records) == 30
    assert evidence.quarantined_key(['fatal'])
    assert sum(evidence.request_heads.values()) == 20
    evidence.expire(10_000)
    assert not evidence.request_heads


def test_long_ids_are_digested() -> None:
    assert records.part_key('5c1e07a2') == '5c1e07a2'
    key = records.part_key('x' * 10_000)
    assert len(key) <= records.MAX_ID_CHARACTERS
    assert key != records.part_key('y' * 10_000)


def test_quarantine_can_be_turned_off() -> None:
    evidence = conftest.make_ledger(crashes=0, request_crashes=0)
    record_crashes(evidence, 'p', 10)
    record_crashes(evidence, conftest.request_key_of(1), 10)
    assert not evidence.quarantine(20)


def test_times_survive_their_encoding() -> None:
    record = records.SuspectRecord(
        'p', (conftest.make_crash(1, 40),), completed_at=30, seen_at=41
    )
    decoded = records.decode(records.encode(record, 50), 50)
    assert decoded == record


def test_turned_off_quarantine_ignores_that_of_others() -> None:
    other, off = conftest.make_ledger(), conftest.make_ledger(crashes=0)
    record_crashes(other, 'p', THRESHOLD)
    other.quarantine(5)
    share(other, off, 6)
    assert off.quarantined_key(['p']) is None
