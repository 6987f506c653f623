"""A member stops at an entry that it cannot apply instead of skipping it."""

import pytest

from cranberryrill.replication import member
from cranberryrill.state import commands_pb2, machine
from tests.replication import conftest


def test_unknown_command_raises() -> None:
    with pytest.raises(machine.UnknownCommand):
        machine.Machine([]).apply(b'', 1, 0)


async def test_unknown_command_stops_the_process(local: member.Member) -> None:
    unsupported = conftest.entry(1, 1)
    command = commands_pb2.Command(put_key=commands_pb2.PutKey())
    unsupported.command = command.SerializeToString()
    local.store.append([unsupported])
    with pytest.raises(member.ApplyFailed):
        await local.commit_to(1)
    assert local.store.disk.failed.is_set()
    assert local.applied_index == 0
