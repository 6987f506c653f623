"""Say that a revision is in force only when no process can lack it."""

import pytest

from cranberryrill.membership import directory, membership_pb2, timing

STARTED = 100.0
SETTLED = STARTED + timing.MAX_LEASE_SECONDS
MEMBERS = ('b', 'c')


@pytest.fixture
def known() -> directory.Directory:
    """Return a directory that both other members confirmed revision 5 to."""
    fresh = directory.Directory(STARTED)
    fresh.confirmed_revisions = {'b': 5, 'c': 5}
    return fresh


def at_revision(name: str, revision: int) -> membership_pb2.Announcement:
    return membership_pb2.Announcement(process=name, revision=revision)


def test_every_process_has_it(known: directory.Directory) -> None:
    known.record(at_revision('entry', 5), 'b', SETTLED)
    assert known.is_in_force(5, MEMBERS)


def test_one_process_lacks_it(known: directory.Directory) -> None:
    known.record(at_revision('entry', 4), 'b', SETTLED)
    assert not known.is_in_force(5, MEMBERS)


def test_a_member_has_not_confirmed(known: directory.Directory) -> None:
    del known.confirmed_revisions['c']
    assert not known.is_in_force(5, MEMBERS)


def test_silent_process_counts_while_it_may_serve(
    known: directory.Directory,
) -> None:
    known.record(at_revision('entry', 4), 'b', SETTLED)
    known.expire(SETTLED + timing.SERVING_LEASE_SECONDS)
    assert not known.is_in_force(5, MEMBERS)
    known.expire(SETTLED + timing.MAX_LEASE_SECONDS + 0.1)
    assert known.is_in_force(5, MEMBERS)


def test_process_of_a_restarted_member_counts(
    known: directory.Directory,
) -> None:
    known.record(at_revision('entry', 4), 'b', SETTLED)
    known.clear_source('b')
    known.refresh('b', SETTLED + 1)
    assert not known.is_in_force(5, MEMBERS)
    known.expire(SETTLED + timing.MAX_LEASE_SECONDS + 0.1)
    assert 'entry' not in known.records


def test_new_member_gathers_first() -> None:
    fresh = directory.Directory(STARTED)
    assert not fresh.is_ready(MEMBERS, STARTED + 0.1)
    assert fresh.is_ready(MEMBERS, STARTED + timing.DIRECTORY_WARM_UP_SECONDS)
    fresh.confirmed_revisions = {'b': 0, 'c': 0}
    assert fresh.is_ready(MEMBERS, STARTED + 0.1)
