# flake8: noqa
"""Small deployment on loopback: the project's programs and stand-ins.

It uses the standard library only. The programs are started with the commands of
the deploy file; their settings are the template of the project, filled in.
"""

import asyncio
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'api.example'
BASE_PORT = 21_000
PORT_SPAN = 6_000


def with_trouble():
    """Return whether the disruption is wanted."""
    return os.environ.get('TROUBLE', '1') != '0'


class Record:
    """Lines of what was sent, answered and run, in `record.txt`."""

    def __init__(self, folder):
        self.started_at = time.monotonic()
        self.file = (pathlib.Path(folder) / 'record.txt').open('w')

    def line(self, text):
        """Write one line with the time since the start."""
        seconds = time.monotonic() - self.started_at
        self.file.write(f'{seconds:8.3f} s  {text}\n')
        self.file.flush()


class Machine:
    """One process of the system on a loopback address of its own."""

    def __init__(self, system, name, role, host):
        self.system = system
        self.name = name
        self.role = role
        self.host = host
        self.process = None

    def start(self, *, first=False):
        """Fill in the settings and start the command of the deploy file."""
        system = self.system
        system.write_settings(self, first=first)
        command = system.deploy['roles'][self.role]['run'].split()
        log = (system.folder / f'{self.name}.log').open('a')
        self.process = subprocess.Popen(
            [sys.executable, *command[1:]],
            cwd=ROOT,
            stdout=log,
            stderr=subprocess.STDOUT,
            env={
                'PATH': os.environ.get('PATH', '/usr/bin:/bin'),
                'HOME': os.environ.get('HOME', '/'),
                'LANG': os.environ.get('LANG', 'C.UTF-8'),
                'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                'PYTHONDONTWRITEBYTECODE': '1',
                'CRANBERRYRILL_BOOT': str(system.settings_path(self)),
            },
        )
        system.record.line(f'started {self.name}')

    def signal(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)
        name = signal.Signals(number).name
        self.system.record.line(f'{name} to {self.name}')

    def kill(self):
        """Kill the process and wait for its end."""
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def address(self, offset):
        """Return the address at one of the ports."""
        return f'{self.host}:{self.system.port + offset}'


