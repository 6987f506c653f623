"""Measure how long a change takes to be in force at every process."""

import pathlib
import statistics
import tempfile
import time

import cyclopts

from bench import cluster, examples
from cranberryrill.membership import timing

APP = cyclopts.App(
    name='in-force', help='Measure how soon a change is in force.'
)
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
    durations = []
    for change in range(changes):
        started = time.monotonic()
        reply = system.apply(
            examples.nivelar(),
            members[change % len(members)],
            base_revision=revision,
        )
        durations.append(time.monotonic() - started)
        revision = int(reply.json()['revision'])
    return durations


def _print_row(title: str, durations: list[float]) -> None:
    cuts = statistics.quantiles(
        durations,
        n=QUANTILE_PARTS,
        method='inclusive',
    )
    cells = [
        f'{seconds * MILLISECONDS_PER_SECOND:.0f}'
        for seconds in (statistics.median(durations), cuts[-1], max(durations))
    ]
    print(f'| {title} | {len(durations)} | {" | ".join(cells)} |')


@APP.default
def run(*, changes: int = 60) -> None:
    """Apply configurations one after another and print a table.

    Parameters
    ----------
    changes:
        Number of changes with all members running; a tenth as many, but at
        least two, follow with one member killed.
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
    # A change is not confirmed until every lease from before the start has
    # expired.
    time.sleep(timing.MAX_LEASE_SECONDS)
    _print_row('three up', _time_changes(system, system.members, 1, changes))
    killed = system.leader()
    system.processes[killed].kill()
    others = [member for member in system.members if member != killed]
    system.leader(among=others)
    fewer = max(changes // 10, 2)
    _print_row('one killed', _time_changes(system, others, 1 + changes, fewer))


if __name__ == '__main__':
    APP()
