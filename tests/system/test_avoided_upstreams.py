"""Entries avoid upstreams whose responses ask for it, each by itself."""

import asyncio
import pathlib
import random
import time

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
