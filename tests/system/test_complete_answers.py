"""Deliver a complete answer or a typed failure, never a truncated answer.

Links, agents, entries, upstreams and callers fail in the middle of an answer.
A truncated answer must not look complete to the caller, and no failure may
make an engine run a request twice.
"""

import hashlib
import json
import pathlib
import socket
import time
import typing
from collections import abc

import pytest

from bench import cluster, examples, faults, stream_reader, web

FAILURE_DETECTION_SECONDS = 2.0
# The engine stand-in produces one token per step.
STEP_SECONDS = 0.02
SILENT = faults.Fault.silent_open


@pytest.fixture(scope='module')
def system(
    tmp_path_factory: pytest.TempPathFactory,
) -> abc.Iterator[cluster.Cluster]:
    """Start two entries, an engine and a desk with injectable link faults."""
    folder: pathlib.Path = tmp_path_factory.mktemp('whole')
    network = faults.Network()
    running = cluster.Cluster(folder, network=network)
    try:
        running.start_control()
        running.apply(examples.nivelar())
        running.add_standin(
            'engine',
            'engine',
            model=examples.MODEL,
            step_seconds=STEP_SECONDS,
        )
        running.add_agent('agent', 'engine', target=examples.MODEL)
        running.add_standin('desk', 'desk')
        running.add_agent(
            'agent-desk', 'desk', target=examples.DESK, is_model=False
        )
        for entry in ('entry-0', 'entry-1'):
            running.add_entry(entry)
        for entry in ('entry-0', 'entry-1'):
            running.wait_ready(entry, agents=2)
        yield running
    finally:
        running.stop()
        network.close()


@pytest.fixture(scope='module')
def key(system: cluster.Cluster) -> str:
    issued = system.issue_key('installers')
    for entry in ('entry-0', 'entry-1'):
        system.wait_key(entry, issued)
    return issued


def start_stream(
    system: cluster.Cluster, key: str, entry: str = 'entry-0'
) -> stream_reader.StreamReader:
    """Start a stream and wait for its first tokens."""
    stream = stream_reader.StreamReader(system.entry_url(entry), key)
    assert stream.begun.wait(web.REQUEST_SECONDS)
    return stream


@pytest.fixture(scope='module')
def expected_words(system: cluster.Cluster, key: str) -> list[str]:
    """Return the words of an answer that met no fault."""
    stream = stream_reader.StreamReader(system.entry_url('entry-1'), key)
    stream.wait_finished()
    assert stream.done
    return stream.contents


def ledger_lines(
    system: cluster.Cluster,
    request_id: str,
) -> list[dict[str, typing.Any]]:
    return [
        line
        for line in system.ledger('engine')
        if line['request_id'] == request_id
    ]


def apply_fault(system: cluster.Cluster, *args: typing.Any) -> None:
    assert system.network is not None
    system.network.apply(*args)


@pytest.mark.parametrize(
    ('source', 'target', 'fault'),
    [
        ('entries', 'agent', SILENT),
        ('entries', 'agent', faults.Fault.cut),
        ('entry-0', '', SILENT),
        ('agent', 'control-0', SILENT),
        ('agent', 'control-1', SILENT),
        ('agent', 'control-2', SILENT),
    ],
)
def test_answer_continues_after_a_lost_connection(
    system: cluster.Cluster,
    key: str,
    expected_words: list[str],
    source: str,
    target: str,
    fault: faults.Fault,
) -> None:
    stream = start_stream(system, key)
    apply_fault(system, fault, source, target)
    if fault is faults.Fault.cut:
        apply_fault(system, faults.Fault.none, source, target)
    stream.wait_finished()
    apply_fault(system, faults.Fault.none, source, target)
    assert stream.done
    assert stream.contents == expected_words
    assert stream.longest_pause() < FAILURE_DETECTION_SECONDS
    assert len(ledger_lines(system, stream.request_id)) == 1


def test_slow_network_mixes_no_answers(
    system: cluster.Cluster,
    key: str,
) -> None:
    assert system.network is not None
    system.network.apply(
        faults.Fault.none,
        'entries',
        'agent',
        delay_seconds=0.05,
    )
    streams = [
        stream_reader.StreamReader(
            system.entry_url(f'entry-{number % 2}'), key, 20 + number
        )
        for number in range(6)
    ]
    for number, stream in enumerate(streams):
        stream.wait_finished()
        assert stream.done
        assert len(stream.contents) == 20 + number
    apply_fault(system, faults.Fault.none, 'entries', 'agent')


def test_silent_upstream_is_a_typed_failure(
    system: cluster.Cluster,
    key: str,
) -> None:
    stream = start_stream(system, key)
    apply_fault(system, SILENT, 'agent', 'engine')
    silent_at = time.monotonic()
    stream.wait_finished()
    assert time.monotonic() - silent_at < FAILURE_DETECTION_SECONDS + 0.5
    apply_fault(system, faults.Fault.none, 'agent', 'engine')
    assert not stream.done
    assert stream.error['code'] == 'upstream_failed'
    assert stream.error['ran'] == 'yes'
    assert len(ledger_lines(system, stream.request_id)) == 1


def test_withdrawn_key_ends_an_open_stream(system: cluster.Cluster) -> None:
    issued = system.issue_key('clinics', 'withdrawn')
    system.wait_key('entry-0', issued)
    stream = stream_reader.StreamReader(
        system.entry_url('entry-0'), issued, 1000
    )
    assert stream.begun.wait(web.REQUEST_SECONDS)
    body = {'name': 'withdrawn', 'change_id': 'withdraw-it'}
    web.request(f'{system.admin_url()}/keys', 'DELETE', body, cluster.TOKEN)
    withdrawn_at = time.monotonic()
    stream.wait_finished()
    assert time.monotonic() - withdrawn_at < 7
    assert not stream.done
    assert (stream.error['code'], stream.error['ran']) == (
        'key_withdrawn',
        'yes',
    )
    wait_stopped(system, stream.request_id)


