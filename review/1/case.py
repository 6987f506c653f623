# flake8: noqa
"""A replica leaves; the member that acknowledged it is killed and restarted."""

import asyncio
import os
import pathlib
import random
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lib import outside, small_fleet

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
# With HOW=stop the member gets SIGTERM, and is started again once it has ended.
SIGNAL = signal.SIGTERM if os.environ.get('HOW') == 'stop' else signal.SIGKILL
CONTACT_SECONDS = 3.0
DRAIN_SECONDS = 2.0
RESTART_SECONDS = 0.5
# The replica serves for drainTimeoutMs after the answer and "at times many
# seconds" longer.
LINGER_SECONDS = 7.0
KEY = 'n2ctnfzs989anu6wsjnb'


async def run(fleet, record):
    controls = [fleet.control(n) for n in range(len(fleet.hosts))]
    replicas = [
        outside.Replica(f'i-{n}', 'parts-desk', controls, record)
        for n in range(4)
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
        sent[attempt] = (time.monotonic(), machine)
        record(f'send {attempt} at front-{machine}')
        status, _, body = await outside.call(
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
        return all(
            [await order(machine) == 200 for machine in range(len(fleet.hosts))]
        )

    if not await outside.wait_until(all_serve, 30):
        return 2
    # All machines are in touch once nothing happened for contactMs.
    await asyncio.sleep(CONTACT_SECONDS + 2)

    async def traffic(member, seconds):
        fronts = [n for n in range(len(fleet.hosts)) if n != member]
        tasks = []
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            tasks.append(asyncio.create_task(order(random.choice(fronts))))
            await asyncio.sleep(0.04)
        await asyncio.gather(*tasks)

    async def leave(leaving, member):
        """Let a replica leave; return how many requests reached it too late."""
        load = asyncio.create_task(traffic(member, LINGER_SECONDS + 2))
        await asyncio.sleep(1)
        leaving.stop_beats()
        status, _, _ = await outside.call(
            controls[member], 'DELETE', f'/api/replicas/{leaving.name}'
        )
        if TROUBLE:
            fleet.send(member, 'control', SIGNAL)
        acknowledged = time.monotonic()
        stable = acknowledged
        record(f'DELETE {leaving.name} answered {status} by front-{member}')
        if status != 200:
            return None
        if TROUBLE:
            record(f'{SIGNAL.name} to control of front-{member}')
            await asyncio.sleep(RESTART_SECONDS)
            await asyncio.to_thread(fleet.processes[member, 'control'].wait)
            fleet.start(member, 'control')
            record(f'start control of front-{member}')
            stable = time.monotonic() + CONTACT_SECONDS
        await asyncio.sleep(acknowledged + LINGER_SECONDS - time.monotonic())
        leaving.server.close()
        record(f'{leaving.name} ends')
        await load
        # Sent by the client, and passed on, while the machines are in touch.
        late = [
            (at - acknowledged, attempt)
            for at, attempt in leaving.ran
            if at > acknowledged + DRAIN_SECONDS and sent[attempt][0] > stable
        ]
        for seconds, attempt in late:
            record(
                f'late: {attempt} reached {leaving.name} {seconds:.3f} s after'
            )
        return len(late)

    # A member that has passed the news on before it is killed proves nothing,
    # so there is a second try, with another replica and member.
    for number in range(2):
        count = await leave(replicas[number], number)
        if count is None:
            return 2
        record(f'{count} requests reached {replicas[number].name} too late')
        print(
            f'{count} requests reached a replica later than 2 s after it left'
        )
        if count:
            return 1
        await asyncio.sleep(CONTACT_SECONDS + 2)
    return 0


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
