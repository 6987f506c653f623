"""A planned stop of an entry refuses what it can't end in time."""

import asyncio
import signal

from tests.system import test_fleet

system = test_fleet.system


async def test_late_request_of_a_planned_stop_is_refused_before_it_runs(
    system: test_fleet.System,
) -> None:
    # Another operator's processes took requests late in the grace, passed them
    # on and cut them at its end.
    def handled_count() -> int:
        return sum(len(one.handled_requests) for one in system.replicas)

    for replica in system.replicas:
        replica.work_seconds = 2.9
    handled_before = handled_count()
    process = system.fleet.processes_by_name[system.fleet.entries[0].name]
    process.send(signal.SIGTERM)
    await asyncio.sleep(2.0)
    # Keeps the process from ending early.
    in_time = [asyncio.create_task(system.post('/order/1'))]
    await asyncio.sleep(1.8)
    in_time.append(asyncio.create_task(system.post('/order/1')))
    await asyncio.sleep(0.9)
    assert handled_count() == handled_before + 2
    late = await system.post('/order/1')
    assert late.code == 503
    assert float(late.headers['Retry-After']) < 1
    assert handled_count() == handled_before + 2
    assert [(await one).code for one in in_time] == [200, 200]
