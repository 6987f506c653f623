"""Bring a configuration of the expected future size in force in time."""

import dataclasses
import pathlib
import time
from collections import abc

import pytest

from bench import cluster, examples
from cranberryrill.configuration import document

ORGANISATIONS = 6800
IN_FORCE_SECONDS = 7.0


@pytest.fixture
def system(tmp_path: pathlib.Path) -> abc.Iterator[cluster.Cluster]:
    running = cluster.Cluster(tmp_path)
    try:
        running.start_control()
        running.add_entry('entry')
        running.wait_ready('entry', agents=0)
        yield running
    finally:
        running.stop()


def test_large_configuration_is_in_force_in_time(
    system: cluster.Cluster,
) -> None:
    organisations = tuple(
        document.Organisation(name=f'organisation-{number}')
        for number in range(ORGANISATIONS)
    )
    base = examples.nivelar()
    large = dataclasses.replace(
        base,
        organisations=base.organisations + organisations,
    )
    started = time.monotonic()
    reply = system.apply(large)
    elapsed = time.monotonic() - started
    assert reply.status == 200
    assert reply.json()['in_force']
    assert elapsed < IN_FORCE_SECONDS
