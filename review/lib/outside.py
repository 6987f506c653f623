# flake8: noqa
"""Stand-ins for what is around the system: clients, the operator, replicas."""

import asyncio
import json
import time


async def read_head(reader):
    """Return the first line and the headers (lower-case names) of a message."""
    raw = await reader.readuntil(b'\r\n\r\n')
    first, *lines = raw.decode('latin-1').split('\r\n')[:-2]
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers.setdefault(name.strip().lower(), text.strip())
    return first, headers


async def read_body(reader, headers):
    """Return the whole body; None if it ends early."""
    try:
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
        return b''
    except (asyncio.IncompleteReadError, ValueError):
        return None


async def call(address, method, path, headers=None, body=b'', timeout=1.0):
    """Send one request on a new connection.

    Return (status, headers, body); status 0 without a whole answer in time.
    """
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            lines = {'Host': 'shop.example', **(headers or {})}
            if body or method in ('POST', 'PUT'):
                lines['Content-Length'] = str(len(body))
            text = f'{method} {path} HTTP/1.1\r\n'
            text += ''.join(
                f'{name}: {value}\r\n' for name, value in lines.items()
            )
            writer.write(text.encode('latin-1') + b'\r\n' + body)
            while True:
                first, answered = await read_head(reader)
                status = int(first.split()[1])
                if status >= 200:
                    break
            content = await read_body(reader, answered)
            if content is None:
                return 0, answered, b''
            return status, answered, content
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, {}, b''
    finally:
        if writer is not None:
            writer.close()


def configuration(version, routes, services, tenants):
    return {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': tenants,
    }


def service(name):
    return {
        'name': name,
        'healthCheckPath': '/health',
        'maxConnections': 130,
        'protocol': 'h1',
        'tls': False,
    }


def route(name, kind, target, **more):
    return {
        'name': name,
        'host': 'shop.example',
        'pathPrefix': f'/{name}/',
        'kind': kind,
        'timeoutMs': 800,
        'targetLatencyMs': 125,
        'priority': 2,
        'service': target,
        'maxAttempts': 1,
        'allowAnonymous': False,
        'stickySessions': False,
        'resumeStreams': False,
        'gapAimMs': 0,
        **more,
    }


async def put_configuration(addresses, content, seconds=30.0):
    """Send a configuration as the operator does, until it is acknowledged."""
    body = json.dumps(content).encode()
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for address in addresses:
            status, _, _ = await call(
                address,
                'PUT',
                '/api/configuration',
                {'Content-Type': 'application/json'},
                body,
            )
            if status == 200:
                return time.monotonic()
        await asyncio.sleep(0.2)
    return None


class Replica:
    """A sound replica: it runs what names it, and sends heartbeats."""

    def __init__(self, name, service_name, controls, record, host='127.0.0.1'):
        self.name = name
        self.service = service_name
        self.controls = list(controls)
        self.record = record
        self.host = host
        self.port = 0
        self.state = 'ready'
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.work_seconds = 0.02
        self.ran = []
        self.server = None
        self.beats = None

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, self.host, self.port
        )
        self.port = self.server.sockets[0].getsockname()[1]

    def start_beats(self):
        self.beats = asyncio.create_task(self.run_beats())

    def stop_beats(self):
        if self.beats is not None:
            self.beats.cancel()

    async def run_beats(self):
        while True:
            await self.beat()
            await asyncio.sleep(1.2)

    async def beat(self):
        self.sequence += 1
        body = json.dumps(
            {
                'service': self.service,
                'address': f'{self.host}:{self.port}',
                'zone': 'zone-a',
                'version': 'v1',
                'slots': 6,
                'state': self.state,
                'coldRemainingMs': 0,
                'born': self.born,
                'sequence': self.sequence,
            }
        ).encode()
        for address in list(self.controls):
            status, _, _ = await call(
                address,
                'PUT',
                f'/api/replicas/{self.name}',
                {'Content-Type': 'application/json'},
                body,
            )
            if 200 <= status < 300:
                return address
        return None

    async def serve(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                if body is None:
                    return
                await self.answer(first, headers, body, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, first, headers, body, writer):
        attempt = headers.get('cranberryrill-attempt-id', '')
        if headers.get('cranberryrill-expect-replica') != self.name:
            self.write(
                writer, '421 Misdirected Request', attempt, b'', run=False
            )
            return
        self.ran.append((time.monotonic(), attempt))
        self.record(f'run {self.name} {attempt} {first}')
        await asyncio.sleep(self.work_seconds)
        self.write(writer, '200 OK', attempt, f'done {attempt}'.encode())

    def write(self, writer, status, attempt, body, run=True):
        text = f'HTTP/1.1 {status}\r\nCranberryrill-Attempt-Id: {attempt}\r\n'
        if run:
            text += f'Cranberryrill-Replica-Signature: sig.{self.name}.{attempt}\r\n'
        else:
            text += 'Cranberryrill-Not-Executed: 1\r\n'
        text += f'Content-Length: {len(body)}\r\n\r\n'
        writer.write(text.encode() + body)


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.stream = open(path, 'w')
        self.started = time.monotonic()

    def __call__(self, line):
        seconds = time.monotonic() - self.started
        self.stream.write(f'{seconds:9.3f} {line}\n')

    def close(self):
        self.stream.close()


async def wait_until(check, seconds):
    """Return whether `check` came true in time."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if await check():
            return True
        await asyncio.sleep(0.1)
    return False
