"""Requests to the administration API of one control member."""

import http
import pathlib
import types
import typing
from collections import abc

import pytest

from bench import cluster, examples, web

KEY_REQUEST = types.MappingProxyType(
    {'name': 'front', 'organisation': 'clinics', 'change_id': 'k-1'},
)


@pytest.fixture(scope='module')
def system(
    tmp_path_factory: pytest.TempPathFactory,
) -> abc.Iterator[cluster.Cluster]:
    """Start one control member with a configuration."""
    folder: pathlib.Path = tmp_path_factory.mktemp('administration')
    started = cluster.Cluster(folder, members=1)
    try:
        started.start_control()
        assert started.apply(examples.nivelar()).status == http.HTTPStatus.OK
        yield started
    finally:
        started.stop()


def send(
    system: cluster.Cluster,
    method: str,
    path: str,
    body: typing.Any = None,
) -> web.Reply:
    return web.request(
        f'{system.admin_url()}/{path}',
        method,
        body,
        cluster.TOKEN,
    )


@pytest.mark.parametrize(
    ('method', 'path', 'body', 'status', 'code'),
    [
        (
            'POST',
            'keys',
            {**KEY_REQUEST, 'sha256': 'xyz'},
            400,
            'malformed_request',
        ),
        (
            'POST',
            'keys',
            {**KEY_REQUEST, 'change_id': ''},
            400,
            'malformed_request',
        ),
        (
            'POST',
            'keys',
            {**KEY_REQUEST, 'name': 'a b'},
            400,
            'malformed_request',
        ),
        (
            'POST',
            'keys',
            {**KEY_REQUEST, 'organisation': 'nobody'},
            404,
            'unknown_organisation',
        ),
        (
            'DELETE',
            'keys',
            {'name': 'nothing', 'change_id': 'w-1'},
            404,
            'unknown_key',
        ),
        (
            'POST',
            'configuration',
            {'document': 'a: 1', 'base_revision': 1, 'change_id': 'c-1'},
            400,
            'invalid_configuration',
        ),
        (
            'POST',
            'configuration',
            {'document': '', 'base_revision': 0, 'change_id': 'c-2'},
            409,
            'stale_revision',
        ),
        (
            'POST',
            'configuration',
            {'document': '', 'base_revision': 99, 'change_id': 'c-3'},
            409,
            'stale_revision',
        ),
        ('POST', 'configuration', b'{', 400, 'malformed_request'),
    ],
)
def test_invalid_request_gets_a_typed_error(
    system: cluster.Cluster,
    method: str,
    path: str,
    body: typing.Any,
    status: int,
    code: str,
) -> None:
    reply = send(system, method, path, body)
    assert reply.status == status
    assert reply.json()['error']['code'] == code


def test_wrong_token_is_refused(system: cluster.Cluster) -> None:
    reply = web.request(f'{system.admin_url()}/keys', key='wrong')
    assert reply.status == http.HTTPStatus.UNAUTHORIZED
    assert reply.json()['error']['code'] == 'not_authorised'


def test_key_list_omits_the_keys_themselves(system: cluster.Cluster) -> None:
    issued = send(
        system, 'POST', 'keys', {**KEY_REQUEST, 'change_id': 'list-1'}
    )
    listed = send(system, 'GET', 'keys')
    key = issued.json()['key']
    assert key.encode() not in listed.body
    assert listed.json()['keys'][0]['name'] == 'front'
    assert not listed.json()['keys'][0]['withdrawn']


def test_repeated_change_id_returns_the_first_revision(
    system: cluster.Cluster,
) -> None:
    reply = send(system, 'GET', 'configuration').json()
    change_request = {
        'document': reply['document'],
        'base_revision': reply['revision'],
        'change_id': 'again',
    }
    first = send(system, 'POST', 'configuration', change_request)
    second = send(system, 'POST', 'configuration', change_request)
    assert first.status == second.status == http.HTTPStatus.OK
    assert first.json()['revision'] == second.json()['revision']


def test_history_contains_the_operator_and_change_id(
    system: cluster.Cluster,
) -> None:
    reply = send(system, 'GET', 'configuration').json()
    change_request = {
        'document': reply['document'],
        'base_revision': reply['revision'],
        'change_id': 'by-ana',
        'operator': 'ana',
    }
    revision = send(system, 'POST', 'configuration', change_request).json()[
        'revision'
    ]
    newest = send(system, 'GET', 'configuration/history').json()['changes'][0]
    assert newest['revision'] == revision
    assert newest['operator'] == 'ana'
    assert newest['change_id'] == 'by-ana'
