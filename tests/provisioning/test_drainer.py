"""Tell an upstream that is at rest from one that is not."""

import typing

import pytest

from cranberryrill import transport
from cranberryrill.membership import directory, membership_pb2
from cranberryrill.provisioning import drainer


def make_drainer(
    leaving: bool,
    running: int,
    waiting: int,
) -> drainer.Drainer:
    known = directory.Directory(0)
    announcement = membership_pb2.Announcement(
        process='a',
        leaving=leaving,
        load=membership_pb2.Load(running=running, waiting=waiting),
    )
    known.record(announcement, 'control-0', 0)
    dialer = typing.cast(transport.Dialer, None)
    return drainer.Drainer('control-0', known, dialer)


@pytest.mark.parametrize(
    ('leaving', 'running', 'waiting', 'at_rest'),
    [
        (False, 0, 0, False),
        (True, 1, 0, False),
        (True, 0, 1, False),
        (True, 0, 0, True),
    ],
)
def test_at_rest(
    leaving: bool,
    running: int,
    waiting: int,
    at_rest: bool,
) -> None:
    known = make_drainer(leaving, running, waiting)
    assert known.is_drained('a', 0) is at_rest


def test_a_silent_one_is_at_rest_after_a_while() -> None:
    known = make_drainer(leaving=False, running=1, waiting=0)
    known.directory.remove('a', 'control-0')
    assert not known.is_drained('a', 10)
    assert not known.is_drained('a', 9 + drainer.MISSING_TIMEOUT_SECONDS)
    assert known.is_drained('a', 10 + drainer.MISSING_TIMEOUT_SECONDS)


def test_one_that_returns_is_not_at_rest() -> None:
    known = make_drainer(leaving=False, running=1, waiting=0)
    known.directory.remove('a', 'control-0')
    assert not known.is_drained('a', 10)
    back = membership_pb2.Announcement(process='a')
    known.directory.record(back, 'control-0', 20)
    assert not known.is_drained('a', 20)
    known.directory.remove('a', 'control-0')
    assert not known.is_drained('a', 11 + drainer.MISSING_TIMEOUT_SECONDS)