class System:
    """Control members and entries, with the settings of a small site."""

    def __init__(self, record, members=3, entries=1, bounds=None):
        self.record = record
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.temporary.name)
        text = (ROOT / 'deploy' / 'system.toml').read_text()
        self.deploy = tomllib.loads(text)
        own = os.getpid()
        self.network = f'127.{10 + own % 200}.{own // 200 % 250}'
        self.port = free_ports(f'{self.network}.1')
        self.bounds = {
            'revocationMs': 5000,
            'drainTimeoutMs': 2000,
            'gracePeriodS': 8,
            'retryBudgetRatio': 0.2,
            'retryBudgetSlack': 62,
            'retryWindowS': 10,
            'leaseMs': 3000,
            'usageWindowS': 5,
            **(bounds or {}),
        }
        self.platform_address = ''
        self.members = [
            Machine(self, f'control-{n}', 'control', f'{self.network}.{n + 1}')
            for n in range(members)
        ]
        self.entries = [
            Machine(self, f'entry-{n}', 'entry', f'{self.network}.{n + 101}')
            for n in range(entries)
        ]

    def settings_path(self, machine):
        """Return the path of a machine's settings."""
        return self.folder / f'{machine.name}.yaml'

    def write_settings(self, machine, *, first):
        """Fill in the template as the platform does."""
        is_control = machine.role == 'control'
        fields = {
            'nodeName': machine.name,
            'ipAddress': machine.host,
            'zone': 'zone-a',
            'internalPortRange': [self.port, self.port + 15],
            'seedNodes': [m.address(29) for m in self.members[:3]],
            'bootstrap': first,
            'dataDirectory': (
                str(self.folder / f'data-{machine.name}') if is_control else ''
            ),
            'listenAddresses': (
                {'control': machine.address(29)}
                if is_control
                else {
                    'front': machine.address(27),
                    'ready': machine.address(20),
                }
            ),
            'zones': {'zone-a': 'region-a'},
            'faultTolerance': {'machines': 1},
            'heartbeatIntervalMs': 1200,
            'bounds': self.bounds,
            'cloudApi': (
                {
                    'address': self.platform_address,
                    'duties': ['usage_reporting'],
                }
                if self.platform_address
                else {'address': '', 'duties': ''}
            ),
        }
        role = self.deploy['roles'][machine.role]
        text = (ROOT / role['template']).read_text()

        def value_of(match):
            value = fields
            for part in match.group(1).split('.'):
                value = value.get(part, '') if isinstance(value, dict) else ''
            return json.dumps(value)

        text = re.sub(r'\{\{([\w.]+)\|json\}\}', value_of, text)
        if not self.platform_address:
            text = text[: text.index('outside:')]
        self.settings_path(machine).write_text(text)

    def start(self):
        """Start all processes for the first time."""
        for machine in (*self.members, *self.entries):
            machine.start(first=True)

    def stop(self):
        """End all processes."""
        for machine in (*self.members, *self.entries):
            machine.kill()

    def control_addresses(self):
        """Return where operators and replicas call."""
        return [machine.address(29) for machine in self.members]

    async def put(self, configuration, seconds=30.0):
        """Send a configuration until it is acknowledged; return if it was."""
        body = json.dumps(configuration).encode()
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            for address in self.control_addresses():
                status, _, _ = await call(
                    address, 'PUT', '/api/configuration', body
                )
                if status == 200:
                    version = configuration['version']
                    self.record.line(f'configuration {version} acknowledged')
                    return True
                if status in {400, 409, 412, 413, 422}:
                    self.record.line(f'configuration refused: {status}')
                    return False
            await asyncio.sleep(0.2)
        return False

    async def wait_ready(self, seconds=30.0):
        """Wait until all entries are ready; return whether they are."""
        deadline = time.monotonic() + seconds
        for entry in self.entries:
            status = 0
            while status != 200:
                if time.monotonic() > deadline:
                    return False
                status, _, _ = await call(
                    entry.address(20), 'GET', '/api/readiness'
                )
                await asyncio.sleep(0.05)
        return True


def free_ports(host):
    """Return a port behind which the ports of a machine are free."""
    start = BASE_PORT + os.getpid() * 40 % PORT_SPAN
    for first in [*range(start, BASE_PORT + PORT_SPAN, 40), BASE_PORT]:
        probes = []
        try:
            for offset in (0, 1, 20, 27, 29):
                probe = socket.socket()
                probes.append(probe)
                probe.bind((host, first + offset))
        except OSError:
            continue
        else:
            return first
        finally:
            for probe in probes:
                probe.close()
    raise SystemExit(2)


def configuration(version, routes, services, **fields):
    """Return a configuration in the form of the pages."""
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': name,
                'healthCheckPath': '/health',
                'maxConnections': 130,
                'protocol': 'h1',
                'tls': False,
            }
            for name in services
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        **fields,
    }


def route(name, kind, service, timeout_ms=1500, attempts=1, **fields):
    """Return a route at `/name/`."""
    return {
        'name': f'r-{name}',
        'host': HOST,
        'pathPrefix': f'/{name}/',
        'kind': kind,
        'timeoutMs': timeout_ms,
        'targetLatencyMs': 125,
        'priority': 1,
        'service': service,
        'maxAttempts': attempts,
        'allowAnonymous': True,
        'stickySessions': False,
        'resumeStreams': False,
        'gapAimMs': 0,
        **fields,
    }


