"""Lose a disk, readmit the member, and lose another right after."""

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
    """Start three members."""
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
    return [one for one in system.members if one != leader]


def lose_disk(system: cluster.Cluster, member: str) -> None:
    system.processes[member].kill()
    shutil.rmtree(system.folder / member)


def members(system: cluster.Cluster, member: str) -> dict[str, typing.Any]:
    url = f'{system.admin_url(member)}/members'
    listed = web.request(url, key=cluster.TOKEN).json()['members']
    return {one['name']: one for one in listed}


def admit(system: cluster.Cluster, through: str, name: str) -> web.Reply:
    url = f'{system.admin_url(through)}/members'
    return web.request(url, 'POST', {'name': name}, cluster.TOKEN)


def readmit(system: cluster.Cluster, through: str, name: str) -> None:
    web.wait_until(
        lambda: admit(system, through, name).status == 200,
        f'{name} readmitted',
    )


def test_wiped_member_has_no_vote(system: cluster.Cluster) -> None:
    leader = system.leader()
    wiped, other = followers(system)
    writer = changes.Writer(system, 'before', [leader])
    writer.run(CHANGES)
    lose_disk(system, wiped)
    system.processes[wiped].start()
    assert not writer.missing_changes_at(wiped)
    before = members(system, leader)[wiped]
    assert before['answering_identity'] != before['voting_identity']
    # A leader and a wiped member are no majority.
    system.processes[other].kill()
    lone = changes.Change('without-a-majority')
    assert not changes.send(system, leader, lone)
    system.processes[other].start()
    system.leader()
    # Sent again it is accepted, or its first answer comes.
    assert changes.send(system, system.leader(), lone)
    readmit(system, other, wiped)


def test_second_loss_right_after_a_repair(system: cluster.Cluster) -> None:
    leader = system.leader()
    wiped, other = followers(system)
    writer = changes.Writer(system, 'repaired', [leader])
    writer.run(CHANGES)
    lose_disk(system, wiped)
    system.processes[wiped].start()
    readmit(system, other, wiped)
    lose_disk(system, other)
    assert not writer.missing_changes_at(wiped)
    lose_leader = changes.Writer(system, 'after', [leader, wiped])
    lose_leader.run(CHANGES)
    assert len(lose_leader.acknowledged) == CHANGES
    system.processes[other].start()
    readmit(system, leader, other)
    # The repaired members carry everything without the old leader.
    lose_disk(system, leader)
    system.leader(among=[wiped, other])
    for member in (wiped, other):
        assert not writer.missing_changes_at(member)
        assert not lose_leader.missing_changes_at(member)
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
    assert not members(system, leader)[dismissed]['voting_identity']
    readmit(system, leader, dismissed)
    described = members(system, leader)[dismissed]
    assert described['voting_identity'] == described['answering_identity']


def test_unknown_member(system: cluster.Cluster) -> None:
    reply = admit(system, system.leader(), 'control-9')
    assert reply.status == 404
    assert reply.json()['error']['code'] == 'unknown_member'
