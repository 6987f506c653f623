"""Harm a fleet from outside for a while and check what others see of it.

`python -m bench.soak_fleet --seed N --seconds S`: real programs, callers,
replicas behind unreliable links, an operator and a taker of usage reports.
The ledgers of those are the only judges.
"""

import asyncio
import collections
import contextlib
import dataclasses
import json
import pathlib
import random
import signal
import sys
import tempfile
import typing

import cyclopts
from tornado import httpclient

from bench import fleet, unreliable
from standins import fleet as outside

APP = cyclopts.App(name='soak_fleet', help='Harm a fleet from outside.')
CALLERS = 6
CALL_SECONDS = 6.0
SETTLE_SECONDS = 25.0
FAULT_PAUSE = (0.3, 1.5)
FAULT_SECONDS = (0.5, 3.0)
PROMISED_NOT_RUN = frozenset((408, 421, 429, 503))
OK = 200


@dataclasses.dataclass
class Ledger:
    """Hold what callers and the operator saw."""

    answers: dict[str, int] = dataclasses.field(default_factory=dict)
    broken: list[str] = dataclasses.field(default_factory=list)
    acknowledged: int = 0
    faults: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter,
    )


class Soak:
    """Run callers, an operator and faults against one fleet."""

    def __init__(self, folder: pathlib.Path, rng: random.Random) -> None:
        self.rng = rng
        self.reports = outside.Reports()
        self.reports.start()
        self.fleet = fleet.Fleet(
            folder,
            rng,
            outside=f'127.0.0.1:{self.reports.port}',
        )
        self.replicas = [
            outside.Replica(f'i-{kind}-{number}', kind, self.fleet.control)
            for kind in ('model', 'desk')
            for number in range(2)
        ]
        self.links: list[unreliable.Link] = []
        self.ledger = Ledger()
        self.version = 1
        self.number = 0

    async def run(self, seconds: float) -> Ledger:
        """Start everything, harm it, let it settle, and judge."""
        tasks: list[asyncio.Task[None]] = []
        self.fleet.start_all()
        try:
            for replica in self.replicas:
                await self._start_replica(replica)
                tasks.append(asyncio.create_task(replica.run_heartbeats()))
            await self._until_served()
            tasks.append(asyncio.create_task(self._operate()))
            tasks.extend(
                asyncio.create_task(self._call_again(number))
                for number in range(CALLERS)
            )
            await self._harm(seconds)
            await self._until_served()
        finally:
            for task in tasks:
                task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.gather(*tasks, return_exceptions=True)
            self._judge()
            self.fleet.stop()
        return self.ledger

    async def _start_replica(self, replica: outside.Replica) -> None:
        replica.start()
        link = unreliable.Link(replica.port, self.rng)
        server = await link.start()
        replica.port = server.sockets[0].getsockname()[1]
        self.links.append(link)

    async def _until_served(self) -> None:
        """Wait until the newest change is in force and requests are served."""
        async with asyncio.timeout(SETTLE_SECONDS):
            while not await self._put():
                await asyncio.sleep(0.1)
            served = 0
            while served < len(self.fleet.entries):
                answers = [
                    await self._call('/order/1', entry)
                    for entry in range(len(self.fleet.entries))
                ]
                served = answers.count(OK)

    async def _operate(self) -> None:
        while True:
            await self._put()
            await self._read()
            await asyncio.sleep(0.5)

    async def _put(self) -> bool:
        self.version += self.rng.randrange(1, 4)
        version = self.version
        address = self.rng.choice(self.fleet.control)
        url = f'http://{address}/api/configuration'
        body = json.dumps(configuration(version))
        if await outside.call(url, 'PUT', body) != OK:
            return False
        self.ledger.acknowledged = max(self.ledger.acknowledged, version)
        return True

    async def _read(self) -> None:
        promised = self.ledger.acknowledged
        address = self.rng.choice(self.fleet.control)
        client = httpclient.AsyncHTTPClient()
        with contextlib.suppress(OSError, httpclient.HTTPError):
            answer = await client.fetch(
                f'http://{address}/api/configuration',
                request_timeout=2,
            )
            read = json.loads(answer.body)['version']
            if read < promised:
                self.ledger.broken.append(f'read {read} after {promised}')

    async def _call_again(self, number: int) -> None:
        while True:
            path = self.rng.choice(('/order/1', '/stream/1', '/check/1'))
            entry = number % len(self.fleet.entries)
            await self._call(path, entry)
            await asyncio.sleep(self.rng.random() * 0.1)

    async def _call(self, path: str, entry: int) -> int:
        self.number += 1
        attempt = f'{path[1]}-{self.number}'
        request = httpclient.HTTPRequest(
            f'http://{self.fleet.callers(entry)}{path}',
            method='POST',
            body='{}',
            headers={
                'Host': 'a.example',
                'Authorization': 'Token key-1',
                outside.ATTEMPT: attempt,
                'Cranberryrill-Deadline-Ms': '3000',
            },
            request_timeout=CALL_SECONDS,
        )
        client = httpclient.AsyncHTTPClient()
        try:
            answer = await client.fetch(request, raise_error=False)
        except (httpclient.HTTPError, OSError):
            return 0
        self.ledger.answers[attempt] = answer.code
        if answer.code == OK:
            self._check_answer(path, answer)
        return answer.code

    def _check_answer(
        self,
        path: str,
        answer: httpclient.HTTPResponse,
    ) -> None:
        if outside.SIGNATURE not in answer.headers:
            self.ledger.broken.append(f'{path}: success without signature')
        if path.startswith('/stream/'):
            pieces = [
                line
                for line in answer.body.split(b'\n')
                if line.startswith(b'id:')
            ]
            if pieces != [b'id: %d' % (number + 1) for number in range(4)]:
                self.ledger.broken.append(f'{path}: events {pieces}')

    async def _harm(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        while loop.time() < ends_at:
            await asyncio.sleep(self.rng.uniform(*FAULT_PAUSE))
            fault = self.rng.choice(
                (self._kill, self._freeze, self._wipe, self._link, self._stop),
            )
            self.ledger.faults[fault.__name__.strip('_')] += 1
            await fault()

    async def _kill(self) -> None:
        vm = self.rng.choice([*self.fleet.members, *self.fleet.entries])
        self.fleet.running[vm.name].kill()
        self.fleet.start(vm)

    async def _stop(self) -> None:
        vm = self.rng.choice(self.fleet.entries)
        process = self.fleet.running[vm.name]
        process.send(signal.SIGTERM)
        await asyncio.to_thread(process.wait)
        self.fleet.start(vm)

    async def _freeze(self) -> None:
        vm = self.rng.choice([*self.fleet.members, *self.fleet.entries])
        process = self.fleet.running[vm.name]
        process.send(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(*FAULT_SECONDS))
        process.send(signal.SIGCONT)

    async def _wipe(self) -> None:
        vm = self.rng.choice(self.fleet.members)
        self.fleet.running[vm.name].kill()
        self.fleet.wipe(vm)
        self.fleet.start(vm)
        # One disk at once: it counts again when it has caught up.
        await asyncio.sleep(5)

    async def _link(self) -> None:
        link = self.rng.choice(self.links)
        link.harm = self.rng.choice(list(unreliable.Harm))
        await asyncio.sleep(self.rng.uniform(*FAULT_SECONDS))
        link.harm = unreliable.Harm.none

    def _judge(self) -> None:
        broken = self.ledger.broken
        ran = collections.Counter(
            one.attempt for known in self.replicas for one in known.ran
        )
        for attempt, times in ran.items():
            if attempt.startswith('o-') and times > 1:
                broken.append(f'{attempt} ran {times} times')
            status = self.ledger.answers.get(attempt)
            if attempt.startswith('o-') and status in PROMISED_NOT_RUN:
                broken.append(f'{attempt} got {status} and ran')
        for known in self.replicas:
            if known.keys_seen:
                broken.append(f'{known.name} saw a key')
            for one in known.ran:
                if one.organisation != 'tenant-1':
                    broken.append(f'{one.attempt} ran for {one.organisation}')
        taken = self.reports.taken
        for window in taken:
            figures = {str(report.counts) for report in taken[window]}
            if len(figures) > 1:
                broken.append(f'window {window}: {figures}')


def configuration(version: int) -> dict[str, typing.Any]:
    """Return a configuration with a route of each kind."""
    kinds = (
        ('stream', 'streaming', 'model'),
        ('order', 'unsafe', 'desk'),
        ('check', 'safe', 'desk'),
    )
    return {
        'version': version,
        'routes': [
            {
                'name': name,
                'host': 'a.example',
                'pathPrefix': f'/{name}/',
                'kind': kind,
                'service': service,
                'timeoutMs': 3000,
                'targetLatencyMs': 500,
                'priority': 1,
                'maxAttempts': 2,
                'allowAnonymous': False,
                'resumeStreams': True,
                'gapAimMs': 200,
            }
            for name, kind, service in kinds
        ],
        'services': [
            {'name': name, 'healthCheckPath': '/h', 'maxConnections': 50}
            for name in ('model', 'desk')
        ],
        'limits': {},
        'tenants': [{'name': 'tenant-1', 'apiKeys': ['key-1']}],
    }


@APP.default
def soak(*, seed: int | None = None, seconds: float = 20) -> None:
    """Run one seed, a fresh one if none is named, and print the verdict."""
    chosen = (
        random.SystemRandom().randrange(1_000_000) if seed is None else seed
    )
    with tempfile.TemporaryDirectory() as folder:
        run = Soak(pathlib.Path(folder), random.Random(chosen))
        ledger = asyncio.run(run.run(seconds))
    statuses = collections.Counter(ledger.answers.values())
    print(f'seed {chosen} faults {dict(ledger.faults)} {dict(statuses)}')
    for line in ledger.broken:
        print(f'BROKEN {line}')
    if ledger.broken:
        sys.exit(1)


if __name__ == '__main__':
    APP()