async def read_head(reader):
    """Return the first line and the headers, in lower case."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, colon, content = line.partition(':')
        if colon:
            headers[name.strip().lower()] = content.strip()
    return first, headers


async def read_body(reader, headers):
    """Return a body that has a length, or comes in chunks."""
    if 'chunked' in headers.get('transfer-encoding', '').lower():
        body = b''
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if not size:
                return body
    return await reader.readexactly(int(headers.get('content-length', 0)))


async def call(
    address, method, path, body=b'', seconds=1.0, named='', fields=None
):
    """Send one request on a new connection; the status is 0 if it fails."""
    host, _, port = address.rpartition(':')
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, int(port))
            head = (
                f'{method} {path} HTTP/1.1\r\nHost: {named or address}\r\n'
                'Content-Type: application/json\r\n'
                f'Content-Length: {len(body)}\r\nConnection: close\r\n'
            )
            for name, content in (fields or {}).items():
                head += f'{name}: {content}\r\n'
            writer.write(f'{head}\r\n'.encode() + body)
            first, headers = await read_head(reader)
            status = int(first.split()[1])
            return status, headers, await read_body(reader, headers)
    except (OSError, EOFError, ValueError, asyncio.LimitOverrunError):
        return 0, {}, b''
    finally:
        if writer is not None:
            writer.close()


class Replica:
    """Sound replica of a service, as the pages describe it."""

    def __init__(self, system, name, service, slots=6, queue=4, work_s=0.02):
        self.system = system
        self.record = system.record
        self.id = f'i-{name}'
        self.service = service
        self.slots = slots
        self.queue = queue
        self.work_s = work_s
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = 'ready'
        self.port = 0
        self.running = 0
        self.waiting = 0
        self.free = asyncio.Semaphore(slots)
        # Attempts that were run, and all that arrived, in order.
        self.ran = []
        self.arrived = []
        self.server = None
        self.task = None
        self.writers = set()

    async def start(self):
        """Listen, and begin to send heartbeats."""
        self.server = await asyncio.start_server(
            self.serve, '127.0.0.1', self.port
        )
        self.port = self.server.sockets[0].getsockname()[1]
        self.task = asyncio.create_task(self.beat())

    def stop(self):
        """Stop at once."""
        self.server.close()
        self.task.cancel()

    async def beat(self):
        """Send heartbeats until cancelled."""
        while True:
            await self.send_beat()
            await asyncio.sleep(1.2)

    async def send_beat(self):
        """Send one heartbeat; return whether it was acknowledged."""
        self.sequence += 1
        body = json.dumps(
            {
                'service': self.service,
                'address': f'127.0.0.1:{self.port}',
                'zone': 'zone-a',
                'version': 'v1',
                'slots': self.slots,
                'state': self.state,
                'coldRemainingMs': 0,
                'stage': 'both',
                'models': [],
                'sequence': self.sequence,
                'born': self.born,
            }
        ).encode()
        for address in self.system.control_addresses():
            path = f'/api/replicas/{self.id}'
            status, _, _ = await call(address, 'PUT', path, body)
            if status == 200:
                return True
        return False

    async def serve(self, reader, writer):
        """Serve the requests of one connection."""
        self.writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                await self.answer(first, headers, body, reader, writer)
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    def head(self, status, headers, length, extra=''):
        """Return the head of an answer."""
        attempt = headers.get('cranberryrill-attempt-id', '')
        return (
            f'HTTP/1.1 {status}\r\nCranberryrill-Attempt-Id: {attempt}\r\n'
            f'{extra}Content-Length: {length}\r\n\r\n'
        ).encode()

    async def answer(self, first, headers, body, reader, writer):
        """Answer one request: reject it, or run it."""
        method, path, _ = first.split(' ')
        attempt = headers.get('cranberryrill-attempt-id', '')
        self.arrived.append(attempt)
        if headers.get('cranberryrill-expect-replica', self.id) != self.id:
            writer.write(self.head('421 Misdirected', headers, 0))
            return
        if self.waiting >= self.queue:
            self.record.line(f'{self.id} rejects {attempt}: full')
            extra = 'Cranberryrill-Not-Executed: 1\r\n'
            writer.write(self.head('503 Full', headers, 0, extra))
            return
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        try:
            self.ran.append(attempt)
            self.record.line(f'{self.id} runs {method} {path} {attempt}')
            await asyncio.sleep(self.work_s)
        finally:
            self.free.release()
        content = b'' if method == 'HEAD' else b'x' * 800
        extra = f'Cranberryrill-Replica-Signature: sig-{self.id}\r\n'
        writer.write(self.head('200 OK', headers, 800, extra) + content)
