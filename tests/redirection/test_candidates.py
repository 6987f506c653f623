"""Only members that answered recently are chosen."""

import random

from cranberryrill.redirection import candidates

NOW = 100.0
AFTER_LIFETIME = NOW + candidates.ANSWER_LIFETIME_SECONDS + 0.01


def test_no_member_is_chosen_before_an_answer() -> None:
    members = candidates.Candidates(['a', 'b'])
    assert members.choose(NOW, random.Random(1)) is None


def test_silent_members_are_not_chosen() -> None:
    members = candidates.Candidates(['a', 'b'])
    assert members.record_answer('a', diskless=False, now=NOW)
    assert members.record_answer('b', diskless=False, now=NOW)
    assert not members.record_answer('b', diskless=False, now=NOW + 1)
    rng = random.Random(1)
    assert {members.choose(NOW + 1, rng) for _ in range(50)} == {'a', 'b'}
    assert {members.choose(AFTER_LIFETIME, rng) for _ in range(50)} == {'b'}
    assert members.choose(AFTER_LIFETIME + 1, rng) is None
    assert members.record_answer('a', diskless=False, now=AFTER_LIFETIME)


def test_diskless_members_are_not_chosen() -> None:
    members = candidates.Candidates(['a'])
    members.record_answer('a', diskless=True, now=NOW)
    assert members.choose(NOW, random.Random(1)) is None
    # The VM was replaced by one that has a disk.
    members.record_answer('a', diskless=False, now=NOW)
    assert members.choose(NOW, random.Random(1)) == 'a'


def test_known_hosts_are_not_added_again() -> None:
    members = candidates.Candidates(['a'])
    assert members.add(['a', 'b']) == ['b']
    assert not members.add(['b'])
