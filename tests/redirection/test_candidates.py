"""Name only members that answered a moment ago."""

import random

from cranberryrill.redirection import candidates

NOW = 100.0
LATER = NOW + candidates.ANSWER_LIFETIME_SECONDS + 0.01


def test_nobody_is_named_before_an_answer() -> None:
    known = candidates.Candidates(['a', 'b'])
    assert known.choose(NOW, random.Random(1)) is None


def test_silent_members_are_no_longer_named() -> None:
    known = candidates.Candidates(['a', 'b'])
    assert known.record_answer('a', diskless=False, now=NOW)
    assert known.record_answer('b', diskless=False, now=NOW)
    assert not known.record_answer('b', diskless=False, now=NOW + 1)
    rng = random.Random(1)
    assert {known.choose(NOW + 1, rng) for _ in range(50)} == {'a', 'b'}
    assert {known.choose(LATER, rng) for _ in range(50)} == {'b'}
    assert known.choose(LATER + 1, rng) is None
    assert known.record_answer('a', diskless=False, now=LATER)


def test_members_without_a_disk_are_not_named() -> None:
    known = candidates.Candidates(['a'])
    known.record_answer('a', diskless=True, now=NOW)
    assert known.choose(NOW, random.Random(1)) is None
    # The VM was replaced by one that has a disk.
    known.record_answer('a', diskless=False, now=NOW)
    assert known.choose(NOW, random.Random(1)) == 'a'


def test_hosts_are_met_once() -> None:
    known = candidates.Candidates(['a'])
    assert known.add(['a', 'b']) == ['b']
    assert not known.add(['b'])
