"""Fail the holder of authority at seeded times, for many seeds."""

import collections
import json
import pathlib
import random
import sys
import tempfile
import time

import cyclopts

from bench import authority_system

APP = cyclopts.App(
    name='soak_authority',
    help='Fail holders of authority repeatedly and check the ledgers.',
)


@APP.default
def run(
    *,
    seed: int = 1,
    rounds: int = 10,
    faults_each: int = 4,
    only: str = '',
) -> None:
    """Run `rounds` systems, one per seed from `seed` on; check their ledgers.

    Each round injects `faults_each` faults, of the kind `only` if one is named.
    Exit with 1 if a ledger violates a guarantee.
    """
    kinds = (only,) if only else authority_system.FAULTS
    rows = []
    for number in range(seed, seed + rounds):
        with tempfile.TemporaryDirectory() as scratch:
            sampled_faults = random.Random(number).choices(kinds, k=faults_each)
            rows.append(_round(pathlib.Path(scratch), number, sampled_faults))
        print(json.dumps(rows[-1]), flush=True)
    broken = [row for row in rows if row['verdict'] != 'held']
    print(f'{len(rows)} rounds, {len(broken)} broken')
    sys.exit(1 if broken else 0)


def _round(
    folder: pathlib.Path,
    seed: int,
    sampled_faults: list[str],
) -> dict[str, object]:
    rng = random.Random(seed)
    system = authority_system.AuthoritySystem(folder, seed)
    started_at = time.monotonic()
    verdict = 'held'
    ledger: list[authority_system.LedgerLine] = []
    try:
        system.start()
        for fault in sampled_faults:
            system.fail_holder(fault, rng)
        system.wait_until_billed()
        ledger = system.ledger()
        authority_system.check_ledger(ledger)
    except authority_system.LedgerViolation as violation:
        verdict = str(violation)
    finally:
        system.stop()
    paths = collections.Counter(line['path'] for line in ledger)
    return {
        'seed': seed,
        'faults': sampled_faults,
        'holders': len({line['fencing'] for line in ledger}),
        'orders': paths[authority_system.ORDERS_PATH],
        'reports': paths[authority_system.REPORTS_PATH],
        'tokens_billed': authority_system.billed_totals(ledger)[1],
        'seconds': round(time.monotonic() - started_at, 1),
        'verdict': verdict,
    }


if __name__ == '__main__':
    APP()
