"""Documents that the router could not serve as written are invalid."""

import pytest
import result

from cranberryrill.configuration import active, document, validation
from cranberryrill.state import commands_pb2

CLASSES = 'classes: [{name: c, tier: 1}]\n'
MANY_DIGITS = '9' * 400


def routes(first: str, second: str) -> str:
    return (
        f'{CLASSES}routes:\n'
        f'- {{name: a, path_prefix: {first}, service: s, default_class: c}}\n'
        f'- {{name: b, path_prefix: {second}, service: t, default_class: c}}\n'
    )


@pytest.mark.parametrize(
    ('first', 'second'), [('/a', '/a'), ('/a', '/a/'), ('/', '//')]
)
def test_routes_with_the_same_paths_are_invalid(
    first: str, second: str
) -> None:
    # Failed when a second route took all requests of the first one.
    checked = validation.read_document(routes(first, second), 'document')
    assert isinstance(checked, result.Err)
    assert [fault.path for fault in checked.err_value.faults] == [
        'routes.1.path_prefix'
    ]


@pytest.mark.parametrize('second', ['/a/b', '/A', '/ab'])
def test_routes_with_different_paths_are_valid(second: str) -> None:
    assert validation.read_document(routes('/a', second), 'document').is_ok()


@pytest.mark.parametrize(
    'text',
    [
        'organisations: [{name: o, weight: .inf}]',
        'organisations: [{name: o, requests_per_second: .inf}]',
        f'organisations: [{{name: o, tokens_per_minute: {MANY_DIGITS}}}]',
        f'{CLASSES}models: [{{name: m, default_class: c, '
        f'timeout_ms: {MANY_DIGITS}}}]',
        f'classes: [{{name: c, tier: 1, first_token_ms: {MANY_DIGITS}}}]',
        f'classes: [{{name: c, tier: {"9" * 5000}}}]',
        'classes: [{name: c, tier: 2020-13-45}]',
    ],
)
def test_numbers_that_nothing_can_compute_with_are_invalid(text: str) -> None:
    # Failed when they were accepted, or raised an error that nothing handles.
    # An infinite weight could not be loaded from the log again.
    assert validation.read_document(text, 'document').is_err()


def test_stored_routes_with_the_same_paths_are_loaded() -> None:
    stored = [
        document.Route('a', '/a', 's', 'c'),
        document.Route('b', '/a/', 't', 'c'),
    ]
    configured = active.ActiveConfiguration()
    configured.update(
        1,
        [
            commands_pb2.ObjectChange(
                kind='routes',
                name=route.name,
                json=document.encode('routes', route),
            )
            for route in stored
        ],
        [],
    )
    found = configured.route_for('/a/x')
    assert found is not None and found.name == 'b'
