"""Refuse bad requests of operators with a typed error."""

import http
import pathlib
import types
import typing
from collections import abc

import pytest

from bench import cluster, examples, web

KEY = types.MappingProxyType(
    {'name': 'front', 'organisation': 'clinics', 'change_id': 'k-1'},
)


@pytest.fixture(scope='module')
def system(
    tmp_path_factory: pytest.TempPathFactory,
) -> abc.Iterator[cluster.Cluster]:
    """Start one control member with a configuration."""
    folder: pathlib.Path = tmp_path_factory.mktemp('administration')
    running = cluster.Cluster(folder, members=1)
    try:
        running.start_control()
        assert running.apply(examples.nivelar()).status == http.HTTPStatus.OK
        yield running
    finally:
        running.stop()


def ask(
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
        ('POST', 'keys', {**KEY, 'sha256': 'xyz'}, 400, 'malformed_request'),
        ('POST', 'keys', {**KEY, 'change_id': ''}, 400, 'malformed_request'),
        ('POST', 'keys', {**KEY, 'name': 'a b'}, 400, 'malformed_request'),
        (
            'POST',
            'keys',
            {**KEY, 'organisation': 'nobody'},
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
def test_refusal(
    system: cluster.Cluster,
    method: str,
    path: str,
    body: typing.Any,
    status: int,
    code: str,
) -> None:
    reply = ask(system, method, path, body)
    assert reply.status == status
    assert reply.json()['error']['code'] == code


def test_wrong_token(system: cluster.Cluster) -> None:
    reply = web.request(f'{system.admin_url()}/keys', key='wrong')
    assert reply.status == http.HTTPStatus.UNAUTHORIZED
    assert reply.json()['error']['code'] == 'not_authorised'


def test_keys_are_listed_and_never_shown(system: cluster.Cluster) -> None:
    issued = ask(system, 'POST', 'keys', {**KEY, 'change_id': 'list-1'})
    listed = ask(system, 'GET', 'keys')
    key = issued.json()['key']
    assert key.encode() not in listed.body
    assert listed.json()['keys'][0]['name'] == 'front'
    assert not listed.json()['keys'][0]['withdrawn']


def test_resent_change_gets_the_first_answer(system: cluster.Cluster) -> None:
    reply = ask(system, 'GET', 'configuration').json()
    asked = {
        'document': reply['document'],
        'base_revision': reply['revision'],
        'change_id': 'again',
    }
    first = ask(system, 'POST', 'configuration', asked)
    second = ask(system, 'POST', 'configuration', asked)
    assert first.status == second.status == http.HTTPStatus.OK
    assert first.json()['revision'] == second.json()['revision']


def test_history_names_the_operator(system: cluster.Cluster) -> None:
    reply = ask(system, 'GET', 'configuration').json()
    asked = {
        'document': reply['document'],
        'base_revision': reply['revision'],
        'change_id': 'by-ana',
        'operator': 'ana',
    }
    made = ask(system, 'POST', 'configuration', asked).json()['revision']
    newest = ask(system, 'GET', 'configuration/history').json()['changes'][0]
    assert newest['revision'] == made
    assert newest['operator'] == 'ana'
    assert newest['change_id'] == 'by-ana'
