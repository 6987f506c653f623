"""Measure the latency and resource use that entry and agent add.

One run sends the same load directly to the stand-in engines and then through
the system, and prints tables.
"""

import asyncio
import dataclasses
import pathlib
import tempfile
import time

import cyclopts

from bench import cluster, costs, examples, faults, stream_load

APP = cyclopts.App(
    name='path', help='Measure the latency that entry and agent add.'
)
ENGINES = 3
BATCH_LIMIT = 64
STEP_SECONDS = 0.02
PERCENTILES = (50.0, 95.0, 99.0)
IDLE_SECONDS = 5.0
MEASURED_PROCESSES = ('entry-0', 'agent-0', 'control-0')


@dataclasses.dataclass(frozen=True)
class Load:
    """Load of one measurement; `tokens` is the length of an answer."""

    requests_per_second: float = 20
    seconds: float = 15
    tokens: int = 50
    seed: int = 1


def start_system(
    folder: pathlib.Path,
    network: faults.Network | None = None,
) -> cluster.Cluster:
    """Start three members, one entry, and the engines with their agents."""
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
    return {
        process: costs.read(system.processes[process])
        for process in MEASURED_PROCESSES
    }


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
    for process in MEASURED_PROCESSES:
        spent = costs.spent_seconds(before[process], after[process])
        share = costs.core_share(before[process], after[process])
        by_request = spent * 1000 / max(timings.answered, 1)
        by_token = spent * 1_000_000 / max(timings.tokens, 1)
        memory = after[process].resident_mebibytes
        print(
            f'| {process} | {share:.3f} | {by_request:.2f} | {by_token:.1f} '
            f'| {memory:.0f} |',
        )


def _measure_idle(system: cluster.Cluster, network: faults.Network) -> None:
    before = _read_costs(system)
    carried = {
        process: network.carried_bytes(process)
        for process in MEASURED_PROCESSES
    }
    time.sleep(IDLE_SECONDS)
    after = _read_costs(system)
    print()
    print('| role at rest | core share | bytes/s to control | MiB |')
    print('|---|---|---|---|')
    for process in MEASURED_PROCESSES:
        share = costs.core_share(before[process], after[process])
        sent = network.carried_bytes(process) - carried[process]
        memory = after[process].resident_mebibytes
        print(
            f'| {process} | {share:.4f} | {sent / IDLE_SECONDS:.0f} '
            f'| {memory:.0f} |',
        )


@APP.default
def run(*, load: Load | None = None) -> None:
    """Compare requests through the system with requests to the engines."""
    with tempfile.TemporaryDirectory() as scratch:
        system = start_system(pathlib.Path(scratch) / 'loaded')
        try:
            _measure_load(
                system, system.issue_key('installers'), load or Load()
            )
        finally:
            system.stop()
        network = faults.Network()
        idle = start_system(pathlib.Path(scratch) / 'resting', network)
        try:
            _measure_idle(idle, network)
        finally:
            idle.stop()
            network.close()


if __name__ == '__main__':
    APP()
