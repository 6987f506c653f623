# flake8: noqa
"""A small deployment on loopback: the project's programs as the deploy file runs them.

Each machine has a loopback address of its own, and the same ports.
"""

import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
PORT_SPAN = 30
# As the pages give them for the deployment nivelar-lab.
BOUNDS = {
    'revocation_ms': 5000,
    'drain_ms': 2000,
    'grace_seconds': 8,
    'retry_ratio': 0.2,
    'retry_slack': 62,
    'retry_window_seconds': 10,
    'lease_ms': 3000,
    'usage_window_seconds': 5,
}
HEARTBEAT_MS = 1200


class SmallFleet:
    """Machines with a disk, each with the roles control and entry."""

    def __init__(self, machines=4, outside=''):
        # So that `finally` ends the processes, however the script is ended.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        rng = random.SystemRandom()
        self.network = f'127.{rng.randrange(20, 240)}.{rng.randrange(1, 250)}'
        self.hosts = [f'{self.network}.{n + 1}' for n in range(machines)]
        self.base_port = self._free_ports(rng)
        self.outside = outside
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.processes = {}
        deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        self.commands = {
            role: entry['run'].split()
            for role, entry in deploy['roles'].items()
        }

    def _free_ports(self, rng):
        while True:
            base = rng.randrange(20_000, 30_000)
            try:
                for host in self.hosts:
                    for port in range(base, base + PORT_SPAN):
                        with socket.socket() as probe:
                            probe.bind((host, port))
            except OSError:
                continue
            return base

    def control(self, machine):
        return self.hosts[machine], self.base_port + 20

    def front(self, machine):
        return self.hosts[machine], self.base_port + 21

    def ready(self, machine):
        return self.hosts[machine], self.base_port + 22

    def start(self, machine, role, founds=False):
        host = self.hosts[machine]
        seeds = [f'{seed}:{self.base_port + 20}' for seed in self.hosts[:3]]
        data = self.folder / f'data-{machine}'
        data.mkdir(exist_ok=True)
        # The fields of platform/settings.yaml; JSON is YAML, too.
        settings = {
            'name': f'front-{machine}',
            'host': host,
            'data_centre': 'zone-a',
            'internal_ports': [self.base_port, self.base_port + 15],
            'seeds': seeds,
            'trust': 'network',
            'founds': founds,
            'metrics_port': self.base_port + 25,
            'tolerated_losses': 1,
            'heartbeat_ms': HEARTBEAT_MS,
            'bounds': BOUNDS,
        }
        if role == 'control':
            settings['data_folder'] = str(data)
            settings['control'] = '%s:%d' % self.control(machine)
        else:
            settings['callers'] = '%s:%d' % self.front(machine)
            settings['readiness'] = '%s:%d' % self.ready(machine)
        if self.outside:
            settings['outside'] = {
                'address': self.outside,
                'duties': ['usage_reporting'],
            }
        path = self.folder / f'{role}-{machine}.yaml'
        path.write_text(json.dumps(settings))
        with (self.folder / f'{role}-{machine}.log').open('ab') as log:
            self.processes[machine, role] = subprocess.Popen(
                self.commands[role],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={
                    'PATH': os.environ['PATH'],
                    'HOME': os.environ.get('HOME', '/'),
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    'PYTHONDONTWRITEBYTECODE': '1',
                    'CRANBERRYRILL_BOOT': str(path),
                },
            )

    def start_all(self):
        for machine in range(len(self.hosts)):
            for role in ('control', 'entry'):
                self.start(machine, role, founds=True)

    def send(self, machine, role, number):
        self.processes[machine, role].send_signal(number)

    def kill(self, machine, role):
        self.send(machine, role, signal.SIGKILL)
        self.processes[machine, role].wait()

    def log(self, machine, role):
        return (self.folder / f'{role}-{machine}.log').read_text(
            errors='replace'
        )

    def stop(self):
        """Kill each process that this object started and still runs."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()
        if not os.environ.get('KEEP_LOGS'):
            shutil.rmtree(self.folder, ignore_errors=True)
