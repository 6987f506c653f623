"""Entries avoid upstreams whose responses ask for it, each by itself."""

import asyncio
import pathlib
import random
import time

import pytest

from standins import fleet as outside
from tests.system import test_fleet, test_named_limits

DRAIN_SECONDS = 2.0
ENTRIES = 3
LOAD_SECONDS = 4.0


async def test_upstream_that_says_that_it_leaves_gets_nothing_new(
    tmp_path: pathlib.Path,
) -> None:
    # Failed when nothing read the header: its heartbeats still call it ready.
    async with test_fleet.run_system(
        tmp_path, test_fleet.two_replicas_each, entries=ENTRIES
    ) as system:
        callers = test_named_limits.Callers(system, random.Random(1), ENTRIES)
        leaving = system.replicas[0]
        await callers.run(1)
        leaving.says_leaving = True
        # Each entry is told with the next response that it passes on.
        await callers.run(1)
        told_at = time.time()
        running = asyncio.create_task(callers.run(LOAD_SECONDS))
        # A new leader and its view of the replicas change nothing.
        for vm in system.fleet.members:
            system.fleet.processes_by_name[vm.name].kill()
            system.fleet.start(vm)
        await running
        late = [at for at in leaving.arrived_at if at > told_at + DRAIN_SECONDS]
        assert not late
        assert set(callers.statuses) == {200}
        # The next start at the same address and under the same id is served.
        leaving.says_leaving = False
        leaving.started_unix_ms += 1
        assert await leaving.send_heartbeat()
        before = len(leaving.handled_requests)
        await callers.run(2)
        assert len(leaving.handled_requests) > before


def set_pause(replicas: list[outside.Replica], pause: str | None) -> None:
    for replica in replicas:
        replica.pause = pause


def first_of_a_pause(replica: outside.Replica, since: float) -> float:
    """Return when a replica first turned a request away."""
    return min(at for at in replica.arrived_at if at >= since)


@pytest.mark.parametrize('pause', ['0.8', '2.5'])
async def test_upstream_that_wants_nothing_gets_nothing(
    tmp_path: pathlib.Path, pause: str
) -> None:
    # Failed when no decision read `Retry-After` of an upstream's 503.
    async with test_fleet.run_system(
        tmp_path, test_fleet.two_replicas_each, entries=1
    ) as system:
        callers = test_named_limits.Callers(system, random.Random(2), 1)
        pausing = system.replicas[0]
        await callers.run(1)
        paused_at = time.time()
        pausing.pause = pause
        await callers.run(0.4)
        pausing.pause = None
        turned_away_at = first_of_a_pause(pausing, paused_at)
        await callers.run(LOAD_SECONDS)
        in_pause = [
            at
            for at in pausing.arrived_at
            if turned_away_at + 0.5 < at < turned_away_at + float(pause)
        ]
        assert len(in_pause) <= 2
        after = [
            at
            for at in pausing.arrived_at
            if at > turned_away_at + float(pause)
        ]
        assert after
        assert set(callers.statuses) == {200}


async def test_callers_are_called_back_after_the_pause_of_all(
    tmp_path: pathlib.Path,
) -> None:
    async with test_fleet.run_system(
        tmp_path, test_fleet.two_replicas_each, entries=1
    ) as system:
        desks = system.replicas[2:]
        set_pause(desks, '3')
        first = await system.post('/order/1')
        asked_at = time.time()
        assert first.code == 503
        # A second request is refused at once, and was not sent.
        before = sum(len(replica.arrived_at) for replica in desks)
        refused = await system.post('/order/1')
        assert refused.code == 503
        assert time.time() < asked_at + 1
        assert sum(len(replica.arrived_at) for replica in desks) == before
        set_pause(desks, None)
        await asyncio.sleep(float(refused.headers['Retry-After']))
        assert (await system.post('/order/1')).code == 200


async def test_short_pause_of_all_is_waited_for(tmp_path: pathlib.Path) -> None:
    async with test_fleet.run_system(
        tmp_path, test_fleet.two_replicas_each, entries=1
    ) as system:
        desks = system.replicas[2:]
        set_pause(desks, '0.5')
        assert (await system.post('/order/1')).code == 503
        set_pause(desks, None)
        answers = await asyncio.gather(
            *(system.post('/order/1') for _ in range(6))
        )
        assert {answer.code for answer in answers} == {200}
