"""Everything is acknowledged after disks were full one after another."""

import asyncio
import contextlib
import dataclasses
import json
import pathlib
import time
from collections import abc

from bench import fleet, fleet_traffic
from standins import fleet as outside
from tests.system import test_fleet

ENTRIES = 4
# Numbers of the control members with a disk.
DISKS = range(3)
FULL_SECONDS = 1.5
# Until a member has failed, or is back.
MEMBER_SECONDS = 15.0
# Until the group has a leader, and each member follows it.
SETTLE_SECONDS = 3.0
ACKNOWLEDGED_SECONDS = 4.0
LOAD_PAUSE_SECONDS = 0.02
REQUESTS_PER_ENTRY = 5
REPORTED_SECONDS = 10.0
# Part of a window, since entries and this test read clocks of their own.
WINDOW_MARGIN = 0.2
SPARE_SERVICE = 'spare'


def replicas_with_spares(
    control_addresses: list[str],
) -> list[outside.Replica]:
    """Return the usual replicas, and one to deregister at each member."""
    spares = [
        outside.Replica(f'i-spare-{number}', SPARE_SERVICE, control_addresses)
        for number in range(2 * len(control_addresses))
    ]
    return [*test_fleet.two_replicas_each(control_addresses), *spares]


@dataclasses.dataclass(frozen=True)
class Disks:
    """Disks of the control members of a running fleet."""

    system: test_fleet.System

    async def fill(self, member: fleet.Vm) -> None:
        """Let a disk be full until its member has failed, and a while more."""
        failures = self._count(member, 'disk failed')
        returns = self._count(member, 'disk works again')
        flag = self.system.fleet.fault_folder(member) / 'full'
        flag.touch()
        await self._wait_for(member, 'disk failed', failures + 1)
        await asyncio.sleep(FULL_SECONDS)
        flag.unlink()
        await self._wait_for(member, 'disk works again', returns + 1)
        await asyncio.sleep(SETTLE_SECONDS)

    def leader(self) -> fleet.Vm:
        """Return the member that was elected last."""
        elections = {
            self._last_election(member): member
            for member in self.system.fleet.members
        }
        return elections[max(elections)]

    async def _wait_for(self, member: fleet.Vm, event: str, count: int) -> None:
        async def is_logged() -> bool:
            return self._count(member, event) >= count

        await self.system.wait_until(is_logged, MEMBER_SECONDS)

    def _count(self, member: fleet.Vm, event: str) -> int:
        log = self.system.fleet.read_log(member)
        return log.count(f'"message": "{event}"')

    def _last_election(self, member: fleet.Vm) -> str:
        times = [
            line.partition('"time": "')[2][: len('2026-01-01 00:00:00,000')]
            for line in self.system.fleet.read_log(member).splitlines()
            if '"message": "leading"' in line
        ]
        return max(times, default='')


@contextlib.asynccontextmanager
async def steady_load(system: test_fleet.System) -> abc.AsyncIterator[None]:
    """Send orders through all entries until the block ends."""

    async def send() -> None:
        while True:
            for entry in range(ENTRIES):
                await system.post('/order/1', entry)
                await asyncio.sleep(LOAD_PAUSE_SECONDS)

    task = asyncio.create_task(send())
    try:
        yield
    finally:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task


async def assert_acknowledged(
    system: test_fleet.System,
    method: str,
    url: str,
    body: str | None = None,
) -> None:
    """Assert that a member acknowledges an order, which may be repeated."""

    async def is_acknowledged() -> bool:
        return await outside.send_request(url, method, body) == 200

    await system.wait_until(is_acknowledged, ACKNOWLEDGED_SECONDS)


async def assert_member_acknowledges(
    system: test_fleet.System, number: int, address: str
) -> None:
    """Assert that one member acknowledges an order of each kind."""
    await assert_acknowledged(
        system,
        'PUT',
        f'http://{address}/api/configuration',
        json.dumps(fleet_traffic.configuration(10 + number)),
    )
    evacuation = f'http://{address}/api/evacuate/z2'
    await assert_acknowledged(system, 'POST', evacuation, '')
    await assert_acknowledged(system, 'DELETE', evacuation)
    spares = [one for one in system.replicas if one.service == SPARE_SERVICE]
    leaving, draining = spares[2 * number : 2 * number + 2]
    leaving.control_addresses = []
    await assert_acknowledged(
        system, 'DELETE', f'http://{address}/api/replicas/{leaving.name}'
    )
    draining.control_addresses = [address]
    draining.state = 'draining'
    await system.wait_until(draining.send_heartbeat, ACKNOWLEDGED_SECONDS)


async def assert_usage_is_reported(system: test_fleet.System) -> None:
    """Assert that the usage of each entry reaches the reports."""
    seconds = fleet.USAGE_WINDOW_SECONDS
    window = int(time.time() // seconds) + 1
    await asyncio.sleep((window + WINDOW_MARGIN) * seconds - time.time())
    sent = ENTRIES * REQUESTS_PER_ENTRY
    for number in range(sent):
        answer = await system.post('/order/1', number % ENTRIES)
        assert answer.code == 200

    async def is_reported() -> bool:
        reported = sum(
            reports[-1].counts.get('tenant-1', 0)
            for index, reports in system.reports.received.items()
            if index >= window
        )
        return reported == sent

    await system.wait_until(is_reported, REPORTED_SECONDS)


async def test_all_is_acknowledged_after_full_disks_in_turn(
    tmp_path: pathlib.Path,
) -> None:
    # Guards against clients that keep to a member that can acknowledge nothing:
    # one that ended as its disk was full, and whose connections outlived it.
    async with test_fleet.run_system(
        tmp_path,
        replicas_with_spares,
        members=len(DISKS) + 1,
        entries=ENTRIES,
        # It redirects its callers to the others.
        diskless=[len(DISKS)],
    ) as system:
        disks = Disks(system)
        leader = disks.leader()
        members = [system.fleet.members[number] for number in DISKS]
        followers = [member for member in members if member != leader]
        async with steady_load(system):
            for member in (*followers, leader):
                await disks.fill(member)
        for number, address in enumerate(system.fleet.control_addresses):
            await assert_member_acknowledges(system, number, address)
        await assert_usage_is_reported(system)
