"""A revision is in force only when no process can serve an older one."""

import pytest

from cranberryrill.membership import directory, membership_pb2, timing

STARTED_AT = 100.0
OLD_LEASES_EXPIRED_AT = STARTED_AT + timing.MAX_LEASE_SECONDS
MEMBERS = ('b', 'c')


@pytest.fixture
def process_directory() -> directory.Directory:
    """Return a directory with revision 5 confirmed by both other members."""
    new_directory = directory.Directory(STARTED_AT)
    new_directory.confirmed_revisions = {'b': 5, 'c': 5}
    return new_directory


def at_revision(name: str, revision: int) -> membership_pb2.Announcement:
    return membership_pb2.Announcement(process=name, revision=revision)


def test_revision_is_in_force_when_every_process_has_it(
    process_directory: directory.Directory,
) -> None:
    process_directory.record(
        at_revision('entry', 5), 'b', OLD_LEASES_EXPIRED_AT
    )
    assert process_directory.is_in_force(5, MEMBERS)


def test_revision_is_not_in_force_when_one_process_lacks_it(
    process_directory: directory.Directory,
) -> None:
    process_directory.record(
        at_revision('entry', 4), 'b', OLD_LEASES_EXPIRED_AT
    )
    assert not process_directory.is_in_force(5, MEMBERS)


def test_revision_is_not_in_force_without_confirmation(
    process_directory: directory.Directory,
) -> None:
    del process_directory.confirmed_revisions['c']
    assert not process_directory.is_in_force(5, MEMBERS)


def test_silent_process_counts_until_its_lease_expires(
    process_directory: directory.Directory,
) -> None:
    process_directory.record(
        at_revision('entry', 4), 'b', OLD_LEASES_EXPIRED_AT
    )
    process_directory.expire(
        OLD_LEASES_EXPIRED_AT + timing.SERVING_LEASE_SECONDS
    )
    assert not process_directory.is_in_force(5, MEMBERS)
    process_directory.expire(
        OLD_LEASES_EXPIRED_AT + timing.MAX_LEASE_SECONDS + 0.1
    )
    assert process_directory.is_in_force(5, MEMBERS)


def test_process_of_restarted_member_counts_until_lease_expires(
    process_directory: directory.Directory,
) -> None:
    process_directory.record(
        at_revision('entry', 4), 'b', OLD_LEASES_EXPIRED_AT
    )
    process_directory.clear_source('b')
    process_directory.refresh('b', OLD_LEASES_EXPIRED_AT + 1)
    assert not process_directory.is_in_force(5, MEMBERS)
    process_directory.expire(
        OLD_LEASES_EXPIRED_AT + timing.MAX_LEASE_SECONDS + 0.1
    )
    assert 'entry' not in process_directory.records


def test_directory_is_ready_after_shares_or_warm_up() -> None:
    new_directory = directory.Directory(STARTED_AT)
    assert not new_directory.is_ready(MEMBERS, STARTED_AT + 0.1)
    assert new_directory.is_ready(
        MEMBERS, STARTED_AT + timing.DIRECTORY_WARM_UP_SECONDS
    )
    new_directory.confirmed_revisions = {'b': 0, 'c': 0}
    assert new_directory.is_ready(MEMBERS, STARTED_AT + 0.1)
