"""Find what may not be passed on."""

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


def whose(digest: bytes) -> str | None:
    return 'clinics' if digest == digests.digest_of(KEY) else None


@pytest.mark.parametrize(
    ('uri', 'body', 'passed'),
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
def test_key_is_found(uri: str, body: bytes, passed: str) -> None:
    found = validation.find_exposed_key(request(uri, body), [passed], whose)
    assert found is not None
    assert KEY not in found.message


def test_other_text_is_no_key() -> None:
    asked = request('/orders?key=crk_nothing', digests.new_key().encode())
    assert validation.find_exposed_key(asked, [''], whose) is None


@pytest.mark.parametrize(
    'faulty',
    [
        request('/orders/../admin'),
        request('/orders/%2e%2E/admin'),
        request('/orders/..%2fadmin'),
        request(version='HTTP/1.0'),
        request(method='GET', body=b'x'),
    ],
)
def test_fault(faulty: httputil.HTTPServerRequest) -> None:
    assert validation.find_fault(faulty) is not None


def test_no_fault() -> None:
    assert validation.find_fault(request('/orders/feet..2?a=../b')) is None


@pytest.mark.parametrize('given', ['', 'x' * 256, 'key\t1', 'clé'])
def test_bad_idempotency_key(given: str) -> None:
    headers = httputil.HTTPHeaders({'Idempotency-Key': given})
    assert validation.idempotency_key(headers).is_err()


def test_two_idempotency_keys() -> None:
    headers = httputil.HTTPHeaders()
    headers.add('Idempotency-Key', 'one')
    headers.add('Idempotency-Key', 'two')
    assert validation.idempotency_key(headers).is_err()


@pytest.mark.parametrize(
    ('given', 'wanted'),
    [(None, 3000), ('500', 500), ('9000', 3000)],
)
def test_the_shorter_timeout_counts(given: str | None, wanted: int) -> None:
    headers = httputil.HTTPHeaders()
    if given is not None:
        headers['X-Request-Timeout-Ms'] = given
    assert validation.shorter_timeout(headers, 3000).unwrap() == wanted


@pytest.mark.parametrize('given', ['0', '-5', 'soon', '1.5', ''])
def test_a_timeout_that_is_no_number_is_refused(given: str) -> None:
    headers = httputil.HTTPHeaders({'X-Request-Timeout-Ms': given})
    assert validation.shorter_timeout(headers, 3000).is_err()
