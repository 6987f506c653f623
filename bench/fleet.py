"""Start a fleet as the users' platform would: from seeds, on loopback.

Each VM has a loopback address of its own, so that all use the same ports.
"""

import dataclasses
import json
import os
import pathlib
import random
import shutil
import socket
import sys
from collections import abc

from bench import processes

ROOT = pathlib.Path(__file__).parent.parent
PORT_RANGE = (21_000, 29_000)
PORTS_IN_RANGE = 16
CALLER_OFFSET = 8
READINESS_OFFSET = 9
CONTROL_OFFSET = 10
USAGE_WINDOW_SECONDS = 2
SEED_COUNT = 3
# A VM's address behind its link differs from the other by this number.
LINK_OFFSET = 60
ENTRY_OFFSET = 101
INJECTED_FOLDER = ROOT / 'bench' / 'injected'


@dataclasses.dataclass(frozen=True)
class Vm:
    """Name one process and where it listens."""

    name: str
    host: str
    role: str
    has_disk: bool = True
    # Where the ports between processes listen if a link stands before them.
    bind_host: str = ''

    def internal_port(self, port: int) -> int:
        """Return the port between processes that this role listens at."""
        return port if self.role == 'control' else port + 1

    def settings(
        self,
        folder: pathlib.Path,
        port: int,
        seeds: list[str],
        *,
        founds: bool,
        outside: str,
    ) -> dict[str, object]:
        """Return the settings of the process."""
        known: dict[str, object] = {
            'name': self.name,
            'host': self.host,
            'data_centre': 'z1',
            'internal_ports': [port, port + PORTS_IN_RANGE],
            'seeds': seeds,
            'trust': 'network',
            'founds': founds,
            'heartbeat_ms': 400,
            'bounds': {
                'usage_window_seconds': USAGE_WINDOW_SECONDS,
                'retry_slack': 60,
                'grace_seconds': 8,
            },
        }
        if outside:
            known['outside'] = {
                'address': outside,
                'duties': ['usage_reporting'],
            }
        if self.bind_host:
            known['bind_host'] = self.bind_host
        if self.role == 'control':
            if self.has_disk:
                known['data_folder'] = str(folder / f'data-{self.name}')
            known['control'] = f'{self.host}:{port + CONTROL_OFFSET}'
        else:
            known['callers'] = f'{self.host}:{port + CALLER_OFFSET}'
            known['readiness'] = f'{self.host}:{port + READINESS_OFFSET}'
        return known


class Fleet:
    """Run control members and entries as processes."""

    def __init__(
        self,
        folder: pathlib.Path,
        rng: random.Random,
        members: int = 3,
        entries: int = 2,
        outside: str = '',
        diskless: abc.Collection[int] = (),
        linked: bool = False,
    ) -> None:
        self.folder = folder
        self.outside = outside
        network = f'127.{rng.randrange(10, 250)}.{rng.randrange(250)}'
        self.base_port = _free_port(f'{network}.1', rng)
        self.members = [
            Vm(
                f'control-{number}',
                f'{network}.{number + 1}',
                'control',
                number not in diskless,
                f'{network}.{number + LINK_OFFSET}' if linked else '',
            )
            for number in range(members)
        ]
        self.entries = [
            Vm(
                f'entry-{number}',
                f'{network}.{number + ENTRY_OFFSET}',
                'entry',
                bind_host=f'{network}.{number + ENTRY_OFFSET + LINK_OFFSET}'
                if linked
                else '',
            )
            for number in range(entries)
        ]
        self.seeds = self.members[:SEED_COUNT]
        self.processes_by_name: dict[str, processes.Process] = {}

    @property
    def control_addresses(self) -> list[str]:
        """Return where operators and upstreams reach the members."""
        return [
            f'{vm.host}:{self.base_port + CONTROL_OFFSET}'
            for vm in self.members
        ]

    def caller_address(self, index: int) -> str:
        """Return where an entry serves callers."""
        return f'{self.entries[index].host}:{self.base_port + CALLER_OFFSET}'

    def readiness_address(self, index: int) -> str:
        """Return where an entry says whether it is ready."""
        return f'{self.entries[index].host}:{self.base_port + READINESS_OFFSET}'

    def start_all(self) -> None:
        """Start every process for the first time."""
        for vm in (*self.members, *self.entries):
            self.start(vm, founds=True)

    def start(self, vm: Vm, *, founds: bool = False) -> None:
        """Start one process."""
        seeds = [
            f'{seed.host}:{self.base_port + CONTROL_OFFSET}'
            for seed in self.seeds
        ]
        settings = vm.settings(
            self.folder,
            self.base_port,
            seeds,
            founds=founds,
            outside=self.outside,
        )
        path = self.folder / f'{vm.name}.yaml'
        # JSON is YAML, too.
        path.write_text(json.dumps(settings))
        process = processes.Process(
            vm.name,
            [sys.executable, str(ROOT / 'platform' / 'run.py'), vm.role],
            self.folder / f'{vm.name}.log',
            {
                **os.environ,
                'CRANBERRYRILL_BOOT': str(path),
                'PYTHONPATH': str(INJECTED_FOLDER),
                'SOAK_FAULTS': str(self.fault_folder(vm)),
            },
        )
        process.start()
        self.processes_by_name[vm.name] = process

    def fault_folder(self, vm: Vm) -> pathlib.Path:
        """Return the folder whose files harm a VM's clock and disk."""
        folder = self.folder / f'faults-{vm.name}'
        folder.mkdir(exist_ok=True)
        return folder

    def read_log(self, vm: Vm) -> str:
        """Return what a VM's processes have logged."""
        path = self.folder / f'{vm.name}.log'
        return path.read_text(errors='replace') if path.exists() else ''

    def delete_data(self, vm: Vm) -> None:
        """Let a stopped member lose its disk."""
        shutil.rmtree(self.folder / f'data-{vm.name}', ignore_errors=True)

    def stop(self) -> None:
        """End every process."""
        for process in self.processes_by_name.values():
            if process.is_running():
                process.kill()


def _free_port(host: str, rng: random.Random) -> int:
    while True:
        port = rng.randrange(*PORT_RANGE)
        with socket.socket() as tried:
            try:
                tried.bind((host, port))
            except OSError:
                continue
        return port
