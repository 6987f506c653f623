"""Restart every process under load without losing a request.

On SIGTERM a process finishes its open requests, and new ones are sent to
others. On a second SIGTERM it stops at once and logs how many were lost.
"""

import json
import pathlib
import signal
import threading
import time
import typing
from collections import abc

import pytest

from bench import cluster, examples, web
from standins import desk

DRAIN_DELAY_SECONDS = 1.5
# Time for which orders are sent while one agent leaves.
LEAVING_SECONDS = 3.0
TOKENS = 60
CALLERS = 4
# Four agents and two entries.
REGISTERED_PROCESSES = 6


@pytest.fixture(scope='module')
def system(
    tmp_path_factory: pytest.TempPathFactory,
) -> abc.Iterator[cluster.Cluster]:
    """Start two of each role, so that one serves while the other stops."""
    folder: pathlib.Path = tmp_path_factory.mktemp('stops')
    running = cluster.Cluster(folder)
    try:
        running.start_control()
        running.apply(examples.nivelar())
        for number in (0, 1):
            engine, order_desk = f'engine-{number}', f'desk-{number}'
            running.add_standin(engine, 'engine', model=examples.MODEL)
            running.add_agent(
                f'agent-engine-{number}', engine, target=examples.MODEL
            )
            running.add_standin(
                order_desk, 'desk', ledger=folder / f'{order_desk}.ledger'
            )
            running.add_agent(
                f'agent-desk-{number}',
                order_desk,
                target=examples.DESK,
                is_model=False,
            )
        for entry in ('entry-0', 'entry-1'):
            running.add_entry(entry, drain_delay_seconds=DRAIN_DELAY_SECONDS)
        for entry in ('entry-0', 'entry-1'):
            running.wait_ready(entry, agents=4)
        yield running
    finally:
        running.stop()


@pytest.fixture(scope='module')
def key(system: cluster.Cluster) -> str:
    issued = system.issue_key('installers')
    for entry in ('entry-0', 'entry-1'):
        system.wait_key(entry, issued)
    return issued


class Balancer:
    """Poll the readiness of the entries, as a load balancer does."""

    def __init__(self, system: cluster.Cluster) -> None:
        self.urls = [system.entry_url(f'entry-{number}') for number in (0, 1)]
        self.ready = list(self.urls)
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self) -> None:
        while not self.stopping.wait(0.3):
            ready = [url for url in self.urls if self.is_ready(url)]
            self.ready = ready or self.ready

    def is_ready(self, url: str) -> bool:
        try:
            return web.request(f'{url}/readyz').status == 200
        except OSError:
            return False


class Caller(threading.Thread):
    """Send streamed chats and orders in turn; record each failed one.

    The orders have no `Idempotency-Key`, so nothing may send them twice.
    """

    def __init__(self, balancer: Balancer, key: str, number: int) -> None:
        super().__init__()
        self.balancer = balancer
        self.key = key
        self.number = number
        self.failures: list[str] = []
        self.orders: list[str] = []
        self.chats = 0
        self.stopping = threading.Event()
        self.start()

    def run(self) -> None:
        while not self.stopping.is_set():
            ready = self.balancer.ready
            turn = self.chats + self.number
            url = ready[turn % len(ready)]
            try:
                self.chat(url)
                self.order(url)
            except (OSError, ValueError) as error:
                self.failures.append(f'{type(error).__name__} {error}')

    def chat(self, url: str) -> None:
        self.chats += 1
        body = {
            'model': examples.MODEL,
            'messages': [{'role': 'user', 'content': 'it wobbles'}],
            'max_tokens': TOKENS,
            'stream': True,
        }
        path = f'{url}/v1/chat/completions'
        reply = web.request(path, 'POST', body, self.key)
        if not reply.body.endswith(b'data: [DONE]\n\n'):
            self.failures.append(f'{reply.status} {reply.body[-300:]!r}')

    def order(self, url: str) -> None:
        name = f'order-{self.number}-{len(self.orders)}'
        self.orders.append(name)
        body = {'order': name, 'delay_seconds': 0.1}
        reply = web.request(f'{url}/orders/feet', 'POST', body, self.key)
        if reply.status != 201:
            self.failures.append(f'{reply.status} {reply.body!r}')


def executed_orders(system: cluster.Cluster) -> list[str]:
    """Return the name of each order that a desk ran."""
    return [
        json.loads(line.body)['order']
        for number in (0, 1)
        for line in desk.read_ledger(
            system.folder / f'desk-{number}.ledger',
        )
    ]


