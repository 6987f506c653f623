"""Repeats of a request have the same key, and no other requests."""

import itertools

from cranberryrill.quarantine import request_key


def make_key(method: str, target: str, owner: str, body: bytes) -> str:
    head = request_key.head_key(method, target, owner)
    return request_key.full_key(head, body)


def test_only_repeats_share_a_key() -> None:
    variants = list(
        itertools.product(
            ('GET', 'POST'),
            ('/a', '/a?', '/a?b', '/A', '/\xff'),
            ('', 'one', 'two'),
            (b'', b'x', b'x' * 100_000),
        )
    )
    keys = {make_key(*variant) for variant in variants}
    assert len(keys) == len(variants)
    assert {make_key(*variant) for variant in variants} == keys


def test_fields_are_delimited() -> None:
    assert make_key('GET', '/a', 'b', b'') != make_key('GET', '/ab', '', b'')


def test_head_is_found_in_the_full_key() -> None:
    head = request_key.head_key('GET', '/a', 'o')
    full = request_key.full_key(head, b'x')
    assert request_key.head_of(full) == head
    assert request_key.is_request(full)
    assert not request_key.is_request('5c1e07a2')
