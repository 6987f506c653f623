"""Keep a single holder of authority while holders fail.

The ledger of the platform shows who sent each order and usage report.
"""

import pathlib
import random
from collections import abc

import pytest

from bench import authority_system


@pytest.fixture(scope='module')
def system(
    tmp_path_factory: pytest.TempPathFactory,
) -> abc.Iterator[authority_system.AuthoritySystem]:
    """Start a system whose holder always has orders and windows to send."""
    folder: pathlib.Path = tmp_path_factory.mktemp('authority')
    running = authority_system.AuthoritySystem(folder, seed=7)
    try:
        running.start()
        yield running
    finally:
        running.stop()


@pytest.mark.parametrize(('seed', 'count'), [(1, 5), (2, 2)])
def test_messages_come_from_one_holder_at_a_time(
    system: authority_system.AuthoritySystem, seed: int, count: int
) -> None:
    rng = random.Random(seed)
    for fault in rng.sample(authority_system.FAULTS, count):
        system.fail_holder(fault, rng)
        authority_system.check_ledger(system.ledger())
    system.wait_until_billed()
    authority_system.check_ledger(system.ledger())
