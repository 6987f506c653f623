"""Measure how long a change takes until it is in force everywhere."""

import pathlib
import statistics
import tempfile
import time

import cyclopts

from bench import cluster, examples
from cranberryrill.membership import timing

APP = cyclopts.App(name='in-force', help='Measure changes in force.')
QUANTILE_PARTS = 20
MILLISECONDS_PER_SECOND = 1000
ENTRY_COUNT = 4


def _start(folder: pathlib.Path) -> cluster.Cluster:
    system = cluster.Cluster(folder)
    system.start_control()
    system.apply(examples.nivelar())
    system.add_standin('engine', 'engine', model=examples.MODEL)
    system.add_agent('agent', 'engine', target=examples.MODEL)
    for number in range(ENTRY_COUNT):
        system.add_entry(f'entry-{number}')
    for number in range(ENTRY_COUNT):
        system.wait_ready(f'entry-{number}', agents=1)
    return system


def _time_changes(
    system: cluster.Cluster,
    members: list[str],
    revision: int,
    changes: int,
) -> list[float]:
    taken = []
    for change in range(changes):
        started = time.monotonic()
        reply = system.apply(
            examples.nivelar(),
            members[change % len(members)],
            base_revision=revision,
        )
        taken.append(time.monotonic() - started)
        revision = int(reply.json()['revision'])
    return taken


def _print_row(what: str, taken: list[float]) -> None:
    cuts = statistics.quantiles(
        taken,
        n=QUANTILE_PARTS,
        method='inclusive',
    )
    shown = [
        f'{seconds * MILLISECONDS_PER_SECOND:.0f}'
        for seconds in (statistics.median(taken), cuts[-1], max(taken))
    ]
    print(f'| {what} | {len(taken)} | {" | ".join(shown)} |')


@APP.default
def run(*, changes: int = 60) -> None:
    """Change a configuration again and again, and print a table.

    Parameters
    ----------
    changes:
        How many with every member up, and as many with one down.
    """
    with tempfile.TemporaryDirectory() as scratch:
        system = _start(pathlib.Path(scratch))
        try:
            _measure(system, changes)
        finally:
            system.stop()


def _measure(system: cluster.Cluster, changes: int) -> None:
    print('| members | changes | median ms | 95 in 100 ms | most ms |')
    print('|---|---|---|---|---|')
    # Until then nobody may confirm what came before the start.
    time.sleep(timing.MAX_LEASE_SECONDS)
    _print_row('three up', _time_changes(system, system.members, 1, changes))
    lost = system.leader()
    system.processes[lost].kill()
    others = [one for one in system.members if one != lost]
    system.leader(among=others)
    fewer = max(changes // 10, 2)
    _print_row('one killed', _time_changes(system, others, 1 + changes, fewer))


if __name__ == '__main__':
    APP()
