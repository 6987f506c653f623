"""Validation and routing agree on which routes are in one place."""

import dataclasses

import pytest

from cranberryrill import durations
from cranberryrill.traffic import document, places, route_table, validation
from tests.traffic import test_route_table

KELVIN_SIGN = '\u212a'
OTHER = dataclasses.replace(
    test_route_table.ROUTE, name='other', shares=(document.Share('t', 1),)
)
SERVICES = (
    document.Service('s', '/health', 10),
    document.Service('t', '/health', 10),
)


def with_hosts(*hosts: str) -> document.Document:
    """Return a document with a route at one prefix of each host."""
    routes = (test_route_table.ROUTE, OTHER)
    return document.Document(
        version=3,
        routes=tuple(
            dataclasses.replace(route, host=host)
            for route, host in zip(routes, hosts)
        ),
        services=SERVICES,
    )


@pytest.mark.parametrize(
    ('written', 'normalised'),
    [
        ('A.Example', 'a.example'),
        ('a.example:80', 'a.example'),
        ('a.example:', 'a.example'),
        ('a.example.', 'a.example'),
        ('a.example.:8080', 'a.example'),
        ('[::1]:80', '[::1]'),
        ('[::A]', '[::a]'),
        ('::1', '::1'),
        ('::2', '::2'),
        (':80', ':80'),
        ('.', '.'),
        ('', ''),
        (f'{KELVIN_SIGN}ey.Example', f'{KELVIN_SIGN}ey.example'),
        ('\u0130.example', '\u0130.example'),
        ('a.example:\u0663', 'a.example:\u0663'),
    ],
)
def test_host_is_normalised(written: str, normalised: str) -> None:
    assert places.normalise_host(written) == normalised


@pytest.mark.parametrize(
    'host',
    ['A.EXAMPLE', 'a.example:80', 'a.example:8080', 'a.example.'],
)
def test_second_route_in_a_place_is_a_fault(host: str) -> None:
    # Failed when validation compared hosts as written, but routing did not:
    # all requests went to the service of the second route.
    faults = validation.find_faults(with_hosts('a.example', host))
    assert [str(fault) for fault in faults] == [
        'routes: a.example/x/ stands 2 times'
    ]


@pytest.mark.parametrize('host', ['a.example:80', 'a.example.', 'A.Example'])
def test_route_of_an_unusual_host_is_found(host: str) -> None:
    # Failed for a port and a final dot, with which no request found the route.
    stored = with_hosts(host)
    assert not validation.find_faults(stored)
    table = route_table.RouteTable(stored)
    for named in ('a.example', host, 'a.example:81'):
        assert table.route_for(named, '/x/z') is stored.routes[0]


def test_names_that_only_unicode_folds_are_two_hosts() -> None:
    # Failed when the host was folded as text: the second route was chosen.
    stored = with_hosts('key.example', f'{KELVIN_SIGN}ey.example')
    assert not validation.find_faults(stored)
    table = route_table.RouteTable(stored)
    assert table.route_for('KEY.example', '/x/z') is stored.routes[0]


@pytest.mark.parametrize(
    ('hosts', 'chosen'),
    [
        (('a.example', 'A.example'), 1),
        (('A.example', 'a.example'), 1),
        (('a.example', 'a.example:80'), 0),
        (('a.example.', 'a.example'), 1),
        (('a.example', 'a.example.'), 0),
    ],
)
def test_stored_document_with_two_routes_in_a_place_is_routed_as_before(
    hosts: tuple[str, str], chosen: int
) -> None:
    stored = document.decode(document.encode(with_hosts(*hosts)))
    table = route_table.RouteTable(stored)
    assert table.route_for('a.example', '/x/z') is stored.routes[chosen]


def test_joined_text_of_places_does_not_matter() -> None:
    first = dataclasses.replace(
        test_route_table.ROUTE, host='a', path_prefix='/b/c/'
    )
    second = dataclasses.replace(OTHER, host='a/b', path_prefix='/c/')
    checked = document.Document(
        version=3, routes=(first, second), services=SERVICES
    )
    assert not validation.find_faults(checked)


def test_weights_with_an_infinite_sum_split_requests() -> None:
    # Failed when all requests went to the last service.
    shares = (document.Share('s', 1e308), document.Share('t', 1e308))
    chosen = [
        route_table.choose_service(shares, percent / 100)
        for percent in range(100)
    ]
    assert chosen.count('s') == 50


def test_stored_numbers_of_many_digits_are_bounded() -> None:
    # Failed when such a request ended without a response.
    route = dataclasses.replace(
        test_route_table.ROUTE,
        timeout_ms=10**400,
        target_latency_ms=10**400,
        event_gap_ms=10**400,
        shares=(document.Share('s', 10**400), document.Share('t', 0.5)),
    )
    stored = document.Document(version=3, routes=(route,), services=SERVICES)
    loaded = document.decode(document.encode(stored)).routes[0]
    bounded = (loaded.timeout_ms, loaded.target_latency_ms, loaded.event_gap_ms)
    assert bounded == (durations.MAX_MILLISECONDS,) * 3
    assert route_table.choose_service(loaded.shares, 0.5) == 's'
