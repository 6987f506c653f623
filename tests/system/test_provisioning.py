"""Drain an upstream before it is stopped.

The ledgers of the engines show whether the upstream still had open requests
when the platform received the order to stop it.
"""

import dataclasses
import pathlib
import threading
from collections import abc

import pytest

from bench import cluster, examples, authority_system, web
from cranberryrill.configuration import document

LONG_TOKENS = 400
# As many as an engine has slots. Entries choose an engine at random, so that
# this many streams all reach the same one is practically impossible.
MAX_STREAMS = 16
ORDER_SECONDS = 20.0


@pytest.fixture
def system(tmp_path: pathlib.Path) -> abc.Iterator[cluster.Cluster]:
    """Start two engines; the rules allow three."""
    running = cluster.Cluster(tmp_path)
    running.platform_settings = {'window_seconds': 60, 'start_up_seconds': 1}
    try:
        running.add_standin('platform', 'platform')
        running.start_control()
        assert running.apply(examples.nivelar()).status == 200
        for number in range(2):
            running.add_standin(
                f'engine-{number}', 'engine', model=examples.MODEL
            )
            running.add_agent(
                f'agent-{number}', f'engine-{number}', target=examples.MODEL
            )
        running.add_entry('entry')
        running.wait_ready('entry', agents=2)
        yield running
    finally:
        running.stop()


class Stream(threading.Thread):
    """Request one long streamed answer."""

    def __init__(self, system: cluster.Cluster, key: str) -> None:
        super().__init__()
        self.url = f'{system.entry_url("entry")}/v1/chat/completions'
        self.key = key
        self.events: list[str] = []

    def run(self) -> None:
        """Send the request and collect the events of its answer."""
        chat = {
            'model': examples.MODEL,
            'messages': [{'role': 'user', 'content': 'it wobbles'}],
            'max_tokens': LONG_TOKENS,
            'stream': True,
        }
        body = web.request(self.url, 'POST', chat, self.key).body.decode()
        self.events = [
            line for line in body.splitlines() if line.startswith('data: ')
        ]


def platform_orders(
    system: cluster.Cluster,
) -> list[authority_system.LedgerLine]:
    """Return the orders to start or stop an upstream, as received."""
    return [
        line['content']
        for line in system.ledger('platform')
        if line['path'] == authority_system.ORDERS_PATH
    ]


def unfinished_lines(
    system: cluster.Cluster, engine: str
) -> list[authority_system.LedgerLine]:
    return [line for line in system.ledger(engine) if not line['finished']]


def start_streams(system: cluster.Cluster, key: str) -> list[Stream]:
    """Start streams until both engines work; entries choose at random."""
    streams: list[Stream] = []
    engines = ('engine-0', 'engine-1')
    while not all(unfinished_lines(system, engine) for engine in engines):
        assert len(streams) < MAX_STREAMS
        streams.append(Stream(system, key))
        streams[-1].start()
        wait_for_streams(system, engines, len(streams))
    return streams


def wait_for_streams(
    system: cluster.Cluster,
    engines: tuple[str, ...],
    count: int,
) -> None:
    web.wait_until(
        lambda: sum(len(system.ledger(engine)) for engine in engines) == count,
        f'{count} streams at the engines',
    )


def test_upstream_is_drained_before_it_is_stopped(
    system: cluster.Cluster,
) -> None:
    key = system.issue_key('installers')
    url = f'{system.entry_url("entry")}/v1/models'
    web.wait_until(
        lambda: web.request(url, key=key).status == 200,
        'the entry to accept the key',
    )
    streams = start_streams(system, key)
    # Before the first agent registered, orders may have been sent to reach
    # the number of upstreams that the rules demand.
    earlier = len(platform_orders(system))
    configuration = dataclasses.replace(
        examples.nivelar(),
        upstream_rules=(
            document.UpstreamRule(
                name='wobble-dc-1',
                target=examples.MODEL,
                data_centre='dc-1',
                least=1,
                most=1,
            ),
        ),
    )
    status = system.status(system.leader())
    assert status is not None
    revision = status['revision']
    assert system.apply(configuration, base_revision=revision).status == 200
    stop_orders = web.wait_until(
        lambda: [
            order
            for order in platform_orders(system)
            if order['action'] == 'stop'
        ],
        'an order to stop',
        ORDER_SECONDS,
    )
    engine = stop_orders[0]['upstream'].replace('agent', 'engine')
    assert not unfinished_lines(system, engine)
    for stream in streams:
        stream.join()
        assert stream.events[-1] == 'data: [DONE]'
        assert len(stream.events) == LONG_TOKENS + 2
    # The remaining upstream is not stopped, and no upstream is started again.
    later = platform_orders(system)[earlier:]
    assert {order['upstream'] for order in later} == {
        stop_orders[0]['upstream']
    }
