"""Run the programs of the platform adapter against the platform's stand-ins.

The programs use the platform's addresses, headers and document format.
"""

import asyncio
import contextlib
import dataclasses
import json
import pathlib
import random
import signal
import typing
from collections import abc

import pytest
from tornado import httpclient

from bench import fleet, fleet_traffic
from standins import fleet as outside

START_SECONDS = 20.0
IN_FORCE_SECONDS = 2.0
REVOCATION_SECONDS = 5.0


@dataclasses.dataclass
class System:
    """A running fleet with its stand-ins.

    `attempts` counts the requests sent, to give each an attempt id.
    """

    fleet: fleet.Fleet
    replicas: list[outside.Replica]
    reports: outside.UsageReportServer
    attempts: int = 0

    async def put(self, configuration: dict[str, typing.Any]) -> int:
        """Put a configuration; return the first status, or 0 if none came."""
        body = json.dumps(configuration)
        for address in self.fleet.control_addresses:
            url = f'http://{address}/api/configuration'
            status = await outside.send_request(url, 'PUT', body)
            if status:
                return status
        return 0

    async def post(
        self,
        path: str,
        entry: int = 0,
        key: str = 'key-1',
    ) -> httpclient.HTTPResponse:
        """Post an empty object through an entry, as one attempt."""
        self.attempts += 1
        request = httpclient.HTTPRequest(
            f'http://{self.fleet.caller_address(entry)}{path}',
            method='POST',
            body='{}',
            headers={
                'Host': 'a.example',
                'Authorization': f'Token {key}',
                outside.ATTEMPT_HEADER: f'attempt-{self.attempts}',
                'Cranberryrill-Deadline-Ms': '4000',
            },
            request_timeout=6,
        )
        client = httpclient.AsyncHTTPClient()
        return await client.fetch(request, raise_error=False)

    async def wait_until(
        self,
        condition: abc.Callable[[], abc.Awaitable[bool]],
        seconds: float,
    ) -> None:
        """Wait for a condition; raise `TimeoutError` after `seconds`."""
        async with asyncio.timeout(seconds):
            while not await condition():
                await asyncio.sleep(0.05)

    async def is_ready(self) -> bool:
        """Return whether each entry is ready and answers an order."""
        statuses = [
            await outside.send_request(
                f'http://{self.fleet.readiness_address(number)}/api/readiness',
                'GET',
            )
            for number in range(len(self.fleet.entries))
        ]
        if set(statuses) != {200}:
            return False
        answers = [
            await self.post('/order/1', number)
            for number in range(len(self.fleet.entries))
        ]
        return all(answer.code == 200 for answer in answers)


@pytest.fixture
async def system(tmp_path: pathlib.Path) -> abc.AsyncIterator[System]:
    async with run_system(tmp_path, two_replicas_each) as started:
        yield started


def two_replicas_each(control_addresses: list[str]) -> list[outside.Replica]:
    return [
        outside.Replica(f'i-{service}-{number}', service, control_addresses)
        for service in ('model', 'desk')
        for number in range(2)
    ]


@contextlib.asynccontextmanager
async def run_system(
    folder: pathlib.Path,
    make_replicas: abc.Callable[[list[str]], list[outside.Replica]],
    heartbeat_ms: int = fleet.HEARTBEAT_MS,
    **shape: typing.Any,
) -> abc.AsyncIterator[System]:
    """Run a fleet of this shape with its stand-ins until the block ends.

    `make_replicas` takes the addresses of the control members, which expect a
    heartbeat every `heartbeat_ms`.
    """
    reports = outside.UsageReportServer()
    reports.start()
    running = fleet.Fleet(
        folder,
        random.Random(),
        outside=f'127.0.0.1:{reports.port}',
        **shape,
    )
    running.set_heartbeat(heartbeat_ms)
    replicas = make_replicas(running.control_addresses)
    heartbeats = []
    try:
        running.start_all()
        for replica in replicas:
            replica.start()
            heartbeats.append(asyncio.create_task(replica.run_heartbeats()))
        system = System(running, replicas, reports)
        await system.wait_until(
            lambda: accepts(system, fleet_traffic.configuration(3)),
            START_SECONDS,
        )
        await system.wait_until(system.is_ready, START_SECONDS)
        yield system
    finally:
        for task in heartbeats:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
        running.stop()
        for replica in replicas:
            replica.stop()


async def accepts(system: System, configuration: dict[str, typing.Any]) -> bool:
    """Put a configuration; return whether it was accepted."""
    return await system.put(configuration) == 200


async def test_answers_carry_the_signature_of_their_replica(
    system: System,
) -> None:
    stream = await system.post('/stream/1')
    assert stream.code == 200
    assert stream.headers[outside.SIGNATURE_HEADER].startswith('signed-i-model')
    assert stream.body.count(b'data: piece') == 4
    plain = await system.post('/order/1', 1)
    assert plain.body.startswith(b'done by i-desk')
    handled = [
        request
        for replica in system.replicas
        for request in replica.handled_requests
    ]
    assert {request.organisation for request in handled} == {'tenant-1'}
    assert not any(replica.received_keys for replica in system.replicas)
    assert (await system.post('/order/1', key='wrong')).code == 401
    assert (await system.post('/none/1')).code == 404