def wait_stopped(system: cluster.Cluster, request_id: str) -> None:
    """Wait until the engine produces no more tokens for a request."""
    web.wait_until(
        lambda: (
            produced_tokens(system, request_id)
            == produced_tokens(system, request_id)
        ),
        'the engine stops',
        5,
    )
    assert not ledger_lines(system, request_id)[0]['finished']


def produced_tokens(system: cluster.Cluster, request_id: str) -> int:
    """Wait for three engine steps, then return the tokens produced."""
    time.sleep(STEP_SECONDS * 3)
    return int(ledger_lines(system, request_id)[0]['produced'])


def test_disconnected_caller_stops_the_engine(
    system: cluster.Cluster,
    key: str,
) -> None:
    body = json.dumps(stream_reader.chat(stream=True, max_tokens=1000)).encode()
    caller = send_raw_request(system, key, 'POST', '/v1/chat/completions', body)
    head = caller.recv(65536).decode()
    caller.close()
    lines = head.split('\r\n')
    id_lines = [
        line for line in lines if line.lower().startswith('x-request-id')
    ]
    wait_stopped(system, id_lines[0].partition(': ')[2])


@pytest.mark.parametrize('framed', ['yes', 'no'])
def test_truncated_plain_body_does_not_look_complete(
    system: cluster.Cluster,
    key: str,
    framed: str,
) -> None:
    path = f'/orders/parts?bytes=400000&sent=200000&framed={framed}'
    content = read_all(send_raw_request(system, key, 'GET', path))
    head, _, body = content.partition(b'\r\n\r\n')
    if b' 200 ' in head.split(b'\r\n')[0]:
        assert b'chunked' in head
        assert not body.endswith(b'0\r\n\r\n')
    else:
        assert b'upstream_failed' in body


def test_long_body_arrives_complete(system: cluster.Cluster, key: str) -> None:
    url = f'{system.entry_url("entry-0")}/orders/parts?bytes=6000000'
    reply = web.request(url, key=key)
    assert (
        hashlib.sha256(reply.body).digest()
        == hashlib.sha256(
            b'p' * 6_000_000,
        ).digest()
    )


def test_slow_caller_limits_the_memory_of_the_agent(
    system: cluster.Cluster,
    key: str,
) -> None:
    path = '/orders/parts?bytes=24000000'
    caller = send_raw_request(system, key, 'GET', path)
    caller.recv(10)
    before = resident_bytes(system, 'agent-desk')
    web.wait_until(
        lambda: is_memory_stable(system), 'memory use to become stable'
    )
    assert resident_bytes(system, 'agent-desk') - before < 16 * 1024 * 1024
    content = read_all(caller)
    assert content.endswith(b'0\r\n\r\n')
    assert content.count(b'p') >= 24_000_000


def is_memory_stable(system: cluster.Cluster) -> bool:
    first = resident_bytes(system, 'agent-desk')
    time.sleep(0.5)
    return abs(resident_bytes(system, 'agent-desk') - first) < 65536


def resident_bytes(system: cluster.Cluster, name: str) -> int:
    popen = system.processes[name].popen
    assert popen is not None
    statm = pathlib.Path(f'/proc/{popen.pid}/statm').read_text()
    return int(statm.split()[1]) * 4096


def send_raw_request(
    system: cluster.Cluster,
    key: str,
    method: str,
    path: str,
    body: bytes = b'',
) -> socket.socket:
    port = int(system.entry_url('entry-0').rpartition(':')[2])
    caller = socket.create_connection(('127.0.0.1', port))
    caller.settimeout(web.REQUEST_SECONDS)
    lines = [
        f'{method} {path} HTTP/1.1',
        'Host: entry',
        f'Authorization: Bearer {key}',
        f'Content-Length: {len(body)}',
        'Connection: close',
        '\r\n',
    ]
    caller.sendall('\r\n'.join(lines).encode() + body)
    return caller


def read_all(caller: socket.socket) -> bytes:
    parts = []
    with caller:
        while True:
            try:
                part = caller.recv(65536)
            except ConnectionError:
                break
            if not part:
                break
            parts.append(part)
    return b''.join(parts)


def test_killed_agent_is_a_typed_failure(
    system: cluster.Cluster,
    key: str,
) -> None:
    stream = start_stream(system, key)
    system.processes['agent'].kill()
    system.processes['agent'].start()
    stream.wait_finished()
    assert not stream.done
    assert stream.error['ran'] == 'yes'
    assert len(ledger_lines(system, stream.request_id)) == 1


def test_killed_entry_leaves_no_answer_that_looks_complete(
    system: cluster.Cluster,
    key: str,
) -> None:
    url = f'{system.entry_url("entry-0")}/v1/chat/completions'
    web.wait_until(
        lambda: (
            web.request(url, 'POST', stream_reader.chat(), key).status == 200
        ),
        'the agent is back',
    )
    body = json.dumps(stream_reader.chat(stream=True, max_tokens=1000)).encode()
    caller = send_raw_request(system, key, 'POST', '/v1/chat/completions', body)
    head = caller.recv(65536)
    system.processes['entry-0'].kill()
    content = head + read_all(caller)
    assert b'chunked' in content
    assert not content.endswith(b'0\r\n\r\n')
    assert b'[DONE]' not in content
