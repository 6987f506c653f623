# flake8: noqa
"""Two routes share host and prefix; one writes the host in capitals."""

import asyncio
import json
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib3'))

import system  # noqa: E402

ORDERS = 20
IN_FORCE_SECONDS = 2.5


async def send_orders(deployment, name):
    """Send orders, as the first route's clients do; return their ids."""
    attempts = [f'{name}{number:08x}' for number in range(ORDERS)]
    for attempt in attempts:
        status, _, _ = await system.call(
            deployment.entries[0].address(27),
            'POST',
            '/order/1',
            b'{}',
            named=system.HOST,
            fields={'Cranberryrill-Attempt-Id': attempt},
        )
        deployment.record.line(f'{attempt} for {system.HOST}: {status}')
    return attempts


async def run():
    """Return 1 if the rule was broken, 0 if it held."""
    record = system.Record(FOLDER)
    deployment = system.System(record)
    desk = system.Replica(deployment, 'desk-one', 'desk')
    other = system.Replica(deployment, 'other-one', 'other')
    try:
        deployment.start()
        for replica in (desk, other):
            await replica.start()
        own_route = system.route('order', 'unsafe', 'desk')
        services = ['desk', 'other']
        valid = system.configuration(3, [own_route], services)
        if not await deployment.put(valid):
            return 2
        if not await deployment.wait_ready():
            return 2
        await asyncio.sleep(4)
        before = await send_orders(deployment, 'before')
        if not set(before) <= set(desk.ran):
            return 2
        acknowledged = False
        if system.with_trouble():
            second = system.route('order', 'unsafe', 'other')
            second |= {'name': 'r-second', 'host': system.HOST.upper()}
            changed = system.configuration(5, [own_route, second], services)
            status, _, body = await system.call(
                deployment.control_addresses()[0],
                'PUT',
                '/api/configuration',
                json.dumps(changed).encode(),
            )
            record.line(f'configuration 5, two routes in one place: {status}')
            if not status or status >= 500:
                return 2
            acknowledged = status == 200
        await asyncio.sleep(IN_FORCE_SECONDS)
        after = await send_orders(deployment, 'after')
        wrong = set(after) & set(other.ran)
        text = (
            f'two routes in one place acknowledged: {acknowledged}; of '
            f'{len(after)} orders after it, {len(set(after) & set(desk.ran))} '
            f'were run by the service of their route, {len(wrong)} by the other'
        )
        record.line(text)
        print(text)
        return int(acknowledged and bool(wrong))
    finally:
        deployment.stop()


if __name__ == '__main__':
    sys.exit(asyncio.run(run()))
