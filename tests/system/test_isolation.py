"""Keep keys inside the entry, and organisations apart.

A caller may put a key where it does not belong: in a path, a query, a header
or a body. It must not reach an upstream, a log, a span or the replicated log.
Headers must not let a caller act for another organisation.
"""

import json
import pathlib
import typing

import pytest

from bench import cluster, examples, web

CHAT = '/v1/chat/completions'


@pytest.fixture(scope='module')
def keys(system: cluster.Cluster) -> dict[str, str]:
    """Return a key for each of two organisations."""
    issued = {
        organisation: system.issue_key(organisation)
        for organisation in ('installers', 'clinics')
    }
    for entry in ('entry-0', 'entry-1'):
        for key in issued.values():
            system.wait_key(entry, key)
    return issued


def chat(**fields: typing.Any) -> dict[str, typing.Any]:
    return {
        'model': examples.MODEL,
        'messages': [{'role': 'user', 'content': 'it wobbles'}],
        'max_tokens': 3,
        **fields,
    }


def send(
    system: cluster.Cluster,
    path: str,
    body: typing.Any,
    key: str,
    headers: dict[str, str] | None = None,
) -> web.Reply:
    url = f'{system.entry_url("entry-0")}{path}'
    return web.request(url, 'POST', body, key, headers)


def test_key_in_forwarded_content_is_refused(
    system: cluster.Cluster,
    keys: dict[str, str],
) -> None:
    key = keys['installers']
    other_key = keys['clinics']
    refused = [
        send(system, f'/orders/feet?key={key}', {}, key),
        send(system, f'/orders/feet?key={other_key}', {}, key),
        send(system, f'/orders/{key}', {}, key),
        send(system, '/orders/feet', {'key': other_key}, key),
        send(system, CHAT, chat(user=key), key),
        send(system, '/orders/feet', {}, key, {'Accept': key}),
        send(system, '/orders/feet', {}, key, {'Idempotency-Key': key}),
    ]
    for reply in refused:
        assert reply.status == 400
        assert reply.json()['error']['code'] == 'key_exposed'
        assert reply.json()['error']['ran'] == 'no'


def test_keys_reach_no_ledger_and_no_file(
    system: cluster.Cluster,
    keys: dict[str, str],
) -> None:
    """Send a key in every place open to a caller, then search all data."""
    key = keys['installers']
    headers_with_keys = {
        'Cookie': f'key={key}',
        'X-Api-Key': key,
        'X-Request-Id': key,
        'Proxy-Authorization': f'Bearer {key}',
        'traceparent': key,
        'User-Agent': key,
        'X-Request-Class': 'urgent',
    }
    assert send(system, CHAT, chat(), key, headers_with_keys).status == 200
    assert (
        send(system, '/orders/feet', {}, key, headers_with_keys).status == 201
    )
    send(system, CHAT, chat(), key, {'X-Request-Class': key})
    send(system, CHAT, chat(model=key), key)
    send(system, f'/nowhere/{key}', {}, key)
    for method in ('GET', 'PUT', 'DELETE', 'TRACE'):
        url = f'{system.entry_url("entry-0")}/orders/{key}?a={key}'
        web.request(url, method, key=key)
    for name, content in collect_data(system).items():
        for issued in keys.values():
            assert issued.encode() not in content, name
            assert issued.removeprefix('crk_').encode() not in content, name


def collect_data(system: cluster.Cluster) -> dict[str, bytes]:
    """Return the ledgers of the stand-ins and the content of every file.

    The files are the process logs, which include the spans, the replicated
    log and its snapshots.
    """
    contents = {
        name: json.dumps(system.ledger(name)).encode()
        for name in ('engine', 'desk')
    }
    for path in pathlib.Path(system.folder).rglob('*'):
        if path.is_file():
            contents[path.name] = path.read_bytes()
    assert 'entry-0.log' in contents
    return contents


def test_organisation_comes_from_the_key_alone(
    system: cluster.Cluster,
    keys: dict[str, str],
) -> None:
    headers = {
        'X-Organisation': 'clinics',
        'Organisation': 'clinics',
        'OpenAI-Organization': 'clinics',
        'Idempotency-Key': 'one-key',
    }
    first = send(system, '/orders/feet', {'n': 1}, keys['installers'], headers)
    second = send(system, '/orders/feet', {'n': 1}, keys['clinics'], headers)
    assert (first.status, second.status) == (201, 201)
    assert first.body != second.body
    for line in system.ledger('desk'):
        names = {name.lower() for name in line['headers']}
        assert not names & {
            'authorization',
            'cookie',
            'x-organisation',
            'organisation',
            'openai-organization',
            'idempotency-key',
            'x-api-key',
        }


def test_callers_do_not_choose_request_ids(
    system: cluster.Cluster,
    keys: dict[str, str],
) -> None:
    first = send(system, CHAT, chat(), keys['installers'])
    headers = {'X-Request-Id': first.headers['X-Request-Id']}
    second = send(system, CHAT, chat(max_tokens=4), keys['clinics'], headers)
    assert second.headers['X-Request-Id'] != headers['X-Request-Id']
    assert second.json()['usage']['completion_tokens'] == 4
