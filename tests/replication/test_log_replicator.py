"""Send entries so that a slow link gets them too."""

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
    """Answer in time only appends of few entries."""

    most_entries: int
    sizes: list[int] = dataclasses.field(default_factory=list)

    def stub(self, peer: str) -> 'SlowPeer':
        return self

    def reset(self, peer: str) -> None:
        """Forget nothing: there is no connection."""

    async def Append(
        self,
        request: replication_pb2.AppendRequest,
        timeout: float,
    ) -> replication_pb2.AppendAnswer:
        self.sizes.append(len(request.entries))
        if len(request.entries) > self.most_entries:
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
    peer = SlowPeer(most_entries=4)
    sender = log_replicator.Replicator(local, typing.cast(typing.Any, peer))
    for _ in range(2 * ENTRIES):
        await sender.send('b')
    assert local.progress['b'].match_index == ENTRIES
    assert peer.sizes[0] == ENTRIES
