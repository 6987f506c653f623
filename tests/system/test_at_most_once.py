"""Run an order at most once, whatever happens to it and its answer."""

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


def place(
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


def runs(system: order_system.OrderSystem, name: str) -> list[desk.Order]:
    return [
        line
        for standin in order_system.AGENTS.values()
        for line in desk.read_ledger(system.ledger(standin))
        if json.loads(line.body).get('order') == name
    ]


def agent_of(system: order_system.OrderSystem, name: str) -> str:
    for agent, standin in order_system.AGENTS.items():
        for line in desk.read_ledger(system.ledger(standin)):
            if json.loads(line.body).get('order') == name:
                return agent
    return ''


def test_same_answer_through_another_entry(
    system: order_system.OrderSystem,
) -> None:
    first = place(system, 'twice', entry=0)
    second = place(system, 'twice', entry=1)
    assert (first.status, second.status) == (201, 201)
    assert first.body == second.body
    assert len(runs(system, 'twice')) == 1


def test_same_key_at_the_same_time(system: order_system.OrderSystem) -> None:
    with futures.ThreadPoolExecutor(8) as pool:
        replies = list(
            pool.map(
                lambda number: place(
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
    assert len(runs(system, 'together')) == 1


def test_other_content_under_the_same_key(
    system: order_system.OrderSystem,
) -> None:
    place(system, 'first', idempotency_key='shared')
    reply = place(system, 'other', entry=1, idempotency_key='shared')
    assert reply.status == 422
    assert reply.json()['error']['code'] == 'idempotency_key_reused'
    assert reply.json()['error']['ran'] == 'no'
    assert not runs(system, 'other')


def test_another_organisation_has_keys_of_its_own(
    system: order_system.OrderSystem,
) -> None:
    other = system.cluster.issue_key('guides')
    system.cluster.wait_key('entry-1', other)
    first = place(system, 'rivals', count=1)
    second = place(system, 'rivals', entry=1, key=other, count=1)
    assert (first.status, second.status) == (201, 201)
    assert first.body != second.body
    assert len(runs(system, 'rivals')) == 2


def test_caller_who_left_gets_the_answer_later(
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
    reply = place(system, 'left', entry=1, delay_seconds=1)
    assert reply.status == 201
    assert len(runs(system, 'left')) == 1


def test_desk_that_closes_without_an_answer(
    system: order_system.OrderSystem,
) -> None:
    for entry in (0, 1):
        reply = place(system, 'closed', entry=entry, after='close')
        assert reply.json()['error']['code'] == 'outcome_unknown'
        assert reply.json()['error']['ran'] == 'unknown'
    assert len(runs(system, 'closed')) == 1


def test_restarted_agent_does_not_run_it_again(
    system: order_system.OrderSystem,
) -> None:
    place(system, 'restart')
    agent = agent_of(system, 'restart')
    system.cluster.processes[agent].kill()
    system.cluster.processes[agent].start()
    for entry in (0, 1):
        reply = place(system, 'restart', entry=entry)
        assert reply.json()['error']['ran'] == 'unknown'
    assert len(runs(system, 'restart')) == 1


def test_agent_out_of_reach_is_passed_over(
    system: order_system.OrderSystem,
) -> None:
    wait_agents(system)
    for agent in order_system.AGENTS:
        system.network.apply(faults.Fault.cut, 'entries', agent)
        for number in range(4):
            name = f'without-{agent}-{number}'
            assert place(system, name, entry=number % 2).status == 201
            assert len(runs(system, name)) == 1
        system.network.apply(faults.Fault.none, 'entries', agent)


def test_claim_that_cannot_be_placed(
    system: order_system.OrderSystem,
) -> None:
    wait_agents(system)
    system.network.apply(faults.Fault.blackhole, 'entry-0')
    reply = place(system, 'no-log')
    assert reply.json()['error']['ran'] == 'no'
    assert reply.json()['error']['code'] == 'claims_unavailable'
    system.network.apply(faults.Fault.none, 'entry-0')
    assert not runs(system, 'no-log')


def test_without_a_key_an_order_is_dispatched_once(
    system: order_system.OrderSystem,
) -> None:
    wait_agents(system)
    url = system.cluster.entry_url('entry-1')
    body = {'order': 'keyless', 'after': 'close'}
    reply = web.request(f'{url}/orders/feet', 'POST', body, system.key)
    assert reply.json()['error']['ran'] == 'unknown'
    assert len(runs(system, 'keyless')) == 1


def wait_agents(system: order_system.OrderSystem) -> None:
    """Wait until orders from both entries reach both agents."""
    for entry, name in enumerate(order_system.ENTRIES):
        system.cluster.wait_ready(name, agents=len(order_system.AGENTS))
        reached: set[str] = set()
        deadline = time.monotonic() + web.START_SECONDS
        while not reached.issuperset(order_system.AGENTS):
            assert time.monotonic() < deadline
            probe = f'probe-{entry}-{time.monotonic_ns()}'
            if place(system, probe, entry=entry).status == 201:
                reached.add(agent_of(system, probe))
