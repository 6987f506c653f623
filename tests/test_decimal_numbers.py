"""Whole numbers of any length are parsed without an error."""

import pytest

from cranberryrill import decimal_numbers


ZEROS = '0' * 5000


@pytest.mark.parametrize(
    ('text', 'number'),
    [
        ('0', 0),
        (' 17 ', 17),
        (f'{ZEROS}3', 3),
        ('9' * 5000, 10**18 - 1),
        ('', None),
        ('-1', None),
        ('1.5', None),
        ('\u0663', None),
    ],
)
def test_parse(text: str, number: int | None) -> None:
    assert decimal_numbers.parse(text) == number
