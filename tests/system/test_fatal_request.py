"""A request that crashes each upstream is kept from the rest of them."""

import asyncio
import dataclasses
import json
import pathlib
import random
import time

import pytest
from tornado import httpclient

from standins import crashing
from standins import fleet as outside
from tests.system import test_fleet

# The time within which each entry knows of a third crash, and the number of
# repeats that may still be sent later.
CONTACT_SECONDS = 3.0
CRASHES = 3
MAX_LATE_REPEATS = 3
REPLICAS = 4
ENTRIES = 4
RESTART_SECONDS = 1.5
FATAL_PERIOD_SECONDS = 0.25
SOUND_PERIOD_SECONDS = 0.05
SECONDS = 3 * CONTACT_SECONDS
PROMPT_PARTS = '5e7:400,d0c:300,1a5:100'
# Sound requests are all served once the fatal one is refused.
SETTLED_SECONDS = CONTACT_SECONDS + RESTART_SECONDS


@dataclasses.dataclass(frozen=True)
class Sent:
    """One request of a caller, and its answer."""

    attempt_id: str
    sent_at: float
    status: int
    body: bytes


class Traffic:
    """Callers of one organisation that send requests to random entries."""

    def __init__(
        self, system: test_fleet.System, rng: random.Random, route: str
    ) -> None:
        self.system = system
        self.rng = rng
        self.route = route
        self.count = 0
        self.sound: list[Sent] = []
        self.fatal: list[Sent] = []

    @property
    def fatal_path(self) -> str:
        return f'/{self.route}/fatal'

    async def send_sound(self) -> None:
        # Sound requests differ from the fatal one in their paths alone.
        path = f'/{self.route}/{self.count}'
        self.sound.append(await self.send(path, 'sound'))

    async def send_fatal(self, entry: int | None = None) -> Sent:
        sent = await self.send(self.fatal_path, 'fatal', entry)
        self.fatal.append(sent)
        return sent

    async def send(
        self, path: str, name: str, entry: int | None = None
    ) -> Sent:
        self.count += 1
        if entry is None:
            entry = self.rng.randrange(ENTRIES)
        attempt_id = f'{name}-{self.count}'
        headers = {
            'Host': 'a.example',
            'Authorization': 'Token key-1',
            outside.ATTEMPT_HEADER: attempt_id,
            'Cranberryrill-Deadline-Ms': '3000',
        }
        if self.route == 'stream':
            headers['Cranberryrill-Token-Count'] = '800,20'
            headers[crashing.PROMPT_PARTS_HEADER] = PROMPT_PARTS
        request = httpclient.HTTPRequest(
            f'http://{self.system.fleet.caller_address(entry)}{path}',
            method='POST',
            body='{}',
            headers=headers,
            request_timeout=4,
        )
        sent_at = time.time()
        client = httpclient.AsyncHTTPClient()
        try:
            answer = await client.fetch(request, raise_error=False)
        except (httpclient.HTTPError, OSError):
            # The answer was cut off.
            return Sent(attempt_id, sent_at, 0, b'')
        return Sent(attempt_id, sent_at, answer.code, answer.body or b'')

    async def run(self, seconds: float) -> None:
        """Send sound requests, and repeats of the fatal one, for some time."""
        end = time.time() + seconds
        next_fatal = time.time()
        async with asyncio.TaskGroup() as group:
            while time.time() < end:
                group.create_task(self.send_sound())
                if time.time() > next_fatal:
                    group.create_task(self._send_fatal())
                    next_fatal += self.rng.expovariate(1 / FATAL_PERIOD_SECONDS)
                await asyncio.sleep(
                    self.rng.expovariate(1 / SOUND_PERIOD_SECONDS)
                )

    async def _send_fatal(self) -> None:
        await self.send_fatal()


def make_replicas(control_addresses: list[str]) -> list[outside.Replica]:
    return [
        crashing.CrashingReplica(
            f'i-{service}-{number}', service, control_addresses, RESTART_SECONDS
        )
        for service in ('model', 'desk')
        for number in range(REPLICAS)
    ]


def prepare_replicas(
    traffic: Traffic, crash_point: crashing.CrashPoint
) -> None:
    for replica in traffic.system.replicas:
        if isinstance(replica, crashing.CrashingReplica):
            replica.fatal_path = traffic.fatal_path
            replica.crash_point = crash_point


def crash_times(system: test_fleet.System) -> list[float]:
    return sorted(
        crashed_at
        for replica in system.replicas
        if isinstance(replica, crashing.CrashingReplica)
        for crashed_at in replica.crashed_at
    )


def fatal_arrivals(system: test_fleet.System) -> list[float]:
    return sorted(
        request.unix_seconds
        for replica in system.replicas
        for request in replica.handled_requests
        if request.attempt_id.startswith('fatal')
    )


@pytest.mark.parametrize(
    ('route', 'crash_point', 'seed'),
    [
        ('check', crashing.CrashPoint.nothing, 1),
        ('check', crashing.CrashPoint.part_of_the_head, 2),
        ('order', crashing.CrashPoint.status_line, 3),
        ('order', crashing.CrashPoint.part_of_the_body, 4),
        ('stream', crashing.CrashPoint.nothing, 5),
        ('order', crashing.CrashPoint.foreign_response, 7),
    ],
)
async def test_fatal_request_stops_and_sound_ones_go_on(
    tmp_path: pathlib.Path,
    route: str,
    crash_point: crashing.CrashPoint,
    seed: int,
) -> None:
    async with test_fleet.run_system(
        tmp_path, make_replicas, entries=ENTRIES
    ) as system:
        traffic = Traffic(system, random.Random(seed), route)
        prepare_replicas(traffic, crash_point)
        await traffic.run(SECONDS)
        third = crash_times(system)[CRASHES - 1]
        late = [
            at for at in fatal_arrivals(system) if at > third + CONTACT_SECONDS
        ]
        assert len(late) <= MAX_LATE_REPEATS
        settled = [
            sent
            for sent in traffic.sound
            if sent.sent_at > third + SETTLED_SECONDS
        ]
        assert len(settled) >= 20
        assert {sent.status for sent in settled} == {200}
        refused = await traffic.send_fatal()
        assert refused.status == 503
        assert json.loads(refused.body)['error']['ran'] == 'no'


async def test_quarantine_of_a_request_outlives_restarts(
    tmp_path: pathlib.Path,
) -> None:
    async with test_fleet.run_system(
        tmp_path, make_replicas, entries=ENTRIES
    ) as system:
        traffic = Traffic(system, random.Random(6), 'check')
        prepare_replicas(traffic, crashing.CrashPoint.nothing)
        await traffic.run(2 * CONTACT_SECONDS)
        arrived = len(fatal_arrivals(system))
        processes = system.fleet.processes_by_name
        # First every entry, while the members run on; then the other way.
        for group in (system.fleet.entries, system.fleet.members):
            for vm in group:
                processes[vm.name].kill()
            for vm in group:
                system.fleet.start(vm)
            await system.wait_until(system.is_ready, test_fleet.START_SECONDS)
            for number in range(3 * ENTRIES):
                refused = await traffic.send_fatal(number % ENTRIES)
                assert refused.status == 503
        assert len(fatal_arrivals(system)) == arrived
