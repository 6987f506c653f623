"""Keep serving while connections fail."""

import pathlib
from collections import abc

import pytest

from bench import cluster, faults, examples, web


@pytest.fixture
def faulty(tmp_path: pathlib.Path) -> abc.Iterator[cluster.Cluster]:
    """Start a system whose connections can fail."""
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


def test_leader_cut_off(faulty: cluster.Cluster) -> None:
    leader = faulty.leader()
    others = [one for one in faulty.members if one != leader]
    assert faulty.network is not None
    faulty.network.isolate(leader, faults.Fault.blackhole)
    faulty.leader(among=others)
    reply = faulty.apply(examples.nivelar(), others[0], base_revision=1)
    assert reply.status == 200
    url = f'{faulty.entry_url("entry")}/readyz'
    ready = web.wait_until(
        lambda: web.request(url).json()['revision'] == 2,
        'revision 2',
        7,
    )
    assert ready
