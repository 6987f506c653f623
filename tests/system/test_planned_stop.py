"""Restart everything under load, and cut off nobody."""

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

DRAIN_SECONDS = 1.5
LEAVING_SECONDS = 3.0
TOKENS = 60
CALLERS = 4
PROCESSES = 6


@pytest.fixture(scope='module')
def system(
    tmp_path_factory: pytest.TempPathFactory,
) -> abc.Iterator[cluster.Cluster]:
    """Start two of each, so that one can stop while the other serves."""
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
            running.add_entry(entry, drain_delay_seconds=DRAIN_SECONDS)
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
    """Check which entries are ready, as the platform's balancer does."""

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
    """Send streamed chats and keyless orders in turn; expect every answer."""

    def __init__(self, balancer: Balancer, key: str, number: int) -> None:
        super().__init__()
        self.balancer = balancer
        self.key = key
        self.number = number
        self.faults: list[str] = []
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
                self.faults.append(f'{type(error).__name__} {error}')

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
            self.faults.append(f'{reply.status} {reply.body[-300:]!r}')

    def order(self, url: str) -> None:
        name = f'order-{self.number}-{len(self.orders)}'
        self.orders.append(name)
        body = {'order': name, 'delay_seconds': 0.1}
        reply = web.request(f'{url}/orders/feet', 'POST', body, self.key)
        if reply.status != 201:
            self.faults.append(f'{reply.status} {reply.body!r}')


def order_names(system: cluster.Cluster) -> list[str]:
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
    faults: list[str] = []
    placed: list[str] = []
    for one in callers:
        faults.extend(one.faults)
        placed.extend(one.orders)
    assert not faults
    assert sorted(order_names(system)) == sorted(placed)
    assert sum(caller.chats for caller in callers) > len(names)


def restart(system: cluster.Cluster, name: str) -> None:
    process = system.processes[name]
    process.send(signal.SIGTERM)
    assert process.wait() == 0
    if name.startswith('agent'):
        assert not any(serves(system, one, name) for one in system.members)
    process.start()
    if name in system.members:
        web.wait_until(lambda: caught_up(system, name), name)
        return
    web.wait_until(lambda: is_known(system, name), name)
    if name.startswith('entry'):
        system.wait_ready(name, agents=4)


def caught_up(system: cluster.Cluster, member: str) -> bool:
    status = system.status(member)
    return status is not None and len(status['processes']) >= PROCESSES


def is_known(system: cluster.Cluster, name: str) -> bool:
    """Say whether every member lists the process that runs now."""
    return all(serves(system, member, name) for member in system.members)


def serves(system: cluster.Cluster, member: str, name: str) -> bool:
    """Say whether a member lists a process that is not leaving."""
    status = system.status(member)
    if status is None:
        return False
    listed = [one for one in status['processes'] if one['process'] == name]
    return bool(listed) and not listed[0]['leaving']


def test_leaving_upstream_gets_nothing_new(
    system: cluster.Cluster,
    key: str,
) -> None:
    url = system.entry_url('entry-0')
    slow = threading.Thread(target=place_slow_orders, args=(url, key))
    slow.start()
    web.wait_until(lambda: 'slow' in order_names(system), 'the slow order')
    leaving = holder_of(system, 'slow')
    process = system.processes[f'agent-{leaving}']
    process.send(signal.SIGTERM)
    deadline = time.monotonic() + LEAVING_SECONDS
    count = 0
    while time.monotonic() < deadline:
        count += 1
        assert place(url, key, f'meanwhile-{count}').status == 201
    before = len(desk.read_ledger(system.folder / f'{leaving}.ledger'))
    for number in range(20):
        assert place(url, key, f'after-{number}').status == 201
    after = len(desk.read_ledger(system.folder / f'{leaving}.ledger'))
    assert after == before
    assert process.is_running()
    slow.join()
    assert process.wait() == 0
    process.start()


def holder_of(system: cluster.Cluster, name: str) -> str:
    for number in (0, 1):
        path = system.folder / f'desk-{number}.ledger'
        for line in desk.read_ledger(path):
            if json.loads(line.body)['order'] == name:
                return f'desk-{number}'
    return ''


def place(
    url: str,
    key: str,
    name: str,
    **fields: typing.Any,
) -> web.Reply:
    body = {'order': name, **fields}
    return web.request(f'{url}/orders/feet', 'POST', body, key)


def place_slow_orders(url: str, key: str) -> None:
    reply = place(url, key, 'slow', delay_seconds=LEAVING_SECONDS + 2)
    assert reply.status == 201


def test_second_signal_says_what_is_lost(
    system: cluster.Cluster,
    key: str,
) -> None:
    url = system.entry_url('entry-1')
    slow = threading.Thread(target=lose_order, args=(url, key))
    slow.start()
    web.wait_until(lambda: 'lost' in order_names(system), 'the order')
    process = system.processes['entry-1']
    process.send(signal.SIGTERM)
    web.wait_until(
        lambda: web.request(f'{url}/readyz').status == 503,
        'the entry is unready',
    )
    process.send(signal.SIGTERM)
    assert process.wait() == 0
    slow.join()
    lines = [json.loads(line) for line in process.log.read_text().splitlines()]
    lost = [line for line in lines if 'lost_requests' in line]
    assert [line['lost_requests'] for line in lost] == [1]


def lose_order(url: str, key: str) -> None:
    with pytest.raises(OSError):
        place(url, key, 'lost', delay_seconds=5)
