"""Fail the holder of authority at seeded moments, for many seeds."""

import collections
import json
import pathlib
import random
import sys
import tempfile
import time

import cyclopts

from bench import authority_system

APP = cyclopts.App(name='soak_authority', help='Fail holders, many times.')


@APP.default
def run(
    *,
    seed: int = 1,
    rounds: int = 10,
    faults_each: int = 4,
    only: str = '',
) -> None:
    """Run this many systems, from this seed on, and judge their ledgers."""
    kinds = (only,) if only else authority_system.FAULTS
    table = []
    for number in range(seed, seed + rounds):
        with tempfile.TemporaryDirectory() as scratch:
            brought = random.Random(number).choices(kinds, k=faults_each)
            table.append(_round(pathlib.Path(scratch), number, brought))
        print(json.dumps(table[-1]), flush=True)
    broken = [row for row in table if row['verdict'] != 'held']
    print(f'{len(table)} rounds, {len(broken)} broken')
    sys.exit(1 if broken else 0)


def _round(
    folder: pathlib.Path,
    seed: int,
    brought: list[str],
) -> dict[str, object]:
    rng = random.Random(seed)
    running = authority_system.AuthoritySystem(folder, seed)
    began = time.monotonic()
    verdict = 'held'
    ledger: list[authority_system.LedgerLine] = []
    try:
        running.start()
        for fault in brought:
            running.fail_holder(fault, rng)
        running.wait_until_billed()
        ledger = running.ledger()
        authority_system.check_ledger(ledger)
    except authority_system.LedgerViolation as broken:
        verdict = str(broken)
    finally:
        running.stop()
    paths = collections.Counter(line['path'] for line in ledger)
    return {
        'seed': seed,
        'faults': brought,
        'holders': len({line['fencing'] for line in ledger}),
        'orders': paths[authority_system.ORDERS_PATH],
        'reports': paths[authority_system.REPORTS_PATH],
        'tokens_billed': authority_system.billed_totals(ledger)[1],
        'seconds': round(time.monotonic() - began, 1),
        'verdict': verdict,
    }


if __name__ == '__main__':
    APP()
