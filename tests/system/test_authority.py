"""Keep one holder in charge while holders fail, judged by the ledgers."""

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
def test_one_holder(
    system: authority_system.AuthoritySystem, seed: int, count: int
) -> None:
    rng = random.Random(seed)
    for fault in rng.sample(authority_system.FAULTS, count):
        system.fail_holder(fault, rng)
        authority_system.check_ledger(system.ledger())
    system.wait_until_billed()
    authority_system.check_ledger(system.ledger())
