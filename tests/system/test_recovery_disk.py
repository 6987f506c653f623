"""Readmit a control member that lost its disk, and survive the next loss.

A member with an empty disk has lost its votes and its log, so it must not
count towards a majority until it is readmitted.
"""

import shutil
import typing
from collections import abc

import pytest

from bench import changes, cluster, examples, web

CHANGES = 50
SNAPSHOT_ENTRIES = 40
TAIL_ENTRIES = 5


@pytest.fixture(scope='module')
def system(
    tmp_path_factory: pytest.TempPathFactory,
) -> abc.Iterator[cluster.Cluster]:
    """Start three control members."""
    running = cluster.Cluster(tmp_path_factory.mktemp('disk'))
    running.control_settings = {
        'snapshot_entries': SNAPSHOT_ENTRIES,
        'snapshot_tail_entries': TAIL_ENTRIES,
    }
    try:
        running.start_control()
        assert running.apply(examples.nivelar()).status == 200
        yield running
    finally:
        running.stop()


def followers(system: cluster.Cluster) -> list[str]:
    leader = system.leader()
    return [member for member in system.members if member != leader]


def lose_disk(system: cluster.Cluster, member: str) -> None:
    system.processes[member].kill()
    shutil.rmtree(system.folder / member)


def member_entries(
    system: cluster.Cluster, member: str
) -> dict[str, typing.Any]:
    """Return what one member lists of each member, by name."""
    url = f'{system.admin_url(member)}/members'
    listed = web.request(url, key=cluster.TOKEN).json()['members']
    return {entry['name']: entry for entry in listed}


def admit(system: cluster.Cluster, through: str, name: str) -> web.Reply:
    url = f'{system.admin_url(through)}/members'
    return web.request(url, 'POST', {'name': name}, cluster.TOKEN)


def readmit(system: cluster.Cluster, through: str, name: str) -> None:
    web.wait_until(
        lambda: admit(system, through, name).status == 200,
        f'{name} to be readmitted',
    )


def test_wiped_member_has_no_vote(system: cluster.Cluster) -> None:
    leader = system.leader()
    wiped, other = followers(system)
    writer = changes.Writer(system, 'before', [leader])
    writer.run(CHANGES)
    lose_disk(system, wiped)
    system.processes[wiped].start()
    assert not writer.missing_changes_at(wiped)
    before = member_entries(system, leader)[wiped]
    assert before['answering_identity'] != before['voting_identity']
    # The leader and a wiped member are not a majority.
    system.processes[other].kill()
    minority_change = changes.Change('without-a-majority')
    assert not changes.send(system, leader, minority_change)
    system.processes[other].start()
    system.leader()
    # Sent again it is accepted, or gets the answer of its first commit.
    assert changes.send(system, system.leader(), minority_change)
    readmit(system, other, wiped)


def test_second_disk_loss_right_after_a_readmission(
    system: cluster.Cluster,
) -> None:
    leader = system.leader()
    wiped, other = followers(system)
    writer = changes.Writer(system, 'repaired', [leader])
    writer.run(CHANGES)
    lose_disk(system, wiped)
    system.processes[wiped].start()
    readmit(system, other, wiped)
    lose_disk(system, other)
    assert not writer.missing_changes_at(wiped)
    later_writer = changes.Writer(system, 'after', [leader, wiped])
    later_writer.run(CHANGES)
    assert len(later_writer.acknowledged) == CHANGES
    system.processes[other].start()
    readmit(system, leader, other)
    # The readmitted members store every change without the old leader.
    lose_disk(system, leader)
    system.leader(among=[wiped, other])
    for member in (wiped, other):
        assert not writer.missing_changes_at(member)
        assert not later_writer.missing_changes_at(member)
    assert not writer.count_different_answers([wiped, other])
    system.processes[leader].start()
    readmit(system, wiped, leader)


def test_dismissed_member_does_not_count(system: cluster.Cluster) -> None:
    leader = system.leader()
    dismissed, other = followers(system)
    url = f'{system.admin_url(other)}/members'
    reply = web.request(url, 'DELETE', {'name': leader}, cluster.TOKEN)
    assert reply.status == 409
    body = {'name': dismissed}
    assert web.request(url, 'DELETE', body, cluster.TOKEN).status == 200
    assert not member_entries(system, leader)[dismissed]['voting_identity']
    readmit(system, leader, dismissed)
    readmitted = member_entries(system, leader)[dismissed]
    assert readmitted['voting_identity'] == readmitted['answering_identity']


def test_unknown_member_is_not_admitted(system: cluster.Cluster) -> None:
    reply = admit(system, system.leader(), 'control-9')
    assert reply.status == 404
    assert reply.json()['error']['code'] == 'unknown_member'
