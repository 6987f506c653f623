"""JSON with a repeated name is malformed, as is what is no JSON."""

import time

import pytest

from cranberryrill import strict_json

BACKSLASH = b'\\'


@pytest.mark.parametrize(
    'content',
    [
        b'{"a":1,"a":1}',
        b'[{"b":{"a":1,"%su0061":2}}]' % BACKSLASH,
        b'{"a":1',
        b'\xff',
        b'[' * 100_000,
        b'9' * 5000,
    ],
)
def test_content_is_malformed(content: bytes) -> None:
    with pytest.raises(strict_json.Malformed):
        strict_json.parse(content)


def test_same_name_in_two_objects_is_sound() -> None:
    content = b'{"a":{"a":1},"b":[{"a":1},{"a":2}]}'
    assert strict_json.parse(content) == {
        'a': {'a': 1},
        'b': [{'a': 1}, {'a': 2}],
    }


def test_many_repeated_names_are_found_in_time() -> None:
    members = b','.join(b'"%d":0,"%d":0' % (n, n) for n in range(100_000))
    started_at = time.process_time()
    with pytest.raises(strict_json.Malformed):
        strict_json.parse(b'{%s}' % members)
    assert time.process_time() - started_at < 5
