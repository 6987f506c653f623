"""A member that waits for a group names the members that it misses."""

import logging
import pathlib

import pytest

from cranberryrill.replication import (
    group_founder,
    member,
    replication_pb2,
    store,
)
from cranberryrill.state import machine

MEMBERS = ('a', 'b', 'c')


class Stub:
    """Peer that answers that it is new."""

    async def Found(
        self, request: replication_pb2.FoundRequest, timeout: float
    ) -> replication_pb2.FoundAnswer:
        return replication_pb2.FoundAnswer(identity='id', free=True)


class Peers:
    """Peers of which those in `down` don't answer."""

    def __init__(self, *down: str) -> None:
        self.down = set(down)

    def stub(self, peer: str) -> Stub:
        if peer in self.down:
            raise ConnectionRefusedError(peer)
        return Stub()

    def reset(self, peer: str) -> None:
        """Keep nothing of a connection."""


def make_founder(
    folder: pathlib.Path, name: str, peers: Peers
) -> group_founder.Founder:
    others = tuple(other for other in MEMBERS if other != name)
    local = member.Member(
        name, others, store.Store(folder), machine.Machine([]), 0
    )
    return group_founder.Founder(local, peers)  # type: ignore[arg-type]


def waits(caplog: pytest.LogCaptureFixture) -> list[logging.LogRecord]:
    return [
        record
        for record in caplog.records
        if record.message == 'waiting for a group'
    ]


@pytest.mark.parametrize('name', ['a', 'b'])
async def test_wait_for_missing_members_is_logged_at_a_bounded_rate(
    tmp_path: pathlib.Path, caplog: pytest.LogCaptureFixture, name: str
) -> None:
    caplog.set_level(logging.INFO)
    founder = make_founder(tmp_path, name, Peers('c'))
    for tenth in range(300):
        await founder.found(tenth / 10)
    founder.member.store.close()
    records = waits(caplog)
    assert len(records) == 3
    assert {str(record.__dict__['missing']) for record in records} == {"['c']"}


async def test_group_that_can_be_founded_is_not_waited_for(
    tmp_path: pathlib.Path, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)
    founder = make_founder(tmp_path, 'a', Peers())
    await founder.found(0)
    founder.member.store.close()
    assert founder.member.group.members
    assert not waits(caplog)
