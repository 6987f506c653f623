"""Apply a change while the leader is cut off from the other members."""

import pathlib
from collections import abc

import pytest

from bench import cluster, examples, faults, web


@pytest.fixture
def system(tmp_path: pathlib.Path) -> abc.Iterator[cluster.Cluster]:
    """Start a system with injectable link faults."""
    network = faults.Network()
    running = cluster.Cluster(tmp_path, network=network)
    try:
        running.start_control()
        running.apply(examples.nivelar())
        running.add_standin('engine', 'engine', model=examples.MODEL)
        running.add_agent('agent', 'engine', target=examples.MODEL)
        running.add_entry('entry')
        running.wait_ready('entry', agents=1)
        yield running
    finally:
        running.stop()
        network.close()


def test_change_while_the_leader_is_isolated(system: cluster.Cluster) -> None:
    leader = system.leader()
    others = [member for member in system.members if member != leader]
    assert system.network is not None
    system.network.isolate(leader, faults.Fault.blackhole)
    system.leader(among=others)
    reply = system.apply(examples.nivelar(), others[0], base_revision=1)
    assert reply.status == 200
    url = f'{system.entry_url("entry")}/readyz'
    ready = web.wait_until(
        lambda: web.request(url).json()['revision'] == 2,
        'revision 2',
        7,
    )
    assert ready
