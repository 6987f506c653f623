# flake8: noqa
"""A replica crashes, starts again under its id and leaves by DELETE."""

import asyncio
import json
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib3'))

import system  # noqa: E402

REPLICAS = 7
CLIENTS = 6
DRAIN_SECONDS = 2.0
DOWN_SECONDS = 1.0
# How long the network holds the first heartbeat after the restart.
LATE_SECONDS = 2.5
LEAVES_AFTER_SECONDS = 0.8
# `drainTimeoutMs`, and a little longer.
SERVES_ON_SECONDS = 4.5
END_SECONDS = 1.5


class Leaver(system.Replica):
    """Replica that notes when requests arrive."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.arrivals = []

    async def answer(self, first, headers, body, reader, writer):
        """Note the time, and answer as usual."""
        attempt = headers.get('cranberryrill-attempt-id', '')
        self.arrivals.append((time.monotonic(), attempt))
        await super().answer(first, headers, body, reader, writer)

    def beat_content(self):
        """Return the next heartbeat."""
        self.sequence += 1
        return json.dumps(
            {
                'service': self.service,
                'address': f'127.0.0.1:{self.port}',
                'zone': 'zone-a',
                'version': 'v1',
                'slots': self.slots,
                'state': 'ready',
                'coldRemainingMs': 0,
                'stage': 'both',
                'models': [],
                'sequence': self.sequence,
                'born': self.born,
            }
        ).encode()

    async def crash(self):
        """End at once, without a word."""
        self.stop()
        for writer in list(self.writers):
            writer.transport.abort()
        self.record.line(f'{self.id} crashes')

    async def start_again(self):
        """Start under the same id, at the same address, with nothing known."""
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.server = await asyncio.start_server(
            self.serve, '127.0.0.1', self.port
        )
        self.record.line(f'{self.id} starts again, born {self.born}')


async def hold_heartbeat(replica, content):
    """Pass the first heartbeat on late, as a proxy on its way."""
    await asyncio.sleep(LATE_SECONDS)
    address = replica.system.control_addresses()[0]
    status, _, _ = await system.call(
        address, 'PUT', f'/api/replicas/{replica.id}', content
    )
    replica.record.line(f'late heartbeat of {replica.id} arrives: {status}')


async def leave(replica):
    """Announce the end at another member; return when it was acknowledged."""
    while True:
        for address in replica.system.control_addresses()[1:]:
            status, _, _ = await system.call(
                address, 'DELETE', f'/api/replicas/{replica.id}'
            )
            if status == 200:
                replica.record.line(f'DELETE of {replica.id}: 200')
                return time.monotonic()


async def send_orders(deployment, number, until, statuses):
    """Send one order after another, at the entries by turns."""
    count = 0
    while time.monotonic() < until():
        count += 1
        attempt = f'{number:04x}{count:012x}'
        entry = deployment.entries[(number + count) % len(deployment.entries)]
        status, _, _ = await system.call(
            entry.address(27),
            'POST',
            '/order/1',
            b'{}',
            named=system.HOST,
            fields={'Cranberryrill-Attempt-Id': attempt},
        )
        statuses[status] = statuses.get(status, 0) + 1
        await asyncio.sleep(0.02)


async def run():
    """Return 1 if the rule was broken, 0 if it held."""
    record = system.Record(FOLDER)
    deployment = system.System(record, entries=2)
    replicas = [
        Leaver(deployment, f'desk-{n}', 'desk', work_s=0.03)
        for n in range(REPLICAS)
    ]
    end_at = time.monotonic() + 100
    statuses = {}
    try:
        deployment.start()
        for replica in replicas:
            await replica.start()
        if not await deployment.put(
            system.configuration(
                3, [system.route('order', 'unsafe', 'desk')], ['desk']
            )
        ):
            return 2
        if not await deployment.wait_ready():
            return 2
        # Longer than `contactMs`: all machines are in touch.
        await asyncio.sleep(4)
        clients = [
            asyncio.create_task(
                send_orders(deployment, n, lambda: end_at, statuses)
            )
            for n in range(CLIENTS)
        ]
        await asyncio.sleep(1.5)
        leaver = replicas[0]
        held = None
        if system.with_trouble():
            await leaver.crash()
            await asyncio.sleep(DOWN_SECONDS)
            await leaver.start_again()
            held = asyncio.create_task(
                hold_heartbeat(leaver, leaver.beat_content())
            )
            await asyncio.sleep(LEAVES_AFTER_SECONDS)
        else:
            leaver.task.cancel()
        left_at = await leave(leaver)
        await asyncio.sleep(left_at + SERVES_ON_SECONDS - time.monotonic())
        leaver.server.close()
        record.line(f'{leaver.id} exits')
        end_at = time.monotonic() + END_SECONDS
        await asyncio.gather(*clients)
        if held is not None:
            await held
        late = [
            at - left_at
            for at, _ in leaver.arrivals
            if at > left_at + DRAIN_SECONDS
        ]
        span = f', {min(late):.2f} to {max(late):.2f} s after' if late else ''
        text = (
            f'orders answered {statuses}; {len(late)} reached {leaver.id} over '
            f'{DRAIN_SECONDS} s after its DELETE was acknowledged{span}'
        )
        record.line(text)
        print(text)
        if not statuses.get(200):
            return 2
        return int(bool(late))
    finally:
        deployment.stop()


if __name__ == '__main__':
    sys.exit(asyncio.run(run()))
