"""Fixture shared by the system tests: a running cluster."""

import pathlib
from collections import abc

import pytest

from bench import cluster, examples


@pytest.fixture(scope='module')
def system(
    tmp_path_factory: pytest.TempPathFactory,
) -> abc.Iterator[cluster.Cluster]:
    """Start three control members, two entries, an engine and a desk."""
    folder: pathlib.Path = tmp_path_factory.mktemp('system')
    running = cluster.Cluster(folder)
    try:
        running.start_control()
        assert running.apply(examples.nivelar()).status == 200
        running.add_standin('engine', 'engine', model=examples.MODEL)
        running.add_agent('agent', 'engine', target=examples.MODEL)
        running.add_standin('desk', 'desk')
        running.add_agent(
            'agent-desk', 'desk', target=examples.DESK, is_model=False
        )
        for entry in ('entry-0', 'entry-1'):
            running.add_entry(entry)
        for entry in ('entry-0', 'entry-1'):
            running.wait_ready(entry, agents=2)
        yield running
    finally:
        running.stop()
