# flake8: noqa
"""A small deployment on loopback, and stand-ins that follow the users' pages.

Only the standard library is used. The programs are started with the commands of
`deploy/system.toml`, with settings filled in from `platform/settings.yaml`.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
ACK_SECONDS = 1.0
# A client's link of about 250 Mbit/s.
PIECE_BYTES = 65_536
PIECE_SECONDS = 0.002
PLACEHOLDER = re.compile(r'{{([A-Za-z.]+)\|json}}')
BOUNDS = {
    'contactMs': 3000,
    'drainTimeoutMs': 2000,
    'configApplyMs': 2000,
    'revocationMs': 5000,
    'gracePeriodS': 8,
    'retryBudgetRatio': 0.2,
    'retryWindowS': 10,
    'retryBudgetSlack': 62,
    'leaseMs': 3000,
    'usageWindowS': 5,
}


class CannotRun(Exception):
    """The case could not be run; says nothing of the rule."""


class Record:
    """Lines of what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.stream = open(path, 'w', encoding='utf-8')
        self.begun = time.monotonic()

    def now(self):
        return time.monotonic() - self.begun

    def add(self, what, **fields):
        line = {'at': round(self.now(), 4), 'what': what, **fields}
        self.stream.write(json.dumps(line) + '\n')
        self.stream.flush()


def _lookup(fields, path):
    for name in path.split('.'):
        if not isinstance(fields, dict) or name not in fields:
            return ''
        fields = fields[name]
    return json.dumps(fields)


class Machine:
    def __init__(self, name, host, role, folder, ports, seeds):
        self.name, self.host, self.role = name, host, role
        self.ports = ports
        self.log = folder / f'{name}.log'
        self.path = folder / f'{name}.yaml'
        self.process = None
        listen = {}
        if role == 'entry':
            listen = {
                'front': f'{host}:{ports + 1}',
                'ready': f'{host}:{ports + 2}',
            }
        else:
            listen = {'control': f'{host}:{ports}'}
        self.fields = {
            'nodeName': name,
            'role': role,
            'ipAddress': host,
            'zone': 'zone-a',
            'zones': {'zone-a': 'region-a'},
            'internalPortRange': [ports + 3, ports + 18],
            'seedNodes': seeds,
            'bootstrap': True,
            'listenAddresses': listen,
            'faultTolerance': {'machines': 1, 'zones': 0, 'regions': 0},
            'heartbeatIntervalMs': 1200,
            'bounds': BOUNDS,
        }
        if role == 'control':
            self.fields['dataDirectory'] = str(folder / f'data-{name}')

    @property
    def control(self):
        return self.host, self.ports

    @property
    def front(self):
        return self.host, self.ports + 1

    @property
    def ready(self):
        return self.host, self.ports + 2

    def start(self):
        template = (ROOT / 'platform' / 'settings.yaml').read_text('utf-8')
        self.path.write_text(
            PLACEHOLDER.sub(
                lambda found: _lookup(self.fields, found.group(1)), template
            ),
            'utf-8',
        )
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['CRANBERRYRILL_BOOT'] = str(self.path)
        with self.log.open('ab') as stream:
            self.process = subprocess.Popen(
                [sys.executable, 'platform/run.py', self.role],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=stream,
                stderr=stream,
            )
        self.fields['bootstrap'] = False

    def signal(self, number):
        self.process.send_signal(number)

    def alive(self):
        return self.process is not None and self.process.poll() is None


class Deployment:
    """Control members and entries, each at a loopback address of its own."""

    def __init__(self, controls=3, entries=2):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        chance = random.SystemRandom()
        network = f'127.{chance.randrange(10, 250)}.{chance.randrange(250)}'
        ports = _free_ports(f'{network}.1', chance)
        hosts = [f'{network}.{number + 1}' for number in range(controls)]
        seeds = [f'{host}:{ports}' for host in hosts[:3]]
        self.controls = [
            Machine(f'control-{n}', host, 'control', self.folder, ports, seeds)
            for n, host in enumerate(hosts)
        ]
        self.entries = [
            Machine(
                f'entry-{n}',
                f'{network}.{n + 101}',
                'entry',
                self.folder,
                ports,
                seeds,
            )
            for n in range(entries)
        ]

    def start(self):
        for machine in (*self.controls, *self.entries):
            machine.start()

    def stop(self):
        for machine in (*self.controls, *self.entries):
            if machine.process is not None:
                with contextlib.suppress(OSError):
                    machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
        if not os.environ.get('KEEP'):
            shutil.rmtree(self.folder, ignore_errors=True)

    async def configure(self, content, seconds=25.0):
        """Send a configuration as an operator does until it is acknowledged."""
        deadline = time.monotonic() + seconds
        turn = 0
        while time.monotonic() < deadline:
            address = self.controls[turn % len(self.controls)].control
            turn += 1
            answer = await call(address, 'PUT', '/api/configuration', content)
            if answer is not None and answer.status == 200:
                return time.monotonic()
            if answer is not None and 400 <= answer.status < 500:
                raise CannotRun(f'configuration refused: {answer.status}')
            await asyncio.sleep(0.2)
        raise CannotRun('the configuration is not acknowledged')

    async def wait_ready(self, seconds=25.0):
        deadline = time.monotonic() + seconds
        for machine in self.entries:
            while True:
                answer = await call(machine.ready, 'GET', '/api/readiness')
                if answer is not None and answer.status == 200:
                    break
                if time.monotonic() > deadline:
                    raise CannotRun(f'{machine.name} is not ready')
                await asyncio.sleep(0.1)


