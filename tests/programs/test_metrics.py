"""Metrics, logs and spans of a system of processes."""

import contextlib
import json
import pathlib
import re
import socket
import time
import typing
from collections import abc

import pytest

from bench import cluster, examples, web
from cranberryrill import metrics
from cranberryrill.programs import metrics_sampler

TIMEOUT_SECONDS = 15.0


class Statsd:
    """Statsd server that collects what the processes send."""

    def __init__(self) -> None:
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((cluster.HOST, 0))
        self.socket.settimeout(1)
        self.lines: list[str] = []

    @property
    def settings(self) -> dict[str, typing.Any]:
        return {'host': cluster.HOST, 'port': self.socket.getsockname()[1]}

    def names(self) -> set[str]:
        return {
            re.sub(
                r'requests\.\d+$',
                'requests.<status>',
                line.split(':')[0].removeprefix('cranberryrill.'),
            )
            for line in self.lines
        }

    def collect_until(self, expected: set[str]) -> None:
        deadline = time.monotonic() + TIMEOUT_SECONDS
        while not expected <= self.names() and time.monotonic() < deadline:
            with contextlib.suppress(TimeoutError):
                self.lines.append(self.socket.recv(4096).decode())


class MeasuredCluster(cluster.Cluster):
    """Cluster whose processes send metrics."""

    statsd: Statsd

    def start_role(
        self,
        role: str,
        name: str,
        settings: dict[str, typing.Any],
    ) -> typing.Any:
        settings['process']['statsd'] = self.statsd.settings
        return super().start_role(role, name, settings)


@pytest.fixture(scope='module')
def system(
    tmp_path_factory: pytest.TempPathFactory,
) -> abc.Iterator[MeasuredCluster]:
    """Start one control member, an entry and an agent."""
    folder: pathlib.Path = tmp_path_factory.mktemp('metrics')
    running = MeasuredCluster(folder, members=1)
    running.statsd = Statsd()
    try:
        running.start_control()
        running.apply(examples.nivelar())
        running.add_standin('engine', 'engine', model=examples.MODEL)
        running.add_agent('agent', 'engine', target=examples.MODEL)
        running.add_entry('entry')
        running.wait_ready('entry', agents=1)
        yield running
    finally:
        running.stop()
        running.statsd.socket.close()


@pytest.fixture(scope='module')
def request_id(system: MeasuredCluster) -> str:
    """Return the id of an answered request; another caller left early."""
    key = system.issue_key('clinics')
    leaving_key = system.issue_key('installers')
    url = f'{system.entry_url("entry")}/v1'
    for issued_key in (key, leaving_key):
        wait_until_accepted(url, issued_key)
    body = {
        'model': examples.MODEL,
        'messages': [{'role': 'user', 'content': 'it wobbles'}],
        'max_tokens': 3,
    }
    leave_early(system, leaving_key)
    reply = web.request(f'{url}/chat/completions', 'POST', body, key)
    assert reply.status == 200
    return reply.headers['X-Request-Id']


def wait_until_accepted(url: str, key: str) -> None:
    web.wait_until(
        lambda: web.request(f'{url}/models', key=key).status == 200,
        'the key',
    )


