# flake8: noqa
"""A key is taken away; its holder goes on using it on a route that needs no key."""

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
REVOCATION_SECONDS = 5.0
KEYS = ('n2ctnfzs989anu6wsjnb', 'anfqasnmgkcuyj8pjbvk')


def configuration(version, keys):
    return outside.configuration(
        version,
        [
            outside.route('part-order', 'unsafe', 'parts-desk'),
            outside.route(
                'stock-lookup', 'safe', 'parts-desk', allowAnonymous=True
            ),
        ],
        [outside.service('parts-desk')],
        [{'name': 'tenant-a', 'apiKeys': list(keys), 'priority': 1}],
    )


async def run(fleet, record):
    machines = range(len(fleet.hosts))
    controls = [fleet.control(n) for n in machines]
    replicas = [
        outside.Replica(f'i-{n}', 'parts-desk', controls, record)
        for n in range(2)
    ]
    for replica in replicas:
        await replica.start()
    fleet.start_all()
    if (
        await outside.put_configuration(controls, configuration(7, KEYS))
        is None
    ):
        return 2
    for replica in replicas:
        replica.start_beats()

    async def send(machine, route, key):
        attempt = f'{random.getrandbits(64):016x}'
        record(f'send {attempt} to /{route}/ at front-{machine} with key {key}')
        status, _, _ = await outside.call(
            fleet.front(machine),
            'POST' if route == 'part-order' else 'GET',
            f'/{route}/1',
            {
                'Cranberryrill-Attempt-Id': attempt,
                'Cranberryrill-Deadline-Ms': '1500',
                'Authorization': f'Token {key}',
            },
            b'{"part":1}' if route == 'part-order' else b'',
            1.5,
        )
        record(f'answer {attempt} {status}')
        return attempt, status

    async def all_serve():
        for machine in machines:
            for route in ('part-order', 'stock-lookup'):
                if (await send(machine, route, KEYS[0]))[1] != 200:
                    return False
        return True

    if not await outside.wait_until(all_serve, 30):
        return 2
    kept = KEYS[1:] if TROUBLE else KEYS
    acknowledged = await outside.put_configuration(
        controls, configuration(9, kept)
    )
    if acknowledged is None:
        return 2
    record(f'version 9 acknowledged, with the keys {kept}')
    await asyncio.sleep(REVOCATION_SECONDS + 1)
    record('revocationMs is over')
    late = []
    for _ in range(5):
        for machine in machines:
            for route in ('part-order', 'stock-lookup'):
                attempt, status = await send(machine, route, KEYS[0])
                late.append((attempt, route, status))
    ran = {attempt for replica in replicas for _, attempt in replica.ran}
    broken = [one for one in late if one[0] in ran] if TROUBLE else []
    for attempt, route, status in broken:
        record(
            f'{attempt} ran on {route} with a key taken away, status {status}'
        )
    print(f'{len(broken)} of {len(late)} requests with a key taken away ran')
    if not TROUBLE and any(status != 200 for _, _, status in late):
        return 2
    return 1 if broken else 0


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
