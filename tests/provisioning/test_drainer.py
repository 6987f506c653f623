"""An upstream is drained once it is leaving and idle, or long missing."""

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
    process_directory = directory.Directory(0)
    announcement = membership_pb2.Announcement(
        process='a',
        leaving=leaving,
        load=membership_pb2.Load(running=running, waiting=waiting),
    )
    process_directory.record(announcement, 'control-0', 0)
    dialer = typing.cast(transport.Dialer, None)
    return drainer.Drainer('control-0', process_directory, dialer)


@pytest.mark.parametrize(
    ('leaving', 'running', 'waiting', 'drained'),
    [
        (False, 0, 0, False),
        (True, 1, 0, False),
        (True, 0, 1, False),
        (True, 0, 0, True),
    ],
)
def test_leaving_and_idle_is_drained(
    leaving: bool,
    running: int,
    waiting: int,
    drained: bool,
) -> None:
    upstream_drainer = make_drainer(leaving, running, waiting)
    assert upstream_drainer.is_drained('a', 0) is drained


def test_missing_upstream_is_drained_after_timeout() -> None:
    upstream_drainer = make_drainer(leaving=False, running=1, waiting=0)
    upstream_drainer.directory.remove('a', 'control-0')
    assert not upstream_drainer.is_drained('a', 10)
    assert not upstream_drainer.is_drained(
        'a', 9 + drainer.MISSING_TIMEOUT_SECONDS
    )
    assert upstream_drainer.is_drained(
        'a', 10 + drainer.MISSING_TIMEOUT_SECONDS
    )


def test_returning_upstream_restarts_the_timeout() -> None:
    upstream_drainer = make_drainer(leaving=False, running=1, waiting=0)
    upstream_drainer.directory.remove('a', 'control-0')
    assert not upstream_drainer.is_drained('a', 10)
    returned = membership_pb2.Announcement(process='a')
    upstream_drainer.directory.record(returned, 'control-0', 20)
    assert not upstream_drainer.is_drained('a', 20)
    upstream_drainer.directory.remove('a', 'control-0')
    assert not upstream_drainer.is_drained(
        'a', 11 + drainer.MISSING_TIMEOUT_SECONDS
    )
