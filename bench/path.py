"""Measure what the path through entry and agent adds to an answer.

The same load goes straight to the stand-in engines and through the system, in
one run; figures are printed as a table.
"""

import asyncio
import dataclasses
import pathlib
import tempfile
import time

import cyclopts

from bench import cluster, costs, faults, examples, stream_load

APP = cyclopts.App(name='path', help='Measure the path of an answer.')
ENGINES = 3
BATCH_LIMIT = 64
STEP_SECONDS = 0.02
PERCENTILES = (50.0, 95.0, 99.0)
IDLE_SECONDS = 5.0
ROLES = ('entry-0', 'agent-0', 'control-0')


@dataclasses.dataclass(frozen=True)
class Load:
    """Set the load of one measurement."""

    requests_per_second: float = 20
    seconds: float = 15
    tokens: int = 50
    seed: int = 1


def start_system(
    folder: pathlib.Path,
    network: faults.Network | None = None,
) -> cluster.Cluster:
    """Start three members, one entry, and engines with their agents."""
    system = cluster.Cluster(folder, network=network)
    system.start_control()
    system.apply(examples.nivelar())
    for number in range(ENGINES):
        engine = f'engine-{number}'
        system.add_standin(
            engine,
            'engine',
            model=examples.MODEL,
            batch_limit=BATCH_LIMIT,
            step_seconds=STEP_SECONDS,
        )
        system.add_agent(
            f'agent-{number}',
            engine,
            target=examples.MODEL,
            slots=BATCH_LIMIT,
        )
    system.add_entry('entry-0')
    system.wait_ready('entry-0', agents=ENGINES)
    return system


def _plan(load: Load, urls: tuple[str, ...], key: str) -> stream_load.Plan:
    return stream_load.Plan(
        urls=urls,
        key=key,
        model=examples.MODEL,
        requests_per_second=load.requests_per_second,
        duration_seconds=load.seconds,
        tokens=load.tokens,
        seed=load.seed,
    )


def _print_row(name: str, timings: stream_load.Timings) -> None:
    first = [
        f'{timings.first_token_ms(percent):.1f}' for percent in PERCENTILES
    ]
    between = [
        f'{timings.between_tokens_ms(percent):.1f}' for percent in PERCENTILES
    ]
    row = [name, *first, *between, str(timings.answered), str(timings.failed)]
    print(f'| {" | ".join(row)} |')


def _read_costs(system: cluster.Cluster) -> dict[str, costs.Reading]:
    return {role: costs.read(system.processes[role]) for role in ROLES}


def _measure_load(system: cluster.Cluster, key: str, load: Load) -> None:
    print(
        '| way | first p50 | p95 | p99 | between p50 | p95 | p99 ms |'
        ' answered | failed |'
    )
    print('|---|---|---|---|---|---|---|---|---|')
    engines = tuple(
        system.standins[f'engine-{number}'] for number in range(ENGINES)
    )
    _print_row(
        'straight', asyncio.run(stream_load.run(_plan(load, engines, key)))
    )
    before = _read_costs(system)
    entry = (system.entry_url('entry-0'),)
    routed = asyncio.run(stream_load.run(_plan(load, entry, key)))
    after = _read_costs(system)
    _print_row('routed', routed)
    _print_costs(before, after, routed)


def _print_costs(
    before: dict[str, costs.Reading],
    after: dict[str, costs.Reading],
    timings: stream_load.Timings,
) -> None:
    print()
    print('| role | core share | CPU ms a request | CPU us a token | MiB |')
    print('|---|---|---|---|---|')
    for role in ROLES:
        spent = costs.spent_seconds(before[role], after[role])
        share = costs.core_share(before[role], after[role])
        by_request = spent * 1000 / max(timings.answered, 1)
        by_token = spent * 1_000_000 / max(timings.tokens, 1)
        memory = after[role].resident_mebibytes
        print(
            f'| {role} | {share:.3f} | {by_request:.2f} | {by_token:.1f} '
            f'| {memory:.0f} |',
        )


def _measure_idle(system: cluster.Cluster, network: faults.Network) -> None:
    before = _read_costs(system)
    carried = {role: network.carried_bytes(role) for role in ROLES}
    time.sleep(IDLE_SECONDS)
    after = _read_costs(system)
    print()
    print('| role at rest | core share | bytes/s to control | MiB |')
    print('|---|---|---|---|')
    for role in ROLES:
        share = costs.core_share(before[role], after[role])
        sent = network.carried_bytes(role) - carried[role]
        memory = after[role].resident_mebibytes
        print(
            f'| {role} | {share:.4f} | {sent / IDLE_SECONDS:.0f} '
            f'| {memory:.0f} |',
        )


@APP.default
def run(*, load: Load | None = None) -> None:
    """Compare the way through the system with the straight one."""
    with tempfile.TemporaryDirectory() as scratch:
        system = start_system(pathlib.Path(scratch) / 'loaded')
        try:
            _measure_load(
                system, system.issue_key('installers'), load or Load()
            )
        finally:
            system.stop()
        network = faults.Network()
        resting = start_system(pathlib.Path(scratch) / 'resting', network)
        try:
            _measure_idle(resting, network)
        finally:
            resting.stop()
            network.close()


if __name__ == '__main__':
    APP()
