# flake8: noqa
"""Replicas run orders and then fail part of them with 503 or 429."""

import asyncio
import collections
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib2'))

import small  # noqa: E402

CONTACT_SECONDS = small.BOUNDS['contactMs'] / 1000
# As `srv_grey` with how = "errors all" on the standard days.
FAILED_SHARE = 0.45
FAILING_SECONDS = 4.0
FAILURES = ('503 Service Unavailable', '429 Too Many Requests')
# Statuses that promise: not run, and never will be.
PROMISES = (408, 421, 429, 503)
REQUESTS_PER_SECOND = 40
RETRY_SECONDS = 0.1


class GreyReplica(small.Replica):
    """A replica that may run a request and then report a failure.

    Such a failure bears its signature and the attempt's id, and no
    `Cranberryrill-Not-Executed`: the request has run.
    """

    is_grey = False
    chance = random.Random(38)

    def __init__(self, *arguments):
        super().__init__(*arguments)
        # The content of each order that has run.
        self.orders = []

    async def answer(self, start, headers, body, writer):
        attempt = headers.get('cranberryrill-attempt-id', '')
        is_own = headers.get('cranberryrill-expect-replica') == self.name
        fails = self.is_grey and self.chance.random() < FAILED_SHARE
        if is_own:
            self.orders.append(body)
        if not is_own or not fails:
            await super().answer(start, headers, body, writer)
            return
        self.runs.append((time.monotonic(), attempt, len(body)))
        status = self.chance.choice(FAILURES)
        await asyncio.sleep(self.work_seconds)
        self.record.add(
            'run and failed', replica=self.name, attempt=attempt, status=status
        )
        signature = (
            f'Cranberryrill-Replica-Signature: {self.name}.{attempt}\r\n'
        )
        writer.write(small._response(status, attempt, b'failed', signature))


class OrderingCaller(small.Caller):
    """A client that sends an order again, once, after a promise only."""

    def __init__(self, record):
        super().__init__(record)
        self.order_count = 0

    async def order(self, entry, other):
        self.order_count += 1
        body = f'{{"order": {self.order_count}}}'.encode()
        _, status = await self.request(entry, body=body)
        if status in PROMISES:
            await asyncio.sleep(RETRY_SECONDS)
            await self.request(other, body=body)

    async def order_steadily(self, entries, per_second):
        open_orders = set()
        while True:
            pair = entries if self.order_count % 2 else entries[::-1]
            task = asyncio.create_task(self.order(*pair))
            open_orders.add(task)
            task.add_done_callback(open_orders.discard)
            await asyncio.sleep(1 / per_second)


async def case(record, trouble):
    deployment = small.Deployment()
    replicas = [
        GreyReplica(f'i-desk-{number}', 'desk', record) for number in range(4)
    ]
    caller = OrderingCaller(record)
    load = None
    try:
        deployment.start()
        await deployment.configure(small.configuration(1))
        for replica in replicas:
            await replica.start()
            replica.begin_beats([each.control for each in deployment.controls])
        await deployment.wait_ready()
        await caller.wait_served(deployment.entries)
        await asyncio.sleep(CONTACT_SECONDS)
        load = asyncio.create_task(
            caller.order_steadily(deployment.entries, REQUESTS_PER_SECOND)
        )
        await asyncio.sleep(2)
        for replica in replicas:
            replica.is_grey = trouble
        record.add('replicas are grey', grey=trouble)
        await asyncio.sleep(FAILING_SECONDS)
        for replica in replicas:
            replica.is_grey = False
        await asyncio.sleep(2)
    finally:
        if load is not None:
            load.cancel()
        for replica in replicas:
            await replica.stop()
        deployment.stop()
    run = {attempt for each in replicas for _, attempt, _ in each.runs}
    false = [
        (attempt, status)
        for attempt, status in caller.statuses.items()
        if status in PROMISES and attempt in run
    ]
    served = sum(status == 200 for status in caller.statuses.values())
    orders = collections.Counter(
        order for each in replicas for order in each.orders if order != b'{}'
    )
    doubled = sum(count > 1 for count in orders.values())
    record.add(
        'counted', all=len(caller.statuses), served=served, run=len(run),
        orders_run_twice=doubled,
    )  # fmt: skip
    if served < len(caller.statuses) / 4:
        raise small.CannotRun('too few requests are served')
    if not false:
        return []
    return [
        f'REFUSED: {len(false)} attempts of {len(caller.statuses)} were answered '
        f'with a status that promises that they have not run, and had run '
        f'(the first is {false[0][0]}, answered {false[0][1]}); {doubled} orders were '
        f'sent again by their clients and ran twice'
    ]


small.run(case, FOLDER)
