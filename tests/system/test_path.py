"""Send requests through an entry to a model and a service."""

import json
import time

import pytest

from bench import cluster, examples, web


@pytest.fixture(scope='module')
def key(system: cluster.Cluster) -> str:
    """Return a key of the organisation `installers`."""
    return system.issue_key('installers')


def chat(**fields: object) -> dict[str, object]:
    return {
        'model': examples.MODEL,
        'messages': [{'role': 'user', 'content': 'it wobbles'}],
        'max_tokens': 5,
        **fields,
    }


def wait_key_accepted(system: cluster.Cluster, key: str) -> None:
    url = f'{system.entry_url("entry-0")}/v1/models'
    web.wait_until(
        lambda: web.request(url, key=key).status == 200,
        'the entry to accept the key',
    )


def test_streamed_answer(system: cluster.Cluster, key: str) -> None:
    wait_key_accepted(system, key)
    url = f'{system.entry_url("entry-0")}/v1/chat/completions'
    reply = web.request(url, 'POST', chat(stream=True), key)
    events = [
        line.removeprefix('data: ')
        for line in reply.body.decode().splitlines()
        if line.startswith('data: ')
    ]
    assert reply.status == 200
    assert events[-1] == '[DONE]'
    deltas = [json.loads(event) for event in events[:-1]]
    assert sum(bool(delta['choices']) for delta in deltas) == 5
    assert reply.headers['X-Request-Id'].startswith('req-')


def test_answer_without_streaming(system: cluster.Cluster, key: str) -> None:
    wait_key_accepted(system, key)
    url = f'{system.entry_url("entry-0")}/v1/chat/completions'
    reply = web.request(url, 'POST', chat(), key)
    assert reply.json()['usage']['completion_tokens'] == 5


def test_order(system: cluster.Cluster, key: str) -> None:
    wait_key_accepted(system, key)
    url = f'{system.entry_url("entry-0")}/orders/feet'
    reply = web.request(url, 'POST', {'count': 4}, key)
    assert reply.status == 201
    assert len(system.ledger('desk')) == 1


def test_silent_service_times_out_at_the_deadline(
    system: cluster.Cluster,
    key: str,
) -> None:
    wait_key_accepted(system, key)
    url = f'{system.entry_url("entry-0")}/orders/feet'
    sent_at = time.monotonic()
    reply = web.request(
        url,
        'POST',
        {'delay_seconds': 20},
        key,
        {'X-Request-Timeout-Ms': '1000', 'Idempotency-Key': 'silent-1'},
    )
    assert time.monotonic() - sent_at < 2
    assert reply.status == 504
    assert reply.json()['error']['code'] == 'timed_out'
    assert reply.json()['error']['ran'] == 'unknown'


def test_upstream_receives_no_key(system: cluster.Cluster, key: str) -> None:
    wait_key_accepted(system, key)
    url = f'{system.entry_url("entry-0")}/v1/chat/completions'
    web.request(url, 'POST', chat(), key)
    assert key not in json.dumps(system.ledger('engine'))


@pytest.mark.parametrize(
    ('body', 'status', 'code'),
    [
        (b'{', 400, 'malformed_request'),
        (b'{"model": "wobble", "messages": []}', 400, 'malformed_request'),
        (chat(max_tokens=-1), 400, 'malformed_request'),
        (chat(max_tokens=0), 400, 'malformed_request'),
        (chat(model='nothing'), 404, 'unknown_model'),
    ],
)
def test_invalid_chat_is_refused(
    system: cluster.Cluster,
    key: str,
    body: object,
    status: int,
    code: str,
) -> None:
    wait_key_accepted(system, key)
    url = f'{system.entry_url("entry-0")}/v1/chat/completions'
    reply = web.request(url, 'POST', body, key)
    assert reply.status == status
    assert reply.json()['error']['code'] == code
    assert reply.json()['error']['ran'] == 'no'


@pytest.mark.parametrize(
    ('bad_key', 'code'),
    [('', 'missing_key'), ('crk_x', 'invalid_key')],
)
def test_invalid_key_is_refused(
    system: cluster.Cluster, bad_key: str, code: str
) -> None:
    url = f'{system.entry_url("entry-0")}/v1/models'
    reply = web.request(url, key=bad_key)
    assert reply.status == 401
    assert reply.json()['error']['code'] == code


def test_withdrawn_key_is_refused_at_every_entry(
    system: cluster.Cluster,
) -> None:
    withdrawn = system.issue_key('clinics', 'soon-gone')
    wait_key_accepted(system, withdrawn)
    body = {'name': 'soon-gone', 'change_id': 'withdraw-1', 'wait': True}
    url = f'{system.admin_url()}/keys'
    assert web.request(url, 'DELETE', body, cluster.TOKEN).status == 200
    for entry in ('entry-0', 'entry-1'):
        models = f'{system.entry_url(entry)}/v1/models'
        assert web.request(models, key=withdrawn).status == 401
