"""Accept exactly one of two changes made for the same revision."""

import dataclasses
import itertools
from collections import abc
from concurrent import futures

import pytest

from bench import changes, cluster, faults, examples, web

RACES = 20


@pytest.fixture(scope='module')
def system(
    tmp_path_factory: pytest.TempPathFactory,
) -> abc.Iterator[cluster.Cluster]:
    """Start three members whose links can fail."""
    network = faults.Network()
    running = cluster.Cluster(tmp_path_factory.mktemp('race'), network=network)
    try:
        running.start_control()
        assert running.apply(examples.nivelar()).status == 200
        yield running
    finally:
        running.stop()
        network.close()


def apply(
    system: cluster.Cluster,
    member: str,
    change_id: str,
    base_revision: int,
    name: str,
) -> web.Reply:
    wanted = examples.nivelar()
    first = dataclasses.replace(wanted.organisations[0], name=name)
    wanted = dataclasses.replace(
        wanted,
        organisations=(*wanted.organisations, first),
    )
    return system.apply(
        wanted,
        member,
        change_id=change_id,
        base_revision=base_revision,
        wait=False,
    )


def revision(system: cluster.Cluster) -> int:
    status = system.status(system.leader())
    assert status
    return int(status['revision'])


def race(
    system: cluster.Cluster,
    members: tuple[str, ...],
    number: int,
) -> list[int]:
    """Apply two changes at once; return the statuses in order."""
    base = revision(system)
    with futures.ThreadPoolExecutor(2) as pool:
        sent = [
            pool.submit(
                apply,
                system,
                member,
                f'race-{number}-{member}',
                base,
                f'{member}-{number}',
            )
            for member in members
        ]
        statuses = sorted(future.result().status for future in sent)
    assert revision(system) == base + 1
    return statuses


def test_one_of_two_is_accepted(system: cluster.Cluster) -> None:
    pairs = itertools.cycle(itertools.permutations(system.members, 2))
    for number in range(RACES):
        assert race(system, next(pairs), number) == [200, 409]


def test_resend_after_a_lost_answer(system: cluster.Cluster) -> None:
    base = revision(system)
    leader = system.leader()
    asked, other = [one for one in system.members if one != leader]
    assert system.network is not None
    # The change reaches the leader, and its outcome does not come back in
    # time: the follower's link is slower than its deadline.
    system.network.apply(
        faults.Fault.none,
        source=asked,
        target=leader,
        delay_seconds=5,
    )
    first = apply(system, asked, 'lost', base, 'resent')
    system.network.apply(faults.Fault.none)
    assert first.status == 503
    assert first.json()['error']['ran'] == 'unknown'
    replies = [
        apply(system, member, 'lost', base, 'resent')
        for member in (other, leader, asked)
    ]
    assert {reply.status for reply in replies} == {200}
    assert {reply.json()['revision'] for reply in replies} == {base + 1}
    assert revision(system) == base + 1


def test_change_id_with_other_content(system: cluster.Cluster) -> None:
    base = revision(system)
    first = apply(system, system.members[0], 'reused', base, 'one')
    second = apply(system, system.members[1], 'reused', base, 'two')
    assert first.status == 200
    assert second.status == 409
    assert second.json()['error']['code'] == 'change_id_reused'


def test_follower_holds_what_it_acknowledged(system: cluster.Cluster) -> None:
    leader = system.leader()
    follower = next(one for one in system.members if one != leader)
    for number in range(RACES):
        change = changes.Change(f'held-{number}')
        assert changes.send(system, follower, change)
        assert change.name in changes.key_names_at(system, follower)
