"""Refuse requests that can't be forwarded, and keys exposed in them."""

import json

import pytest
from tornado import httputil

from cranberryrill.callers import validation
from cranberryrill.keys import digests

KEY = f'{digests.KEY_PREFIX}{"k" * 43}'
ESCAPED = f'{{"key": "{chr(92)}u0063{KEY[1:]}"}}'


def request(
    uri: str = '/orders',
    body: bytes = b'',
    method: str = 'POST',
    version: str = 'HTTP/1.1',
) -> httputil.HTTPServerRequest:
    return httputil.HTTPServerRequest(
        headers=httputil.HTTPHeaders({'Host': 'entry'}),
        body=body,
        start_line=httputil.RequestStartLine(method, uri, version),
    )


def find_organisation(digest: bytes) -> str | None:
    return 'clinics' if digest == digests.digest_of(KEY) else None


@pytest.mark.parametrize(
    ('uri', 'body', 'header'),
    [
        (f'/orders?key={KEY}', b'', ''),
        (f'/orders/{KEY}/feet', b'', ''),
        (f'/orders/{digests.KEY_PREFIX}{KEY}', b'', ''),
        (f'/orders?key=%63{KEY[1:]}', b'', ''),
        ('/orders', json.dumps({'key': KEY}).encode(), ''),
        ('/orders', ESCAPED.encode(), ''),
        ('/orders', f'key=%63{KEY[1:]}'.encode(), ''),
        ('/orders', b'', f'text/{KEY}'),
    ],
)
def test_exposed_key_is_found(uri: str, body: bytes, header: str) -> None:
    found = validation.find_exposed_key(
        request(uri, body),
        [header],
        find_organisation,
    )
    assert found is not None
    assert KEY not in found.message


def test_unknown_keys_and_other_text_are_allowed() -> None:
    other = request('/orders?key=crk_nothing', digests.new_key().encode())
    assert validation.find_exposed_key(other, [''], find_organisation) is None


@pytest.mark.parametrize(
    'malformed',
    [
        request('/orders/../admin'),
        request('/orders/%2e%2E/admin'),
        request('/orders/..%2fadmin'),
        request(version='HTTP/1.0'),
        request(method='GET', body=b'x'),
    ],
)
def test_malformed_request_is_refused(
    malformed: httputil.HTTPServerRequest,
) -> None:
    assert validation.validate_request(malformed) is not None


def test_dots_outside_segments_are_allowed() -> None:
    assert (
        validation.validate_request(request('/orders/feet..2?a=../b')) is None
    )


@pytest.mark.parametrize('header', ['', 'x' * 256, 'key\t1', 'clé'])
def test_unusable_idempotency_key_is_refused(header: str) -> None:
    headers = httputil.HTTPHeaders({'Idempotency-Key': header})
    assert validation.parse_idempotency_key(headers).is_err()


def test_two_idempotency_keys_are_refused() -> None:
    headers = httputil.HTTPHeaders()
    headers.add('Idempotency-Key', 'one')
    headers.add('Idempotency-Key', 'two')
    assert validation.parse_idempotency_key(headers).is_err()


@pytest.mark.parametrize(
    ('header', 'expected'),
    [(None, 3000), ('500', 500), ('9000', 3000)],
)
def test_shorter_timeout_applies(header: str | None, expected: int) -> None:
    headers = httputil.HTTPHeaders()
    if header is not None:
        headers['X-Request-Timeout-Ms'] = header
    assert validation.effective_timeout_ms(headers, 3000).unwrap() == expected


@pytest.mark.parametrize('header', ['0', '-5', 'soon', '1.5', ''])
def test_invalid_timeout_is_refused(header: str) -> None:
    headers = httputil.HTTPHeaders({'X-Request-Timeout-Ms': header})
    assert validation.effective_timeout_ms(headers, 3000).is_err()