def _free_ports(host, chance):
    while True:
        first = chance.randrange(21_000, 29_000)
        try:
            for port in range(first, first + 19):
                with socket.socket() as probe:
                    probe.bind((host, port))
        except OSError:
            continue
        return first


class Answer:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body


async def read_head(reader):
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, colon, content = line.partition(':')
        if colon:
            headers[name.strip().lower()] = content.strip()
    return lines[0], headers


async def read_body(reader, headers, *, until_close):
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        body = b''
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                return body
            body += chunk[:-2]
    if 'content-length' in headers:
        return await reader.readexactly(int(headers['content-length']))
    return await reader.read() if until_close else b''


async def read_answer(reader):
    start, received = await read_head(reader)
    try:
        content = await read_body(reader, received, until_close=True)
    except (OSError, asyncio.IncompleteReadError):
        # The head has come; a failure needs no more.
        content = None
    return Answer(int(start.split()[1]), received, content)


async def send_rest(writer, body, answered):
    """Send a long body as a link does; stop when an answer has come."""
    for offset in range(PIECE_BYTES, len(body), PIECE_BYTES):
        await asyncio.sleep(PIECE_SECONDS)
        if answered.done():
            return
        writer.write(body[offset : offset + PIECE_BYTES])
        try:
            await writer.drain()
        except OSError:
            return


async def exchange(address, method, path, headers, body, seconds):
    """Send one request on a connection of its own; None without an answer."""
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(*address)
            try:
                lines = [f'{method} {path} HTTP/1.1']
                lines += [f'{name}: {value}' for name, value in headers.items()]
                if body or method in ('POST', 'PUT'):
                    lines.append(f'Content-Length: {len(body)}')
                head = '\r\n'.join(lines) + '\r\n\r\n'
                writer.write(head.encode('latin-1') + body[:PIECE_BYTES])
                answered = asyncio.create_task(read_answer(reader))
                await send_rest(writer, body, answered)
                return await answered
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None


async def call(address, method, path, content=None, seconds=ACK_SECONDS):
    """Call the system's own interface with a JSON body."""
    headers = {'Host': f'{address[0]}:{address[1]}', 'Connection': 'close'}
    body = b''
    if content is not None:
        headers['Content-Type'] = 'application/json'
        body = json.dumps(content).encode()
    return await exchange(address, method, path, headers, body, seconds)


class Replica:
    """A replica of a plain service.

    It runs what names it and answers 421 otherwise. `start` begins a new
    incarnation at the address it had.
    """

    def __init__(self, name, service, record, work_seconds=0.01):
        self.name, self.service, self.record = name, service, record
        self.work_seconds = work_seconds
        self.port = 0
        self.born = 0
        self.sequence = 0
        self.state = 'ready'
        self.server = None
        self.runs = []
        self.beats = None

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, '127.0.0.1', self.port
        )
        self.port = self.server.sockets[0].getsockname()[1]
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = 'ready'

    async def stop(self):
        if self.beats is not None:
            self.beats.cancel()
            self.beats = None
        if self.server is not None:
            self.server.close()
            self.server = None

    def begin_beats(self, addresses):
        self.beats = asyncio.create_task(self._beat(addresses))

    async def _beat(self, addresses):
        while True:
            for address in addresses:
                if await self.beat(address):
                    break
            await asyncio.sleep(1.2)

    async def beat(self, address):
        self.sequence += 1
        content = {
            'service': self.service,
            'address': f'127.0.0.1:{self.port}',
            'zone': 'zone-a',
            'version': 'v1',
            'slots': 8,
            'state': self.state,
            'coldRemainingMs': 0,
            'born': self.born,
            'sequence': self.sequence,
        }
        answer = await call(
            address, 'PUT', f'/api/replicas/{self.name}', content
        )
        status = answer.status if answer is not None else 0
        self.record.add(
            'heartbeat', replica=self.name, to=address[0], born=self.born,
            state=self.state, sequence=self.sequence, status=status,
        )  # fmt: skip
        return status == 200

    async def delete(self, address):
        answer = await call(address, 'DELETE', f'/api/replicas/{self.name}')
        status = answer.status if answer is not None else 0
        self.record.add(
            'delete', replica=self.name, to=address[0], born=self.born,
            status=status,
        )  # fmt: skip
        return status == 200

    async def _serve(self, reader, writer):
        try:
            start, headers = await read_head(reader)
            body = await read_body(reader, headers, until_close=False)
            await self.answer(start, headers, body, writer)
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def answer(self, start, headers, body, writer):
        attempt = headers.get('cranberryrill-attempt-id', '')
        if headers.get('cranberryrill-expect-replica') != self.name:
            self.record.add('misdirected', replica=self.name, attempt=attempt)
            writer.write(_response('421 Misdirected Request', attempt, b''))
            return
        self.runs.append((time.monotonic(), attempt, len(body)))
        self.record.add(
            'run', replica=self.name, born=self.born, attempt=attempt,
            bytes=len(body),
        )  # fmt: skip
        await asyncio.sleep(self.work_seconds)
        signature = (
            f'Cranberryrill-Replica-Signature: {self.name}.{attempt}\r\n'
        )
        writer.write(_response('200 OK', attempt, b'done', signature))


