"""An odd entry of another writer ends no process and names no replica."""

import asyncio
import json
import time
import typing
from urllib import parse as url_parse

import pytest

from bench import fleet
from standins import fleet as outside
from tests.system import test_fleet

system = test_fleet.system
IN_FORCE_SECONDS = 1.0
REQUEST_COUNT = 40
UNUSABLE_IDS = ('odd\r\nX-Odd: 1', 'odd \u00fc', 'x' * 1000)
OPEN_OBJECTS = '{"a":' * 100_000
CLOSED_OBJECTS = '}' * 100_000
LONG_NUMBER = '9' * 5000
DEEP = f'{OPEN_OBJECTS}1{CLOSED_OBJECTS}'


def odd_heartbeats(replica: outside.Replica) -> list[tuple[str, str]]:
    """Return ids and bodies that each differ from a sound heartbeat."""
    sound: dict[str, typing.Any] = {
        'service': replica.service,
        'address': f'127.0.0.1:{replica.port}',
        'zone': 'z1',
        'version': 'v1',
        'slots': 8,
        'state': 'ready',
        'coldRemainingMs': 0,
        'born': replica.started_unix_ms,
        'sequence': 1,
    }
    odd_fields: list[dict[str, typing.Any]] = [
        {'address': 'odd host/?:80'},
        {'address': '\u00fc.example:80'},
        {'address': '127.0.0.1:70000'},
        {'address': f'127.0.0.1:{LONG_NUMBER}'},
        {'slots': 10**30},
        {'sequence': 2**70},
        {'coldRemainingMs': 1e300},
        {'born': 2**62},
        {'service': ['deep', ['deeper']]},
        {'zone': '\ud800'},
        {'state': 'resting'},
    ]
    bodies = [json.dumps({**sound, **fields}) for fields in odd_fields]
    bodies += [DEEP, f'{{"slots":{LONG_NUMBER}}}', '\x00', '[]']
    named = [(f'odd-{number}', body) for number, body in enumerate(bodies)]
    return named + [(odd_id, json.dumps(sound)) for odd_id in UNUSABLE_IDS]


@pytest.mark.parametrize('member', [0, 2])
async def test_odd_heartbeats_are_refused_and_the_others_hold(
    system: test_fleet.System, member: int
) -> None:
    # Failed when an address that no request can be sent to was taken: requests
    # placed there were cut without an answer.
    address = system.fleet.control_addresses[member]
    for odd_id, body in odd_heartbeats(system.replicas[2]):
        path = url_parse.quote(odd_id, safe='')
        url = f'http://{address}/api/replicas/{path}'
        assert await outside.send_request(url, 'PUT', body) == 400
        if odd_id in UNUSABLE_IDS:
            assert await outside.send_request(url, 'DELETE') == 400
    await asyncio.sleep(IN_FORCE_SECONDS)
    answers = [
        await system.post(path, number % 2)
        for number in range(REQUEST_COUNT // 2)
        for path in ('/order/1', '/stream/1')
    ]
    assert {answer.code for answer in answers} == {200}
    await follow_changes(system)
    for vm in (*system.fleet.members, *system.fleet.entries):
        assert is_running(system.fleet, vm)
        assert 'failed inside' not in system.fleet.read_log(vm)


async def follow_changes(system: test_fleet.System) -> None:
    """Check that entries still follow the list of replicas."""
    added = outside.Replica('i-added', 'desk', system.fleet.control_addresses)
    added.start()
    try:
        deadline = time.monotonic() + test_fleet.START_SECONDS
        while not added.handled_requests:
            assert time.monotonic() < deadline
            assert await added.send_heartbeat()
            assert (await system.post('/order/1')).code == 200
    finally:
        added.stop()


def is_running(running: fleet.Fleet, vm: fleet.Vm) -> bool:
    return running.processes_by_name[vm.name].is_running()
