"""Measure how resource use grows with load, for docs/CAPACITY.md."""

import contextlib
import functools
import pathlib
import sys
import tempfile
import time
from collections import abc

import cyclopts
import yaml

from bench import cluster, costs, examples, faults, processes, web
from cranberryrill.configuration import document, printer

APP = cyclopts.App(name='capacity', help='Measure how resource use grows.')
SETTLE_SECONDS = 3.0
MEASURE_SECONDS = 8.0
WATCH_COUNTS = (50, 100, 200, 400)
ORGANISATION_COUNTS = (850, 1700, 3400, 6800)


def _print_row(*cells: object) -> None:
    print(f'| {" | ".join(str(cell) for cell in cells)} |', flush=True)


def _print_header(*titles: str) -> None:
    _print_row(*titles)
    _print_row(*('---' for _ in titles))


def _start_watchers(
    system: cluster.Cluster,
    name: str,
    count: int,
) -> processes.Process:
    settings = system.entry_settings(name)
    settings['process']['tls'] = system.tls['agent']
    path = system.folder / f'{name}.yaml'
    path.write_text(yaml.safe_dump(settings))
    command = [sys.executable, '-m', 'bench.watchers', str(path), str(count)]
    return system.start_process(name, command)


def _has_processes(system: cluster.Cluster, count: int) -> bool:
    status = system.status(system.members[0]) or {}
    return len(status.get('processes', ())) >= count


def _measure_members(system: cluster.Cluster) -> tuple[float, float]:
    """Return the members' total core share and the largest one's MiB."""
    members = [system.processes[name] for name in system.members]
    before = [costs.read(member) for member in members]
    time.sleep(MEASURE_SECONDS)
    after = [costs.read(member) for member in members]
    shares = [
        costs.core_share(first, second)
        for first, second in zip(before, after, strict=True)
    ]
    return sum(shares), max(reading.resident_mebibytes for reading in after)


@APP.command
def watchers() -> None:
    """Measure the members' CPU and memory, and the bytes of each watch."""
    _print_header(
        'watches', 'core share of 3 members', 'MiB a member', 'B/s a watch'
    )
    with _system() as (system, network):
        total = 0
        for step, count in enumerate(WATCH_COUNTS):
            _start_watchers(system, f'watchers-{step}', count - total)
            total = count
            _measure_watches(system, network, total)


def _measure_watches(
    system: cluster.Cluster,
    network: faults.Network,
    total: int,
) -> None:
    all_known = functools.partial(_has_processes, system, total)
    web.wait_until(all_known, f'{total} watches')
    time.sleep(SETTLE_SECONDS)
    before = _carried_bytes(network)
    share, memory = _measure_members(system)
    sent = (_carried_bytes(network) - before) / MEASURE_SECONDS / total
    _print_row(total, f'{share:.3f}', f'{memory:.0f}', f'{sent:.0f}')


def _carried_bytes(network: faults.Network) -> int:
    return sum(
        network.carried_bytes(f'watchers-{step}')
        for step in range(len(WATCH_COUNTS))
    )


@APP.command
def organisations() -> None:
    """Measure the time to apply many organisations, and the memory."""
    _print_header(
        'organisations', 'YAML MiB', 'apply s', 'control MiB', 'entry MiB'
    )
    with _system() as (system, _):
        system.add_entry('entry')
        system.wait_ready('entry', agents=0)
        for revision, count in enumerate(ORGANISATION_COUNTS):
            _measure_apply(system, count, revision)


def _measure_apply(system: cluster.Cluster, count: int, revision: int) -> None:
    content = _with_organisations(count)
    size = len(printer.print_document(content)) / costs.MEBIBYTE
    started = time.monotonic()
    system.apply(content, base_revision=revision)
    elapsed = time.monotonic() - started
    time.sleep(SETTLE_SECONDS)
    control = costs.read(system.processes[system.members[0]])
    entry = costs.read(system.processes['entry'])
    _print_row(
        count,
        f'{size:.2f}',
        f'{elapsed:.2f}',
        f'{control.resident_mebibytes:.0f}',
        f'{entry.resident_mebibytes:.0f}',
    )


def _with_organisations(count: int) -> document.Document:
    base = examples.nivelar()
    extra = tuple(
        document.Organisation(name=f'organisation-{number}')
        for number in range(count)
    )
    return document.Document(
        organisations=base.organisations + extra,
        classes=base.classes,
        models=base.models,
        routes=base.routes,
        class_rules=base.class_rules,
        upstream_rules=base.upstream_rules,
    )


@contextlib.contextmanager
def _system() -> abc.Iterator[tuple[cluster.Cluster, faults.Network]]:
    """Run three control members, connected by links that count bytes."""
    network = faults.Network()
    with tempfile.TemporaryDirectory() as scratch:
        system = cluster.Cluster(pathlib.Path(scratch), network=network)
        try:
            system.start_control()
            yield system, network
        finally:
            system.stop()
            network.close()


if __name__ == '__main__':
    APP()