def test_rolling_restart(system: cluster.Cluster, key: str) -> None:
    balancer = Balancer(system)
    callers = [Caller(balancer, key, number) for number in range(CALLERS)]
    names = [
        *(f'agent-engine-{number}' for number in (0, 1)),
        *(f'agent-desk-{number}' for number in (0, 1)),
        *system.members,
        *('entry-0', 'entry-1'),
    ]
    try:
        for name in names:
            restart(system, name)
    finally:
        for caller in callers:
            caller.stopping.set()
        for caller in callers:
            caller.join()
        balancer.stopping.set()
        balancer.thread.join()
    failures: list[str] = []
    placed: list[str] = []
    for caller in callers:
        failures.extend(caller.failures)
        placed.extend(caller.orders)
    assert not failures
    assert sorted(executed_orders(system)) == sorted(placed)
    assert sum(caller.chats for caller in callers) > len(names)


def restart(system: cluster.Cluster, name: str) -> None:
    process = system.processes[name]
    process.send(signal.SIGTERM)
    assert process.wait() == 0
    if name.startswith('agent'):
        assert not any(
            is_serving(system, member, name) for member in system.members
        )
    process.start()
    if name in system.members:
        web.wait_until(lambda: has_caught_up(system, name), name)
        return
    web.wait_until(lambda: is_listed_everywhere(system, name), name)
    if name.startswith('entry'):
        system.wait_ready(name, agents=4)


def has_caught_up(system: cluster.Cluster, member: str) -> bool:
    status = system.status(member)
    return (
        status is not None and len(status['processes']) >= REGISTERED_PROCESSES
    )


def is_listed_everywhere(system: cluster.Cluster, name: str) -> bool:
    """Return whether every member lists the process as serving."""
    return all(is_serving(system, member, name) for member in system.members)


def is_serving(system: cluster.Cluster, member: str, name: str) -> bool:
    """Return whether a member lists the process, and not as leaving."""
    status = system.status(member)
    if status is None:
        return False
    listed = [
        process for process in status['processes'] if process['process'] == name
    ]
    return bool(listed) and not listed[0]['leaving']


def test_leaving_upstream_receives_no_new_orders(
    system: cluster.Cluster,
    key: str,
) -> None:
    url = system.entry_url('entry-0')
    slow = threading.Thread(target=place_slow_order, args=(url, key))
    slow.start()
    web.wait_until(lambda: 'slow' in executed_orders(system), 'the slow order')
    leaving = desk_with_order(system, 'slow')
    process = system.processes[f'agent-{leaving}']
    process.send(signal.SIGTERM)
    deadline = time.monotonic() + LEAVING_SECONDS
    count = 0
    while time.monotonic() < deadline:
        count += 1
        assert place_order(url, key, f'meanwhile-{count}').status == 201
    before = len(desk.read_ledger(system.folder / f'{leaving}.ledger'))
    for number in range(20):
        assert place_order(url, key, f'after-{number}').status == 201
    after = len(desk.read_ledger(system.folder / f'{leaving}.ledger'))
    assert after == before
    assert process.is_running()
    slow.join()
    assert process.wait() == 0
    process.start()


def desk_with_order(system: cluster.Cluster, name: str) -> str:
    """Return the desk that ran an order; empty if none did."""
    for number in (0, 1):
        path = system.folder / f'desk-{number}.ledger'
        for line in desk.read_ledger(path):
            if json.loads(line.body)['order'] == name:
                return f'desk-{number}'
    return ''


def place_order(
    url: str,
    key: str,
    name: str,
    **fields: typing.Any,
) -> web.Reply:
    body = {'order': name, **fields}
    return web.request(f'{url}/orders/feet', 'POST', body, key)


def place_slow_order(url: str, key: str) -> None:
    reply = place_order(url, key, 'slow', delay_seconds=LEAVING_SECONDS + 2)
    assert reply.status == 201


def test_second_sigterm_logs_the_lost_requests(
    system: cluster.Cluster,
    key: str,
) -> None:
    url = system.entry_url('entry-1')
    slow = threading.Thread(target=place_lost_order, args=(url, key))
    slow.start()
    web.wait_until(lambda: 'lost' in executed_orders(system), 'the order')
    process = system.processes['entry-1']
    process.send(signal.SIGTERM)
    web.wait_until(
        lambda: web.request(f'{url}/readyz').status == 503,
        'the entry to be unready',
    )
    process.send(signal.SIGTERM)
    assert process.wait() == 0
    slow.join()
    lines = [json.loads(line) for line in process.log.read_text().splitlines()]
    lost = [line for line in lines if 'lost_requests' in line]
    assert [line['lost_requests'] for line in lost] == [1]


def place_lost_order(url: str, key: str) -> None:
    with pytest.raises(OSError):
        place_order(url, key, 'lost', delay_seconds=5)
