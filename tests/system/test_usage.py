"""Bill what the engines delivered, each window once."""

import json
import pathlib
import signal
from collections import abc
from http import client

import pytest

from bench import cluster, examples, authority_system, web

BILLED_SECONDS = 20.0
STREAMED_TOKENS = 5
WHOLE_TOKENS = 4
LONG_TOKENS = 400
CANCEL_AFTER_EVENTS = 6
Sums = dict[tuple[str, str], tuple[int, int]]


@pytest.fixture(scope='module')
def system(
    tmp_path_factory: pytest.TempPathFactory,
) -> abc.Iterator[cluster.Cluster]:
    """Start a system whose platform loses answers."""
    folder: pathlib.Path = tmp_path_factory.mktemp('usage')
    running = cluster.Cluster(folder)
    running.platform_settings = {'window_seconds': 0.5}
    try:
        running.add_standin(
            'platform', 'platform', delay_seconds=0.02, lost_share=0.3, seed=3
        )
        running.start_control()
        assert running.apply(examples.nivelar()).status == 200
        for number in range(2):
            running.add_standin(
                f'engine-{number}', 'engine', model=examples.MODEL
            )
            running.add_agent(
                f'agent-{number}', f'engine-{number}', target=examples.MODEL
            )
        running.add_standin('desk', 'desk')
        running.add_agent(
            'agent-desk', 'desk', target=examples.DESK, is_model=False
        )
        running.add_entry('entry')
        running.wait_ready('entry', agents=3)
        yield running
    finally:
        running.stop()


def known_key(system: cluster.Cluster, organisation: str) -> str:
    key = system.issue_key(organisation)
    url = f'{system.entry_url("entry")}/v1/models'
    web.wait_until(lambda: web.request(url, key=key).status == 200, 'the key')
    return key


def chat(tokens: int, stream: bool) -> dict[str, object]:
    return {
        'model': examples.MODEL,
        'messages': [{'role': 'user', 'content': 'it wobbles a little'}],
        'max_tokens': tokens,
        'stream': stream,
    }


def ask(system: cluster.Cluster, key: str, tokens: int, stream: bool) -> None:
    url = f'{system.entry_url("entry")}/v1/chat/completions'
    assert web.request(url, 'POST', chat(tokens, stream), key).status == 200


def leave_early(system: cluster.Cluster, key: str) -> int:
    """Leave in the middle of an answer; return the tokens received."""
    connection = client.HTTPConnection(
        cluster.HOST, system.ports['entry'], timeout=10
    )
    connection.request(
        'POST',
        '/v1/chat/completions',
        json.dumps(chat(LONG_TOKENS, stream=True)),
        {'Authorization': f'Bearer {key}'},
    )
    answer = connection.getresponse()
    received = 0
    while received < CANCEL_AFTER_EVENTS:
        received += answer.readline().startswith(b'data: ')
    answer.close()
    connection.close()
    return received


def billed(system: cluster.Cluster) -> Sums:
    """Sum requests and output tokens by organisation and target."""
    reports = {
        line['content']['window']: line['content']['lines']
        for line in system.ledger('platform')
        if line['path'] == authority_system.REPORTS_PATH
    }
    sums: Sums = {}
    for lines in reports.values():
        for line in lines:
            place = (line['organisation'], line['target'])
            requests, tokens = sums.get(place, (0, 0))
            sums[place] = (
                requests + line['requests'],
                tokens + line['output_tokens'],
            )
    return sums


def engine_lines(system: cluster.Cluster) -> list[authority_system.LedgerLine]:
    return [*system.ledger('engine-0'), *system.ledger('engine-1')]


def wait_billed(
    system: cluster.Cluster, place: tuple[str, str], requests: int
) -> int:
    """Wait for so many requests in the reports; return their tokens."""
    web.wait_until(
        lambda: billed(system).get(place, (0, 0))[0] >= requests,
        f'{requests} requests of {place}',
        BILLED_SECONDS,
    )
    counted, tokens = billed(system)[place]
    assert counted == requests
    return tokens


def test_reports_equal_deliveries(system: cluster.Cluster) -> None:
    key = known_key(system, 'installers')
    rounds = 4
    for _ in range(rounds):
        ask(system, key, STREAMED_TOKENS, stream=True)
        ask(system, key, WHOLE_TOKENS, stream=False)
        url = f'{system.entry_url("entry")}/orders/feet'
        assert web.request(url, 'POST', {'count': 4}, key).status == 201
    # The holder dies between the windows; its successor resends.
    holder = system.leader()
    system.processes[holder].send(signal.SIGKILL)
    system.processes[holder].wait()
    others = [one for one in system.members if one != holder]
    system.leader(others)
    tokens = wait_billed(system, ('installers', examples.MODEL), rounds * 2)
    wait_billed(system, ('installers', examples.DESK), rounds)
    system.add_control(holder)
    web.wait_until(lambda: system.status(holder), f'{holder} is back')
    finished = [line for line in engine_lines(system) if line['finished']]
    assert tokens == sum(line['produced'] for line in finished)
    assert tokens == rounds * (STREAMED_TOKENS + WHOLE_TOKENS)
    assert len(system.ledger('desk')) == rounds
    authority_system.check_ledger(system.ledger('platform'))


def test_cancelled_work_is_billed_as_delivered(
    system: cluster.Cluster,
) -> None:
    key = known_key(system, 'guides')
    received = [leave_early(system, key) for _ in range(3)]
    tokens = wait_billed(system, ('guides', examples.MODEL), len(received))
    cancelled = [line for line in engine_lines(system) if not line['finished']]
    assert len(cancelled) == len(received)
    produced = sum(line['produced'] for line in cancelled)
    # What was between engine and agent when the caller left is not billed.
    assert sum(received) <= tokens <= produced
    assert produced < len(received) * LONG_TOKENS


def test_planned_stop_loses_no_counts(system: cluster.Cluster) -> None:
    key = known_key(system, 'clinics')
    rounds = 6
    for _ in range(rounds):
        ask(system, key, STREAMED_TOKENS, stream=True)
    # At once, before the counts were handed on.
    for number in range(2):
        system.processes[f'agent-{number}'].send(signal.SIGTERM)
    for number in range(2):
        assert system.processes[f'agent-{number}'].wait() == 0
    tokens = wait_billed(system, ('clinics', examples.MODEL), rounds)
    assert tokens == rounds * STREAMED_TOKENS
    authority_system.check_ledger(system.ledger('platform'))
