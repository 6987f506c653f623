"""Send orders under seeded faults: `python -m bench.soak_orders`."""

import pathlib
import sys
import tempfile

import cyclopts

from bench import order_system

SECONDS_PER_MINUTE = 60
APP = cyclopts.App(name='soak_orders', help='Run orders under seeded faults.')


@APP.default
def soak(*, seed: int = 1, minutes: float = 5) -> None:
    """Run orders under seeded faults and print the verdict.

    Exit with 1 if an order ran twice or an answer contradicts the ledgers.
    """
    with tempfile.TemporaryDirectory() as folder:
        with order_system.run_system(pathlib.Path(folder)) as system:
            verdict = system.run(seed, minutes * SECONDS_PER_MINUTE)
            print(f'faults         {len(system.faults)}')
    verdict.show()
    if verdict.doubled or verdict.false_no or verdict.false_yes:
        sys.exit(1)


if __name__ == '__main__':
    APP()