def _response(status, attempt, body, more=''):
    head = (
        f'HTTP/1.1 {status}\r\nCranberryrill-Attempt-Id: {attempt}\r\n{more}'
        f'Content-Length: {len(body)}\r\nConnection: close\r\n\r\n'
    )
    return head.encode('latin-1') + body


KEY = 'k1r7c0w2a9'
HOST = 'a.example'


def configuration(version, **changes):
    """Return a configuration with a route of an unsafe kind to `desk`."""
    content = {
        'version': version,
        'routes': [
            {
                'name': 'orders',
                'host': HOST,
                'pathPrefix': '/orders/',
                'kind': 'unsafe',
                'service': 'desk',
                'timeoutMs': 4000,
                'targetLatencyMs': 500,
                'priority': 1,
                'maxAttempts': 1,
                'allowAnonymous': False,
            }
        ],
        'services': [
            {
                'name': 'desk',
                'healthCheckPath': '/health',
                'maxConnections': 120,
                'protocol': 'h1',
                'tls': False,
            }
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [{'name': 'tenant-1', 'apiKeys': [KEY], 'priority': 1}],
    }
    content.update(changes)
    return content


class Caller:
    """A client; each request is an attempt with an id of its own."""

    def __init__(self, record):
        self.record = record
        self.count = 0
        self.statuses = {}

    async def request(self, entry, path='/orders/1', body=b'{}', ms=4000):
        self.count += 1
        attempt = f'a{self.count:06d}'
        headers = {
            'Host': HOST,
            'Authorization': f'Token {KEY}',
            'Cranberryrill-Attempt-Id': attempt,
            'Cranberryrill-Deadline-Ms': ms,
            'Connection': 'close',
        }
        answer = await exchange(
            entry.front, 'POST', path, headers, body, ms / 1000 + 1
        )
        status = answer.status if answer is not None else 0
        self.statuses[attempt] = status
        self.record.add(
            'answered', attempt=attempt, entry=entry.name, bytes=len(body),
            status=status,
        )  # fmt: skip
        return attempt, status

    async def send_steadily(self, entries, per_second):
        open_requests = set()
        turn = 0
        while True:
            entry = entries[turn % len(entries)]
            turn += 1
            task = asyncio.create_task(self.request(entry))
            open_requests.add(task)
            task.add_done_callback(open_requests.discard)
            await asyncio.sleep(1 / per_second)

    async def wait_served(self, entries, seconds=25.0):
        deadline = time.monotonic() + seconds
        for entry in entries:
            while (await self.request(entry))[1] != 200:
                if time.monotonic() > deadline:
                    raise CannotRun(f'{entry.name} serves nothing')
                await asyncio.sleep(0.1)


def run(case, folder):
    """Run a case; exit with 0 if the rule held, 1 if broken, 2 if not run."""
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(pathlib.Path(folder) / 'record.txt')

    async def bounded():
        # Ended from outside, a case still ends the processes that it started.
        work = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, work.cancel)
        async with asyncio.timeout(115):
            return await case(record, trouble)

    try:
        broken = asyncio.run(bounded())
    except CannotRun as error:
        record.add('not run', cause=str(error))
        print(f'not run: {error}')
        sys.exit(2)
    except asyncio.CancelledError:
        record.add('not run', cause='ended from outside')
        sys.exit(2)
    except TimeoutError:
        record.add('not run', cause='out of time')
        print('not run: out of time')
        sys.exit(2)
    for line in broken:
        record.add('broken', cause=line)
        print(f'BROKEN {line}')
    record.add('end', broken=len(broken), trouble=trouble)
    print(f'trouble {trouble}: {"broken" if broken else "held"}')
    sys.exit(1 if broken else 0)
