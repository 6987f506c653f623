"""Only a number from 100 to 599 after the protocol is a status."""

import pytest

from cranberryrill import status_line


@pytest.mark.parametrize(
    ('line', 'status'),
    [
        ('HTTP/1.1 200 OK', 200),
        ('HTTP/1.0 599', 599),
        ('HTTP/1.1 100 Continue', 100),
        ('HTTP/1.1 404 ', 404),
        ('HTTP/1.1 404 Not\tfound, \xe4', 404),
        ('HTTP/1.1 200 O\x01K', None),
        ('HTTP/1.1 200 OK\x7f', None),
        ('HTTP/1.1  200 OK', None),
        ('HTTP/1..1 200 OK', None),
        ('HTTP/2 200 OK', None),
        (' HTTP/1.1 200 OK', None),
        ('HTTP/1.1 000 OK', None),
        ('HTTP/1.1 099 OK', None),
        ('HTTP/1.1 600 OK', None),
        ('HTTP/1.1 2000 OK', None),
        ('HTTP/1.1 20 OK', None),
        ('HTTP/1.1 ２００ OK', None),
        ('HTTP/1.1', None),
        ('HTTP/1.1 ', None),
        ('X-Status: 200', None),
    ],
)
def test_status(line: str, status: int | None) -> None:
    assert status_line.parse_status(line) == status
