"""Bill the tokens that the engines delivered, each usage window once.

The platform stand-in loses part of its answers, so reports are sent again:
each must have the same content every time.
"""

import json
import pathlib
import signal
from collections import abc
from http import client

import pytest

from bench import cluster, examples, authority_system, web

BILLING_TIMEOUT_SECONDS = 20.0
STREAMED_TOKENS = 5
UNSTREAMED_TOKENS = 4
LONG_TOKENS = 400
CANCEL_AFTER_EVENTS = 6
UsageTotals = dict[tuple[str, str], tuple[int, int]]


@pytest.fixture(scope='module')
def system(
    tmp_path_factory: pytest.TempPathFactory,
) -> abc.Iterator[cluster.Cluster]:
    """Start a system whose platform stand-in loses part of its answers."""
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


def issue_active_key(system: cluster.Cluster, organisation: str) -> str:
    key = system.issue_key(organisation)
    url = f'{system.entry_url("entry")}/v1/models'
    web.wait_until(
        lambda: web.request(url, key=key).status == 200,
        'the entry to accept the key',
    )
    return key


def chat(tokens: int, stream: bool) -> dict[str, object]:
    return {
        'model': examples.MODEL,
        'messages': [{'role': 'user', 'content': 'it wobbles a little'}],
        'max_tokens': tokens,
        'stream': stream,
    }


def send_chat(
    system: cluster.Cluster, key: str, tokens: int, stream: bool
) -> None:
    url = f'{system.entry_url("entry")}/v1/chat/completions'
    assert web.request(url, 'POST', chat(tokens, stream), key).status == 200


def disconnect_early(system: cluster.Cluster, key: str) -> int:
    """Disconnect during an answer; return the tokens received so far."""
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


def billed_usage(system: cluster.Cluster) -> UsageTotals:
    """Return (requests, output tokens) by (organisation, target)."""
    reports = {
        line['content']['window']: line['content']['lines']
        for line in system.ledger('platform')
        if line['path'] == authority_system.REPORTS_PATH
    }
    totals: UsageTotals = {}
    for lines in reports.values():
        for line in lines:
            account = (line['organisation'], line['target'])
            requests, tokens = totals.get(account, (0, 0))
            totals[account] = (
                requests + line['requests'],
                tokens + line['output_tokens'],
            )
    return totals


def engine_ledger_lines(
    system: cluster.Cluster,
) -> list[authority_system.LedgerLine]:
    return [*system.ledger('engine-0'), *system.ledger('engine-1')]


def wait_billed(
    system: cluster.Cluster, account: tuple[str, str], requests: int
) -> int:
    """Wait until `requests` of an account are reported; return its tokens.

    `account` is an organisation and a target.
    """
    web.wait_until(
        lambda: billed_usage(system).get(account, (0, 0))[0] >= requests,
        f'{requests} requests of {account}',
        BILLING_TIMEOUT_SECONDS,
    )
    counted, tokens = billed_usage(system)[account]
    assert counted == requests
    return tokens


def test_reports_equal_deliveries(system: cluster.Cluster) -> None:
    key = issue_active_key(system, 'installers')
    rounds = 4
    for _ in range(rounds):
        send_chat(system, key, STREAMED_TOKENS, stream=True)
        send_chat(system, key, UNSTREAMED_TOKENS, stream=False)
        url = f'{system.entry_url("entry")}/orders/feet'
        assert web.request(url, 'POST', {'count': 4}, key).status == 201
    # The holder of authority is killed between two windows; its successor
    # must send the outstanding reports.
    holder = system.leader()
    system.processes[holder].send(signal.SIGKILL)
    system.processes[holder].wait()
    others = [member for member in system.members if member != holder]
    system.leader(others)
    tokens = wait_billed(system, ('installers', examples.MODEL), rounds * 2)
    wait_billed(system, ('installers', examples.DESK), rounds)
    system.add_control(holder)
    web.wait_until(lambda: system.status(holder), f'{holder} to be back')
    finished = [
        line for line in engine_ledger_lines(system) if line['finished']
    ]
    assert tokens == sum(line['produced'] for line in finished)
    assert tokens == rounds * (STREAMED_TOKENS + UNSTREAMED_TOKENS)
    assert len(system.ledger('desk')) == rounds
    authority_system.check_ledger(system.ledger('platform'))


def test_cancelled_work_is_billed_as_delivered(
    system: cluster.Cluster,
) -> None:
    key = issue_active_key(system, 'guides')
    received = [disconnect_early(system, key) for _ in range(3)]
    tokens = wait_billed(system, ('guides', examples.MODEL), len(received))
    cancelled = [
        line for line in engine_ledger_lines(system) if not line['finished']
    ]
    assert len(cancelled) == len(received)
    produced = sum(line['produced'] for line in cancelled)
    # Tokens in transit from the engine to the agent when the caller left are
    # not billed.
    assert sum(received) <= tokens <= produced
    assert produced < len(received) * LONG_TOKENS


def test_planned_stop_loses_no_usage(system: cluster.Cluster) -> None:
    key = issue_active_key(system, 'clinics')
    rounds = 6
    for _ in range(rounds):
        send_chat(system, key, STREAMED_TOKENS, stream=True)
    # The agents stop before they have reported their counts.
    for number in range(2):
        system.processes[f'agent-{number}'].send(signal.SIGTERM)
    for number in range(2):
        assert system.processes[f'agent-{number}'].wait() == 0
    tokens = wait_billed(system, ('clinics', examples.MODEL), rounds)
    assert tokens == rounds * STREAMED_TOKENS
    authority_system.check_ledger(system.ledger('platform'))