async def test_withdrawn_key_is_refused_and_invalid_document_changes_nothing(
    system: System,
) -> None:
    invalid = fleet_traffic.configuration(9)
    invalid['routes'][0]['service'] = 'none'
    assert await system.put(invalid) == 400
    assert (
        await system.put(fleet_traffic.configuration(5, keys=('key-2',))) == 200
    )
    await asyncio.sleep(IN_FORCE_SECONDS)
    for entry in range(2):
        assert (await system.post('/order/1', entry)).code == 401
        other = await system.post('/order/1', entry, key='key-2')
        assert other.code == 200
    # An older version is acknowledged and changes nothing.
    assert await system.put(fleet_traffic.configuration(4)) == 200
    url = f'http://{system.fleet.control_addresses[0]}/api/configuration'
    client = httpclient.AsyncHTTPClient()
    read = json.loads((await client.fetch(url)).body)
    assert read == fleet_traffic.configuration(5, keys=('key-2',))


async def test_withdrawn_key_is_refused_on_an_anonymous_route(
    system: System,
) -> None:
    # Failed when a withdrawn key counted as none where none is needed.
    for version, keys in ((8, ('key-1', 'key-2')), (9, ('key-2',))):
        changed = fleet_traffic.configuration(version, keys=keys)
        for route in changed['routes']:
            route['allowAnonymous'] = True
        assert await system.put(changed) == 200
        await asyncio.sleep(IN_FORCE_SECONDS)
        expected = 200 if 'key-1' in keys else 401
        for path in ('/order/1', '/check/1', '/stream/1'):
            assert (await system.post(path)).code == expected


async def test_draining_replica_receives_no_new_requests(
    system: System,
) -> None:
    leaving = system.replicas[0]
    leaving.state = 'draining'
    assert await leaving.send_heartbeat()
    await asyncio.sleep(IN_FORCE_SECONDS)
    before = len(leaving.handled_requests)
    for number in range(10):
        assert (await system.post('/stream/1', number % 2)).code == 200
    assert len(leaving.handled_requests) == before


async def test_lost_disk_and_killed_members_lose_no_configuration(
    system: System,
) -> None:
    first, *others = system.fleet.members
    system.fleet.processes_by_name[first.name].kill()
    system.fleet.delete_data(first)
    system.fleet.start(first)
    await system.wait_until(
        lambda: accepts(system, fleet_traffic.configuration(6)),
        START_SECONDS,
    )
    await asyncio.sleep(IN_FORCE_SECONDS * 2)
    # The member that lost its disk counts towards a majority again, so
    # another one may be lost.
    system.fleet.processes_by_name[others[0].name].kill()
    await system.wait_until(
        lambda: accepts(system, fleet_traffic.configuration(7)),
        START_SECONDS,
    )
    for vm in system.fleet.members:
        if system.fleet.processes_by_name[vm.name].is_running():
            system.fleet.processes_by_name[vm.name].kill()
    for vm in system.fleet.members:
        system.fleet.start(vm)
    read: dict[str, typing.Any] = {}

    async def is_read() -> bool:
        url = f'http://{system.fleet.control_addresses[1]}/api/configuration'
        client = httpclient.AsyncHTTPClient()
        with contextlib.suppress(OSError, httpclient.HTTPError):
            answer = await client.fetch(url)
            read.update(json.loads(answer.body))
        return bool(read)

    await system.wait_until(is_read, START_SECONDS)
    assert read['version'] == 7
    await system.wait_until(system.is_ready, START_SECONDS)


async def test_planned_stop_of_an_entry_loses_no_request(
    system: System,
) -> None:
    for replica in system.replicas:
        replica.work_seconds = 0.4
    waiting = [asyncio.create_task(system.post('/order/1')) for _ in range(10)]
    await asyncio.sleep(0.1)
    process = system.fleet.processes_by_name[system.fleet.entries[0].name]
    process.send(signal.SIGTERM)
    answers = await asyncio.gather(*waiting)
    assert {answer.code for answer in answers} == {200}
    url = f'http://{system.fleet.readiness_address(0)}/api/readiness'
    assert await outside.send_request(url, 'GET') != 200
    assert await asyncio.to_thread(process.wait) == 0


async def test_usage_is_reported_once_and_exactly(system: System) -> None:
    for number in range(40):
        assert (await system.post('/order/1', number % 2)).code == 200
    handled = sum(len(replica.handled_requests) for replica in system.replicas)

    async def is_reported() -> bool:
        received = system.reports.received
        window_counts = [reports[0].counts for reports in received.values()]
        return (
            sum(by_tenant.get('tenant-1', 0) for by_tenant in window_counts)
            >= handled
        )

    await system.wait_until(is_reported, START_SECONDS)
    received = system.reports.received
    for window in received:
        assert len({str(report.counts) for report in received[window]}) == 1
    window_counts = [reports[0].counts for reports in received.values()]
    assert (
        sum(by_tenant.get('tenant-1', 0) for by_tenant in window_counts)
        == handled
    )


async def test_vm_without_a_disk_redirects_its_callers(
    tmp_path: pathlib.Path,
) -> None:
    async with run_system(
        tmp_path,
        two_replicas_each,
        members=4,
        diskless=frozenset((0, 3)),
    ) as system:
        for number in (0, 3):
            address = system.fleet.control_addresses[number]
            url = f'http://{address}/api/configuration'
            body = json.dumps(fleet_traffic.configuration(10 + number))
            assert await outside.send_request(url, 'PUT', body) == 200
            client = httpclient.AsyncHTTPClient()
            read = json.loads((await client.fetch(url)).body)
            assert read['version'] == 10 + number
        # Entries also use replicas that send heartbeats only to such a VM.
        for replica in system.replicas:
            replica.control_addresses = [system.fleet.control_addresses[0]]
            assert await replica.send_heartbeat()
        assert (await system.post('/order/1')).code == 200
