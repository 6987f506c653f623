"""Append batches shrink until a slow link carries them in time."""

import asyncio
import dataclasses
import typing

import pytest

from cranberryrill.replication import (
    log_replicator,
    member,
    replication_pb2,
    timing,
)
from tests.replication import conftest

ENTRIES = 32


@dataclasses.dataclass
class SlowPeer:
    """Stand-in for a peer that times out on large appends."""

    max_entries: int
    sizes: list[int] = dataclasses.field(default_factory=list)

    def stub(self, peer: str) -> 'SlowPeer':
        return self

    def reset(self, peer: str) -> None:
        """Do nothing, since there is no connection."""

    async def Append(
        self,
        request: replication_pb2.AppendRequest,
        timeout: float,
    ) -> replication_pb2.AppendAnswer:
        self.sizes.append(len(request.entries))
        if len(request.entries) > self.max_entries:
            raise asyncio.TimeoutError
        return replication_pb2.AppendAnswer(
            term=request.term,
            accepted=True,
            identity='id-b',
            match_index=request.previous_index + len(request.entries),
        )


async def test_batches_shrink_until_they_pass(
    local: member.Member,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(timing, 'RETRY_PAUSE_SECONDS', 0)
    await local.store.save_ballot(1, local.identity)
    local.become_leader(0)
    for index in range(1, ENTRIES + 1):
        local.store.append([conftest.entry(index, 1)])
    local.progress['b'].next_index = 1
    peer = SlowPeer(max_entries=4)
    replicator = log_replicator.Replicator(local, typing.cast(typing.Any, peer))
    for _ in range(2 * ENTRIES):
        await replicator.send('b')
    assert local.progress['b'].match_index == ENTRIES
    assert peer.sizes[0] == ENTRIES
