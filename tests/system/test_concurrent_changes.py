"""Accept exactly one of two changes based on the same revision.

Two operators may apply changes at the same time through different members.
A change whose answer was lost is sent again and must not apply twice.
"""

import dataclasses
import itertools
from collections import abc
from concurrent import futures

import pytest

from bench import changes, cluster, examples, faults, web

RACE_COUNT = 20


@pytest.fixture(scope='module')
def system(
    tmp_path_factory: pytest.TempPathFactory,
) -> abc.Iterator[cluster.Cluster]:
    """Start three control members with injectable link faults."""
    network = faults.Network()
    running = cluster.Cluster(tmp_path_factory.mktemp('race'), network=network)
    try:
        running.start_control()
        assert running.apply(examples.nivelar()).status == 200
        yield running
    finally:
        running.stop()
        network.close()


def add_organisation(
    system: cluster.Cluster,
    member: str,
    change_id: str,
    base_revision: int,
    name: str,
) -> web.Reply:
    """Apply the configuration with one more organisation, at one member."""
    configuration = examples.nivelar()
    added = dataclasses.replace(configuration.organisations[0], name=name)
    configuration = dataclasses.replace(
        configuration,
        organisations=(*configuration.organisations, added),
    )
    return system.apply(
        configuration,
        member,
        change_id=change_id,
        base_revision=base_revision,
        wait=False,
    )


def current_revision(system: cluster.Cluster) -> int:
    status = system.status(system.leader())
    assert status
    return int(status['revision'])


def apply_two(
    system: cluster.Cluster,
    members: tuple[str, ...],
    number: int,
) -> list[int]:
    """Apply two changes at once; return the sorted HTTP statuses."""
    base = current_revision(system)
    with futures.ThreadPoolExecutor(2) as pool:
        pending = [
            pool.submit(
                add_organisation,
                system,
                member,
                f'race-{number}-{member}',
                base,
                f'{member}-{number}',
            )
            for member in members
        ]
        statuses = sorted(future.result().status for future in pending)
    assert current_revision(system) == base + 1
    return statuses


def test_one_of_two_concurrent_changes_is_accepted(
    system: cluster.Cluster,
) -> None:
    pairs = itertools.cycle(itertools.permutations(system.members, 2))
    for number in range(RACE_COUNT):
        assert apply_two(system, next(pairs), number) == [200, 409]


def test_resend_after_a_lost_answer(system: cluster.Cluster) -> None:
    base = current_revision(system)
    leader = system.leader()
    follower, other = [member for member in system.members if member != leader]
    assert system.network is not None
    # The change reaches the leader, but the outcome returns too late: the
    # delay of the link exceeds the deadline of the follower.
    system.network.apply(
        faults.Fault.none,
        source=follower,
        target=leader,
        delay_seconds=5,
    )
    first = add_organisation(system, follower, 'lost', base, 'resent')
    system.network.apply(faults.Fault.none)
    assert first.status == 503
    assert first.json()['error']['ran'] == 'unknown'
    replies = [
        add_organisation(system, member, 'lost', base, 'resent')
        for member in (other, leader, follower)
    ]
    assert {reply.status for reply in replies} == {200}
    assert {reply.json()['revision'] for reply in replies} == {base + 1}
    assert current_revision(system) == base + 1


def test_change_id_with_other_content_is_refused(
    system: cluster.Cluster,
) -> None:
    base = current_revision(system)
    first = add_organisation(system, system.members[0], 'reused', base, 'one')
    second = add_organisation(system, system.members[1], 'reused', base, 'two')
    assert first.status == 200
    assert second.status == 409
    assert second.json()['error']['code'] == 'change_id_reused'


def test_follower_lists_a_change_that_it_acknowledged(
    system: cluster.Cluster,
) -> None:
    leader = system.leader()
    follower = next(member for member in system.members if member != leader)
    for number in range(RACE_COUNT):
        change = changes.Change(f'held-{number}')
        assert changes.send(system, follower, change)
        assert change.name in changes.key_names_at(system, follower)
