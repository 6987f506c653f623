"""Decoding of the platform's messages and settings, valid and invalid."""

import json
import pathlib
import platform
import typing

import pytest
import result
from fleet_adapter import (
    configuration,
    json_fields,
    registration,
    reports,
    settings,
)

from cranberryrill.traffic import document, validation

NOW_MS = 1700000060000
LONG_NUMBER = '9' * 5000
HEARTBEAT: dict[str, typing.Any] = {
    'service': 's1',
    'address': '10.0.0.9:8080',
    'zone': 'z1',
    'version': 'v1',
    'slots': 48,
    'state': 'ready',
    'coldRemainingMs': 0,
    'born': 1700000000000,
    'sequence': 4,
}
ROUTE: dict[str, typing.Any] = {
    'name': 'r1',
    'host': 'a.example',
    'pathPrefix': '/p/',
    'kind': 'streaming',
    'timeoutMs': 4000,
    'targetLatencyMs': 250,
    'priority': 1,
    'service': 's1',
    'maxAttempts': 2,
    'allowAnonymous': False,
    'stickySessions': True,
    'resumeStreams': True,
    'gapAimMs': 200,
}
SPLIT_ROUTE: dict[str, typing.Any] = {
    **ROUTE,
    'trafficSplit': [{'service': 's1', 'weight': 1}],
}
CONFIGURATION: dict[str, typing.Any] = {
    'version': 7,
    'routes': [ROUTE],
    'services': [
        {
            'name': 's1',
            'healthCheckPath': '/health',
            'maxConnections': 320,
            'engine': {
                'slots': 48,
                'kvCapacityTokens': 610271,
                'kvTokenBytes': 192512,
                'linkMbps': 1500000.0,
            },
        },
    ],
    'limits': {'maxBodyBytes': 100},
    'tenants': [{'name': 't1', 'apiKeys': ['k1', 'k2'], 'priority': 1}],
}


def decode(**changes: typing.Any) -> document.Document:
    fields = {**CONFIGURATION, **changes}
    return configuration.decode(json.dumps(fields).encode())


def test_platform_folder_does_not_shadow_the_standard_module() -> None:
    assert platform.python_version()
    folder = pathlib.Path(settings.__file__).parent.parent
    assert folder.name == 'platform'
    assert not (folder / '__init__.py').exists()
    assert not (folder / 'platform.py').exists()


def test_configuration_fields_are_decoded() -> None:
    decoded = decode()
    route = decoded.routes[0]
    assert route.resumable and route.repeatable and route.streams
    assert decoded.services[0].engine == document.Engine(
        48,
        610271,
        192512,
        1500000.0,
    )
    assert decoded.organisations[0].rank == 1
    assert 'k1' not in str(decoded.organisations)
    assert json.loads(decoded.source) == CONFIGURATION
    assert not validation.find_faults(decoded)


@pytest.mark.parametrize(
    ('kind', 'resumable', 'repeatable'),
    [
        ('safe', False, True),
        ('unsafe', True, False),
        ('streaming', False, False),
        ('streaming', True, True),
    ],
)
def test_repeatability_follows_from_the_route_kind(
    kind: str,
    *,
    resumable: bool,
    repeatable: bool,
) -> None:
    route = {**ROUTE, 'kind': kind, 'resumeStreams': resumable}
    assert decode(routes=[route]).routes[0].repeatable is repeatable


@pytest.mark.parametrize(
    'changes',
    [
        {'version': '7'},
        {'version': 1.5},
        {'version': True},
        {'routes': {}},
        {'routes': [1]},
        {'routes': [{**ROUTE, 'kind': 'other'}]},
        {'routes': [{**ROUTE, 'host': None}]},
        {'routes': [{**ROUTE, 'timeoutMs': -1}]},
        {'routes': [{**ROUTE, 'allowAnonymous': 'yes'}]},
        {'tenants': [{'name': 't', 'apiKeys': [1]}]},
        {'services': [{'name': 's1'}]},
        {'version': 2**64},
        {'tenants': [{'name': 't', 'apiKeys': ['\ud800']}]},
        {'routes': [{**ROUTE, 'timeoutMs': 10**400}]},
        {'routes': [{**ROUTE, 'gapAimMs': 10**400}]},
        {'routes': [{**SPLIT_ROUTE, 'service': 'unknown'}]},
        {'routes': [{**SPLIT_ROUTE, 'service': 5}]},
    ],
)
def test_invalid_configuration_field_is_unreadable(
    changes: dict[str, typing.Any],
) -> None:
    with pytest.raises(json_fields.Unreadable):
        decode(**changes)


@pytest.mark.parametrize(
    'repeated',
    [
        b'{"routes":[],',
        b'{"version":8,',
        b'{"new":{"a":1,"a":1},',
        b'{"new":[{"a":1,"a":2}],',
    ],
)
def test_configuration_with_a_repeated_field_is_unreadable(
    repeated: bytes,
) -> None:
    # Failed when the later field replaced the earlier one, such as all routes.
    content = json.dumps(CONFIGURATION).encode()
    with pytest.raises(json_fields.Unreadable):
        configuration.decode(repeated + content.removeprefix(b'{'))


@pytest.mark.parametrize('service', ['s1', None, ''])
def test_service_beside_a_split_may_be_known_or_absent(
    service: str | None,
) -> None:
    decoded = decode(routes=[{**SPLIT_ROUTE, 'service': service}])
    assert decoded.routes[0].shares == (document.Share('s1', 1),)
    assert not validation.find_faults(decoded)


