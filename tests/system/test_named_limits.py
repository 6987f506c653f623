"""Entries together send an upstream no more than the limit that it names."""

import asyncio
import pathlib
import random
import time

import pytest
from tornado import httpclient

from standins import fleet as outside
from tests.system import test_fleet

CONTACT_SECONDS = 3.0
WINDOW_SECONDS = 4.0
EXCESS_FACTOR = 1.5
EXCESS_REQUESTS = 5
ENTRIES = 4
LIMITED = 3
SOUND = 1
REQUEST_PERIOD_SECONDS = 0.025
LIMITED_SECONDS = 12.0
REQUESTS_WITHOUT_LIMIT = 200


def make_replicas(control_addresses: list[str]) -> list[outside.Replica]:
    replicas = [
        outside.Replica(f'i-model-{number}', 'model', control_addresses)
        for number in range(LIMITED + SOUND)
    ]
    replicas.append(outside.Replica('i-desk-0', 'desk', control_addresses))
    return replicas


class Callers:
    """Callers that send streams to random entries."""

    def __init__(
        self,
        system: test_fleet.System,
        rng: random.Random,
        entries: int = ENTRIES,
    ) -> None:
        self.entries = entries
        self.system = system
        self.rng = rng
        self.count = 0
        self.statuses: list[int] = []

    async def run(self, seconds: float) -> None:
        async with asyncio.TaskGroup() as group:
            end = time.time() + seconds
            while time.time() < end:
                group.create_task(self.send())
                await asyncio.sleep(
                    self.rng.expovariate(1 / REQUEST_PERIOD_SECONDS)
                )

    async def run_requests(self, count: int) -> None:
        async with asyncio.TaskGroup() as group:
            for _ in range(count):
                group.create_task(self.send())
                await asyncio.sleep(
                    self.rng.expovariate(1 / REQUEST_PERIOD_SECONDS)
                )

    async def send(self) -> None:
        self.count += 1
        try:
            answer = await self.system.post(
                f'/stream/{self.count}', self.rng.randrange(self.entries)
            )
        except (httpclient.HTTPError, OSError):
            # The entry was restarted under the request.
            self.statuses.append(0)
        else:
            self.statuses.append(answer.code)


def arrivals(replica: outside.Replica, since: float) -> list[float]:
    return [
        request.unix_seconds
        for request in replica.handled_requests
        if request.unix_seconds >= since
    ]


def most_in_a_window(times: list[float]) -> int:
    """Return the most requests that arrived within `WINDOW_SECONDS`."""
    return max(
        (
            sum(start <= at < start + WINDOW_SECONDS for at in times)
            for start in times
        ),
        default=0,
    )


@pytest.mark.parametrize(
    ('seed', 'limit'), [(1, '4'), (2, '1.5'), (3, '12.25'), (4, '0')]
)
async def test_limited_upstreams_get_what_they_take(
    tmp_path: pathlib.Path, seed: int, limit: str
) -> None:
    async with test_fleet.run_system(
        tmp_path, make_replicas, entries=ENTRIES
    ) as system:
        callers = Callers(system, random.Random(seed))
        limited = system.replicas[:LIMITED]
        await callers.run(2)
        for replica in limited:
            replica.limit = limit
        named_at = time.time()
        running = asyncio.create_task(callers.run(LIMITED_SECONDS))
        await asyncio.sleep(LIMITED_SECONDS / 2)
        # An entry that starts again has no allowance of its own.
        vm = system.fleet.entries[0]
        system.fleet.processes_by_name[vm.name].kill()
        system.fleet.start(vm)
        await running
        allowed = (
            EXCESS_FACTOR * float(limit) * WINDOW_SECONDS + EXCESS_REQUESTS
        )
        for replica in limited:
            counted = arrivals(replica, named_at + CONTACT_SECONDS)
            assert most_in_a_window(counted) <= allowed
        # The upstreams that name no limit still serve what they can.
        served = callers.statuses.count(200)
        assert served >= 0.8 * len(callers.statuses)


async def test_upstreams_are_used_fully_once_they_name_no_limit(
    tmp_path: pathlib.Path,
) -> None:
    async with test_fleet.run_system(
        tmp_path, make_replicas, entries=ENTRIES
    ) as system:
        callers = Callers(system, random.Random(5))
        limited = system.replicas[:LIMITED]
        for replica in limited:
            replica.limit = '1'
        await callers.run(5)
        for replica in limited:
            replica.limit = None
        await callers.run(CONTACT_SECONDS)
        counted_from = time.time()
        # Busy machines send fewer requests a second, but as many in all.
        await callers.run_requests(REQUESTS_WITHOUT_LIMIT)
        fair_share = REQUESTS_WITHOUT_LIMIT / (LIMITED + SOUND)
        for replica in limited:
            assert len(arrivals(replica, counted_from)) >= 0.5 * fair_share
