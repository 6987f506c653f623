"""Push the directory to those who choose among agents, and to no other."""

import asyncio
import typing
from collections import abc

import pytest

from cranberryrill import clock
from cranberryrill.membership import directory, membership_pb2, watch_service
from cranberryrill.replication import member


class Recorded:
    """Bring one renewal, and keep what is pushed."""

    def __init__(self, role: membership_pb2.Role) -> None:
        self.renewal = membership_pb2.Renewal(
            announcement=membership_pb2.Announcement(process='p', role=role),
        )
        self.pushed: list[membership_pb2.Push] = []

    async def __aiter__(self) -> abc.AsyncIterator[membership_pb2.Renewal]:
        yield self.renewal

    async def send_message(self, push: membership_pb2.Push) -> None:
        self.pushed.append(push)


class Service:
    """Hold a directory that knows one process."""

    def __init__(self) -> None:
        self.directory = directory.Directory(float('-inf'))
        self.member = self
        self.name = 'control-0'
        self.peers: tuple[str, ...] = ()


@pytest.mark.parametrize(
    ('role', 'directories'),
    [(membership_pb2.Role.ENTRY, 1), (membership_pb2.Role.AGENT, 0)],
)
def test_only_entries_get_the_directory(
    role: membership_pb2.Role,
    directories: int,
) -> None:
    stream = Recorded(role)
    service: typing.Any = Service()
    asyncio.run(
        _watch(watch_service.Watch(service, typing.cast(typing.Any, stream)))
    )
    pushed = [one for one in stream.pushed if one.HasField('directory')]
    assert len(pushed) == directories


async def _watch(watch: watch_service.Watch) -> None:
    await watch.read()
    await watch.push_directory(clock.monotonic_seconds())


async def test_a_renewal_waits_for_the_first_proof() -> None:
    service: typing.Any = Service()
    service.fencing = int
    stream = Recorded(membership_pb2.Role.ENTRY)
    watch = watch_service.Watch(service, typing.cast(typing.Any, stream))
    watch.renewals = [(1, 10.0), (2, 10.5)]
    await watch.push_grants(member.Freshness(index=0, as_of=float('-inf')))
    assert not stream.pushed
    # The member came to know of a leader after the renewal had arrived.
    await watch.push_grants(member.Freshness(index=5, as_of=10.8))
    assert [one.grant.sequence for one in stream.pushed] == [2]
    await watch.push_grants(member.Freshness(index=5, as_of=10.9))
    assert len(stream.pushed) == 1