def leave_early(system: MeasuredCluster, key: str) -> None:
    """Request a long answer and close the connection after its first byte."""
    body = json.dumps(
        {
            'model': examples.MODEL,
            'messages': [{'role': 'user', 'content': 'it wobbles'}],
            'max_tokens': 1000,
            'stream': True,
        },
    ).encode()
    host, _, port = system.entry_url('entry').rpartition('/')[2].partition(':')
    with socket.create_connection((host, int(port)), TIMEOUT_SECONDS) as caller:
        head = (
            'POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\n'
            f'Authorization: Bearer {key}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        caller.sendall(head.encode() + body)
        caller.recv(1)


def log_lines(
    system: MeasuredCluster, name: str
) -> list[dict[str, typing.Any]]:
    text = system.processes[name].log.read_text()
    # The last line may be incomplete.
    return [json.loads(line) for line in text.split('\n')[:-1]]


def test_documented_metrics_are_sent(
    system: MeasuredCluster,
    request_id: str,
) -> None:
    documented = {definition.name for definition in metrics.DEFINITIONS}
    # A single member starts its only term before its first sample.
    system.statsd.collect_until(documented - {'control.elections'})
    assert documented - system.statsd.names() <= {'control.elections'}
    assert system.statsd.names() <= documented


def answered_lines(
    system: MeasuredCluster,
    request_id: str,
) -> list[dict[str, typing.Any]]:
    return [
        line
        for line in log_lines(system, 'entry')
        if line['message'] == 'request answered'
        and line['request_id'] == request_id
    ]


def test_disconnected_caller_is_not_logged_as_answered(
    system: MeasuredCluster,
    request_id: str,
) -> None:
    def disconnect_lines() -> list[dict[str, typing.Any]]:
        lines = log_lines(system, 'entry')
        return [line for line in lines if line['message'] == 'caller left']

    disconnects = web.wait_until(disconnect_lines, 'the line', TIMEOUT_SECONDS)
    assert disconnects[0]['answer_begun']
    assert disconnects[0]['organisation'] == 'installers'
    assert not answered_lines(system, disconnects[0]['request_id'])


def test_answered_request_is_logged(
    system: MeasuredCluster,
    request_id: str,
) -> None:
    # The line is logged after the last byte of the answer.
    answered = web.wait_until(
        lambda: answered_lines(system, request_id),
        'the line',
        TIMEOUT_SECONDS,
    )
    assert len(answered) == 1
    assert answered[0]['status'] == 200
    assert answered[0]['organisation'] == 'clinics'
    assert answered[0]['process_name'] == 'entry'


def test_usage_of_request_is_reported(
    system: MeasuredCluster,
    request_id: str,
) -> None:
    url = f'{system.admin_url()}/usage?window=1'

    def usage_lines() -> list[dict[str, typing.Any]]:
        lines = web.request(url, key=cluster.TOKEN).json()['lines']
        organisations = {line['organisation'] for line in lines}
        return lines if 'clinics' in organisations else []

    lines = web.wait_until(usage_lines, 'the usage', TIMEOUT_SECONDS)
    # The caller of the other organisation left before its answer ended.
    usage_by_organisation = {line['organisation']: line for line in lines}
    assert usage_by_organisation['clinics']['requests'] == 1
    assert usage_by_organisation['clinics']['output_tokens'] == 3
    assert set(usage_by_organisation) <= {'clinics', 'installers'}


def test_every_log_line_has_the_common_keys(
    system: MeasuredCluster,
    request_id: str,
) -> None:
    for name in ('control-0', 'entry', 'agent'):
        for line in log_lines(system, name):
            assert {'time', 'level', 'message', 'process_name'} <= set(line)


def spans_of(
    system: MeasuredCluster,
    request_id: str,
) -> dict[str, dict[str, typing.Any]]:
    lines = log_lines(system, 'entry') + log_lines(system, 'agent')
    return {
        line['span']: line
        for line in lines
        if line['message'] == 'span' and line['request_id'] == request_id
    }


def test_each_hop_has_a_span(system: MeasuredCluster, request_id: str) -> None:
    web.wait_until(
        lambda: {'entry', 'agent'} <= spans_of(system, request_id).keys(),
        'the spans',
        TIMEOUT_SECONDS,
    )
    spans = spans_of(system, request_id)
    parents = {name: span['parent_id'] for name, span in spans.items()}
    assert len({span['trace_id'] for span in spans.values()}) == 1
    assert parents == {
        'entry': '',
        'agent': spans['entry']['span_id'],
        'queue': spans['agent']['span_id'],
        'upstream': spans['agent']['span_id'],
    }


class RecordingSink:
    """Metrics sink that records the calls."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, float]] = []

    def incr(self, stat: str, count: int = 1) -> None:
        self.sent.append((stat, count))

    def gauge(self, stat: str, value: float) -> None:
        self.sent.append((stat, value))

    def timing(self, stat: str, delta: float) -> None:
        self.sent.append((stat, delta))


def test_increase_of_totals_is_sent() -> None:
    sink = RecordingSink()
    sample = metrics_sampler.Sample({'level': 3}, {'grown': 9, 'same': 4})
    metrics_sampler.send(sink, sample, {'grown': 7, 'same': 4})
    assert sink.sent == [('level', 3), ('grown', 2)]
