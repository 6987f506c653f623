"""Build single members whose peers are not running."""

import pathlib
from collections import abc

import pytest

from cranberryrill.replication import groups, member, replication_pb2, store
from cranberryrill.state import commands_pb2, machine

NOOP = commands_pb2.Command(noop=commands_pb2.Noop()).SerializeToString()


def entry(index: int, term: int) -> replication_pb2.Entry:
    return replication_pb2.Entry(index=index, term=term, command=NOOP)


def voters(identity: str) -> replication_pb2.Group:
    """Return a group of three voters; `identity` is the voter `a`."""
    return groups.make('group', {'a': identity, 'b': 'id-b', 'c': 'id-c'})


async def make_member(folder: pathlib.Path) -> member.Member:
    """Return member `a` of three, a follower without a leader."""
    disk = store.Store(folder)
    if not disk.group.members:
        founding = replication_pb2.Snapshot(group=voters(disk.identity))
        await disk.snapshots.save(founding)
    return member.Member('a', ('b', 'c'), disk, machine.Machine([]), 0)


@pytest.fixture
async def local(tmp_path: pathlib.Path) -> abc.AsyncIterator[member.Member]:
    """Provide member `a` of three, a follower without a leader."""
    follower = await make_member(tmp_path / 'a')
    yield follower
    follower.store.close()
