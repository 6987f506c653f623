"""Lookup by host, prefix and key; encoding and validation of documents."""

import dataclasses

from cranberryrill.traffic import document, route_table, validation

ROUTE = document.Route(
    name='r',
    host='a.example',
    path_prefix='/x/',
    shares=(document.Share('s', 1),),
    repeatability=document.Repeatability.idempotent,
    streams=False,
    resumable=False,
    timeout_ms=1000,
    target_latency_ms=100,
    event_gap_ms=0,
    max_attempts=2,
    rank=1,
    anonymous=False,
    sticky=False,
)
INNER = dataclasses.replace(ROUTE, name='inner', path_prefix='/x/y/')
DOCUMENT = document.Document(
    version=3,
    routes=(ROUTE, INNER),
    services=(document.Service('s', '/health', 10, document.Engine(8, 99)),),
    organisations=(
        document.Organisation('o', (route_table.digest_of('key'),), rank=2),
    ),
    source='{}',
)


def test_route_with_longest_prefix_is_found() -> None:
    table = route_table.RouteTable(DOCUMENT)
    assert table.route_for('a.example', '/x/z') is ROUTE
    assert table.route_for('A.example:80', '/x/y/z/w') is INNER
    assert table.route_for('a.example', '/x') is None
    assert table.route_for('b.example', '/x/z') is None


def test_organisation_is_found_by_key() -> None:
    table = route_table.RouteTable(DOCUMENT)
    known = table.organisation_for('key')
    assert known is not None and known.name == 'o'
    assert table.organisation_for('other') is None


def test_document_survives_encoding() -> None:
    assert document.decode(document.encode(DOCUMENT)) == DOCUMENT


def test_services_are_chosen_by_weight() -> None:
    shares = (document.Share('s', 9), document.Share('t', 1))
    chosen = [
        route_table.choose_service(shares, percent / 100)
        for percent in range(100)
    ]
    assert chosen.count('t') == 10


def test_invalid_documents_have_faults() -> None:
    assert not validation.find_faults(DOCUMENT)
    invalid_routes = (
        dataclasses.replace(ROUTE, timeout_ms=0),
        dataclasses.replace(ROUTE, shares=(document.Share('s', 0),)),
        dataclasses.replace(ROUTE, shares=(document.Share('none', 1),)),
        dataclasses.replace(INNER, path_prefix='/x/'),
    )
    for route in invalid_routes:
        wrong = dataclasses.replace(DOCUMENT, routes=(ROUTE, route))
        assert validation.find_faults(wrong), route
    shared = dataclasses.replace(
        DOCUMENT.organisations[0],
        name='other',
    )
    wrong = dataclasses.replace(
        DOCUMENT,
        organisations=(*DOCUMENT.organisations, shared),
    )
    assert validation.find_faults(wrong)
    assert validation.find_faults(dataclasses.replace(DOCUMENT, version=0))
