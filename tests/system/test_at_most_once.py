"""Run an order at most once, and report truthfully whether it ran.

Orders are repeated, answers are lost, and agents, desks and links fail. The
ledgers of the desks show how often each order ran.
"""

import json
import pathlib
import time
import typing
from collections import abc
from concurrent import futures

import pytest

from bench import faults, order_system, web
from standins import desk


@pytest.fixture(scope='module')
def system(
    tmp_path_factory: pytest.TempPathFactory,
) -> abc.Iterator[order_system.OrderSystem]:
    """Start two entries and two desks."""
    folder: pathlib.Path = tmp_path_factory.mktemp('orders')
    with order_system.run_system(folder) as running:
        yield running


def place_order(
    system: order_system.OrderSystem,
    name: str,
    entry: int = 0,
    **fields: typing.Any,
) -> web.Reply:
    url = system.cluster.entry_url(order_system.ENTRIES[entry])
    key = fields.pop('key', system.key)
    headers = {'Idempotency-Key': fields.pop('idempotency_key', name)}
    body = {'order': name, **fields}
    return web.request(f'{url}/orders/feet', 'POST', body, key, headers)


def executions(system: order_system.OrderSystem, name: str) -> list[desk.Order]:
    """Return the ledger lines of an order, from every desk."""
    return [
        line
        for standin in order_system.AGENTS.values()
        for line in desk.read_ledger(system.ledger(standin))
        if json.loads(line.body).get('order') == name
    ]


def agent_of(system: order_system.OrderSystem, name: str) -> str:
    """Return the agent whose desk ran an order; empty if none did."""
    for agent, standin in order_system.AGENTS.items():
        for line in desk.read_ledger(system.ledger(standin)):
            if json.loads(line.body).get('order') == name:
                return agent
    return ''


def test_same_answer_through_another_entry(
    system: order_system.OrderSystem,
) -> None:
    first = place_order(system, 'twice', entry=0)
    second = place_order(system, 'twice', entry=1)
    assert (first.status, second.status) == (201, 201)
    assert first.body == second.body
    assert len(executions(system, 'twice')) == 1


def test_concurrent_orders_with_the_same_key(
    system: order_system.OrderSystem,
) -> None:
    with futures.ThreadPoolExecutor(8) as pool:
        replies = list(
            pool.map(
                lambda number: place_order(
                    system,
                    'together',
                    entry=number % 2,
                    delay_seconds=0.5,
                ),
                range(8),
            ),
        )
    assert {reply.status for reply in replies} == {201}
    assert len({reply.body for reply in replies}) == 1
    assert len(executions(system, 'together')) == 1


def test_other_content_under_the_same_key_is_refused(
    system: order_system.OrderSystem,
) -> None:
    place_order(system, 'first', idempotency_key='shared')
    reply = place_order(system, 'other', entry=1, idempotency_key='shared')
    assert reply.status == 422
    assert reply.json()['error']['code'] == 'idempotency_key_reused'
    assert reply.json()['error']['ran'] == 'no'
    assert not executions(system, 'other')


def test_organisations_do_not_share_idempotency_keys(
    system: order_system.OrderSystem,
) -> None:
    other = system.cluster.issue_key('guides')
    system.cluster.wait_key('entry-1', other)
    first = place_order(system, 'rivals', count=1)
    second = place_order(system, 'rivals', entry=1, key=other, count=1)
    assert (first.status, second.status) == (201, 201)
    assert first.body != second.body
    assert len(executions(system, 'rivals')) == 2


def test_disconnected_caller_gets_the_answer_on_retry(
    system: order_system.OrderSystem,
) -> None:
    with pytest.raises(TimeoutError):
        web.request(
            f'{system.cluster.entry_url("entry-0")}/orders/feet',
            'POST',
            {'order': 'left', 'delay_seconds': 1},
            system.key,
            {'Idempotency-Key': 'left'},
            seconds=0.3,
        )
    reply = place_order(system, 'left', entry=1, delay_seconds=1)
    assert reply.status == 201
    assert len(executions(system, 'left')) == 1


def test_desk_that_closes_without_an_answer_runs_once(
    system: order_system.OrderSystem,
) -> None:
    for entry in (0, 1):
        reply = place_order(system, 'closed', entry=entry, after='close')
        assert reply.json()['error']['code'] == 'outcome_unknown'
        assert reply.json()['error']['ran'] == 'unknown'
    assert len(executions(system, 'closed')) == 1


def test_restarted_agent_does_not_run_an_order_again(
    system: order_system.OrderSystem,
) -> None:
    place_order(system, 'restart')
    agent = agent_of(system, 'restart')
    system.cluster.processes[agent].kill()
    system.cluster.processes[agent].start()
    for entry in (0, 1):
        reply = place_order(system, 'restart', entry=entry)
        assert reply.json()['error']['ran'] == 'unknown'
    assert len(executions(system, 'restart')) == 1


def test_unreachable_agent_is_skipped(
    system: order_system.OrderSystem,
) -> None:
    wait_agents(system)
    for agent in order_system.AGENTS:
        system.network.apply(faults.Fault.cut, 'entries', agent)
        for number in range(4):
            name = f'without-{agent}-{number}'
            assert place_order(system, name, entry=number % 2).status == 201
            assert len(executions(system, name)) == 1
        system.network.apply(faults.Fault.none, 'entries', agent)


def test_order_without_a_claim_does_not_run(
    system: order_system.OrderSystem,
) -> None:
    wait_agents(system)
    system.network.apply(faults.Fault.blackhole, 'entry-0')
    reply = place_order(system, 'no-log')
    assert reply.json()['error']['ran'] == 'no'
    assert reply.json()['error']['code'] == 'claims_unavailable'
    system.network.apply(faults.Fault.none, 'entry-0')
    assert not executions(system, 'no-log')


def test_order_without_an_idempotency_key_is_sent_once(
    system: order_system.OrderSystem,
) -> None:
    wait_agents(system)
    url = system.cluster.entry_url('entry-1')
    body = {'order': 'keyless', 'after': 'close'}
    reply = web.request(f'{url}/orders/feet', 'POST', body, system.key)
    assert reply.json()['error']['ran'] == 'unknown'
    assert len(executions(system, 'keyless')) == 1


def wait_agents(system: order_system.OrderSystem) -> None:
    """Wait until orders from both entries reach both agents."""
    for entry, name in enumerate(order_system.ENTRIES):
        system.cluster.wait_ready(name, agents=len(order_system.AGENTS))
        reached: set[str] = set()
        deadline = time.monotonic() + web.START_SECONDS
        while not reached.issuperset(order_system.AGENTS):
            assert time.monotonic() < deadline
            probe = f'probe-{entry}-{time.monotonic_ns()}'
            if place_order(system, probe, entry=entry).status == 201:
                reached.add(agent_of(system, probe))
