"""Run orders at most once and report true outcomes under seeded faults."""

import pathlib

from bench import order_system

SEED = 11
SECONDS = 12


def test_orders_under_faults(tmp_path: pathlib.Path) -> None:
    with order_system.run_system(tmp_path) as system:
        verdict = system.run(SEED, SECONDS)
        assert len(system.faults) > 5
    verdict.show()
    assert not verdict.doubled
    assert not verdict.false_no
    assert not verdict.false_yes
    assert verdict.answered_yes > verdict.orders / 2
