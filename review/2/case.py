# flake8: noqa
"""All control members are killed after a replica has left; a beat of it is late."""

import asyncio
import os
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lib import outside, small_fleet

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
CONTACT_SECONDS = 3.0
DRAIN_SECONDS = 2.0
# After the DELETE; "back within a second".
KILL_AFTER_SECONDS = 0.8
DOWN_SECONDS = 0.6
# How late the last heartbeat arrives.
LATE_SECONDS = 5.0
LINGER_SECONDS = 9.0
KEY = 'n2ctnfzs989anu6wsjnb'


class SlowLink:
    """Proxy to one address that holds what it gets for some seconds."""

    def __init__(self, target, record):
        self.target = target
        self.record = record
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        return self.server.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        _, headers = head = await outside.read_head(reader)
        body = await outside.read_body(reader, headers)
        await asyncio.sleep(LATE_SECONDS)
        method, path, _ = head[0].split()
        status, _, _ = await outside.call(
            self.target,
            method,
            path,
            {'Content-Type': 'application/json'},
            body,
        )
        self.record(f'late {method} {path} arrives and is answered {status}')
        writer.close()


async def run(fleet, record):
    machines = range(len(fleet.hosts))
    controls = [fleet.control(n) for n in machines]
    replicas = [
        outside.Replica(f'i-{n}', 'parts-desk', controls, record)
        for n in range(3)
    ]
    for replica in replicas:
        await replica.start()
    fleet.start_all()
    content = outside.configuration(
        7,
        [outside.route('part-order', 'unsafe', 'parts-desk')],
        [outside.service('parts-desk')],
        [{'name': 'tenant-a', 'apiKeys': [KEY], 'priority': 1}],
    )
    if await outside.put_configuration(controls, content) is None:
        return 2
    for replica in replicas:
        replica.start_beats()
    sent = {}

    async def order(machine):
        attempt = f'{random.getrandbits(64):016x}'
        sent[attempt] = time.monotonic()
        record(f'send {attempt} at front-{machine}')
        status, _, _ = await outside.call(
            fleet.front(machine),
            'POST',
            '/part-order/1',
            {
                'Cranberryrill-Attempt-Id': attempt,
                'Cranberryrill-Deadline-Ms': '1500',
                'Authorization': f'Token {KEY}',
            },
            b'{"part":1}',
            1.5,
        )
        record(f'answer {attempt} {status}')
        return status

    async def all_serve():
        return all([await order(machine) == 200 for machine in machines])

    if not await outside.wait_until(all_serve, 30):
        return 2
    await asyncio.sleep(CONTACT_SECONDS + 2)

    async def traffic(seconds):
        tasks = []
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            tasks.append(
                asyncio.create_task(order(random.choice(list(machines))))
            )
            await asyncio.sleep(0.04)
        await asyncio.gather(*tasks)

    leaving = replicas[0]
    link = SlowLink(controls[0], record)
    slow = await link.start()
    load = asyncio.create_task(traffic(LINGER_SECONDS + 4))
    # The last heartbeat is late; after a second the next member is called.
    leaving.stop_beats()
    leaving.controls = [slow, controls[1]]
    if await leaving.beat() != controls[1]:
        return 2
    record(
        f'heartbeat {leaving.sequence} of {leaving.name} answered by front-1'
    )
    await asyncio.sleep(0.3)
    status, _, _ = await outside.call(
        controls[1], 'DELETE', f'/api/replicas/{leaving.name}'
    )
    acknowledged = time.monotonic()
    stable = acknowledged
    record(f'DELETE {leaving.name} answered {status} by front-1')
    if status != 200:
        return 2
    if TROUBLE:
        await asyncio.sleep(KILL_AFTER_SECONDS)
        for machine in machines:
            fleet.kill(machine, 'control')
        record('kill the control processes of all machines')
        await asyncio.sleep(DOWN_SECONDS)
        for machine in machines:
            fleet.start(machine, 'control')
        record('start them again')
        stable = time.monotonic() + CONTACT_SECONDS
    await asyncio.sleep(acknowledged + LINGER_SECONDS - time.monotonic())
    leaving.server.close()
    record(f'{leaving.name} ends')
    await load
    late = [
        (at - acknowledged, attempt)
        for at, attempt in leaving.ran
        if at > acknowledged + DRAIN_SECONDS and sent[attempt] > stable
    ]
    for seconds, attempt in late:
        record(f'late: {attempt} reached {leaving.name} {seconds:.3f} s after')
    record(f'{len(late)} requests reached {leaving.name} too late')
    print(
        f'{len(late)} requests reached a replica later than 2 s after it left'
    )
    return 1 if late else 0


def main():
    record = outside.Record(FOLDER / 'record.txt')
    fleet = small_fleet.SmallFleet()
    try:
        return asyncio.run(asyncio.wait_for(run(fleet, record), 110))
    except (OSError, TimeoutError) as error:
        print(f'could not run: {error}')
        return 2
    finally:
        fleet.stop()
        record.close()


if __name__ == '__main__':
    sys.exit(main())