def test_large_weights_and_timeouts_are_valid() -> None:
    split = [{'service': 's1', 'weight': weight} for weight in (1e308, 10**308)]
    route = {**ROUTE, 'trafficSplit': split, 'timeoutMs': 10**300}
    assert not validation.find_faults(decode(routes=[route]))


@pytest.mark.parametrize(
    'content',
    [b'', b'{"version":7,"rou', b'[]', b'\xff\xfe', b'[' * 100_000],
)
def test_invalid_json_is_unreadable(content: bytes) -> None:
    with pytest.raises(json_fields.Unreadable):
        configuration.decode(content)
    with pytest.raises(json_fields.Unreadable):
        registration.decode('i', content, NOW_MS)


def test_heartbeat_fields_are_decoded() -> None:
    registered = registration.decode(
        'i', json.dumps(HEARTBEAT).encode(), NOW_MS
    )
    assert (registered.host, registered.port) == ('10.0.0.9', 8080)
    assert registered.started_unix_ms == HEARTBEAT['born']
    assert not registered.leaving
    draining = {**HEARTBEAT, 'state': 'draining', 'new': 1}
    assert registration.decode(
        'i', json.dumps(draining).encode(), NOW_MS
    ).leaving


@pytest.mark.parametrize(
    'changes',
    [
        {'state': 'unknown'},
        {'address': '10.0.0.9'},
        {'address': '10.0.0.9:0'},
        {'slots': 'many'},
        {'sequence': None},
        {'service': ''},
        {'born': 1.5},
        {'born': NOW_MS + 2 * 86_400_000},
        {'born': 2**64},
        {'sequence': 2**64},
        {'slots': 2**32},
        {'slots': 10**400},
        {'coldRemainingMs': 1e300},
        {'coldRemainingMs': float('inf')},
        {'coldRemainingMs': float('nan')},
        {'address': '10.0.0.9:65536'},
        {'address': f'10.0.0.9:{LONG_NUMBER}'},
        {'address': '10.0.0.9/x?:80'},
        {'address': '\u00fc.example:80'},
        {'address': 'upstream.example:80'},
        {'service': 's' * 100_000},
        {'service': '\ud800'},
        {'zone': {'deep': []}},
        {'version': [[[]]]},
    ],
)
def test_invalid_heartbeat_field_is_unreadable(
    changes: dict[str, typing.Any],
) -> None:
    content = json.dumps({**HEARTBEAT, **changes}).encode()
    with pytest.raises(json_fields.Unreadable):
        registration.decode('i', content, NOW_MS)


@pytest.mark.parametrize(
    'content',
    [
        b'{"slots":%s}' % (b'9' * 5000),
        b'{"state":%s' % (b'{"a":' * 100_000),
        json.dumps(HEARTBEAT).encode('utf-16'),
        json.dumps({**HEARTBEAT, 'new': 'x' * 100_000}).encode(),
    ],
)
def test_heartbeat_of_another_writer_is_unreadable(content: bytes) -> None:
    # Failed with errors that nothing handles.
    with pytest.raises(json_fields.Unreadable):
        registration.decode('i', content, NOW_MS)


@pytest.mark.parametrize('replica', ['a b', 'a\r\nX-Y: z', '\u00fc', 'x' * 201])
def test_replica_id_that_no_header_can_hold_is_unreadable(replica: str) -> None:
    content = json.dumps(HEARTBEAT).encode()
    with pytest.raises(json_fields.Unreadable):
        registration.decode(replica, content, NOW_MS)


def test_heartbeat_without_a_version_is_decoded() -> None:
    fields = {name: HEARTBEAT[name] for name in HEARTBEAT if name != 'version'}
    content = json.dumps(fields).encode()
    assert not registration.decode('i', content, NOW_MS).version


def test_report_bytes_do_not_depend_on_the_order_of_counts() -> None:
    report_format = reports.UsageReports()
    first = report_format.build_message(7, {'b': 2, 'a': 1})
    assert first == report_format.build_message(7, {'a': 1, 'b': 2})
    assert json.loads(first.body) == {
        'windowIndex': 7,
        'counts': {'a': 1, 'b': 2},
    }


SETTINGS = """
name: "front-1"
host: "10.0.0.1"
data_centre: "z1"
internal_ports: [7340,7355]
seeds: ["10.0.0.1:8229"]
trust: network
founds: true
data_folder: ""
readiness:
callers: "10.0.0.1:8227"
bounds:
  revocation_ms: 5000
  lease_ms:
outside:
  address:
  duties:
"""


def test_empty_settings_get_their_defaults(
    tmp_path: pathlib.Path,
) -> None:
    path = tmp_path / 'settings'
    path.write_text(SETTINGS)
    loaded = settings.read(path)
    assert isinstance(loaded, result.Ok)
    assert loaded.ok_value.outside is None
    assert loaded.ok_value.data_folder is None
    assert loaded.ok_value.bounds.lease_ms == 3000
    assert loaded.ok_value.seed_hosts == ('10.0.0.1',)


@pytest.mark.parametrize(
    'text',
    ['', 'a: [', 'name: 1', SETTINGS.replace('network', 'anybody')],
)
def test_invalid_settings_are_reported_as_faults(
    tmp_path: pathlib.Path, text: str
) -> None:
    path = tmp_path / 'settings'
    path.write_text(text)
    loaded = settings.read(path)
    assert isinstance(loaded, result.Err)
    assert loaded.err_value.faults
