"""Compaction, transfer of snapshots, and restarts after a crash."""

import asyncio
import pathlib
import typing

import pytest

from cranberryrill.configuration import state
from cranberryrill.replication import (
    compaction,
    files,
    log_follower,
    member,
    replication_pb2,
    snapshot_transfer,
    store,
    timing,
)
from cranberryrill.state import commands_pb2, machine

CHANGES = 20
TAIL = 5
BOUNDS = compaction.Bounds(entries=CHANGES, tail_entries=TAIL)


class ChunkStream:
    """Stand-in for a stream that receives the chunks of a snapshot."""

    def __init__(self, *chunks: replication_pb2.SnapshotChunk) -> None:
        self.chunks = list(chunks)

    async def recv_message(self) -> replication_pb2.SnapshotChunk | None:
        return self.chunks.pop(0) if self.chunks else None


def change(number: int) -> replication_pb2.Entry:
    command = commands_pb2.Command(
        apply_configuration=commands_pb2.ApplyConfiguration(
            change_id=f'change-{number}',
            base_revision=number - 1,
            request_digest=b'digest',
        ),
    )
    return replication_pb2.Entry(
        index=number,
        term=1,
        command=command.SerializeToString(),
    )


def open_member(folder: pathlib.Path) -> member.Member:
    disk = store.Store(folder)
    slices = machine.Machine([state.ConfigurationState()])
    return member.Member('a', ('b', 'c'), disk, slices, 0)


async def commit(local: member.Member, first: int, last: int) -> None:
    local.store.append([change(number) for number in range(first, last + 1)])
    local.synced_index = await local.store.sync()
    await local.commit_to(last)


async def resend(local: member.Member, number: int) -> int:
    command = change(number).command
    outcome = local.machine.apply(command, 0, 0)
    return commands_pb2.ChangeOutcome.FromString(outcome).revision


def chunk(content: bytes, offset: int, total: int) -> typing.Any:
    return replication_pb2.SnapshotChunk(
        term=1,
        leader='b',
        total_bytes=total,
        offset=offset,
        content=content,
    )


async def make_snapshot(folder: pathlib.Path, last: int) -> bytes:
    local = open_member(folder)
    await commit(local, 1, last)
    await compaction.Compactor(local, BOUNDS).compact()
    local.store.close()
    return (folder / 'snapshot').read_bytes()


async def test_state_and_outcomes_survive_compaction(
    tmp_path: pathlib.Path,
) -> None:
    local = open_member(tmp_path)
    compactor = compaction.Compactor(local, BOUNDS)
    await commit(local, 1, CHANGES - 1)
    assert not compactor.is_due()
    await commit(local, CHANGES, CHANGES)
    assert compactor.is_due()
    await compactor.compact()
    assert local.store.log.base_index == CHANGES - TAIL
    await commit(local, CHANGES + 1, CHANGES + 3)
    local.store.close()

    reopened = open_member(tmp_path)
    assert reopened.applied_index == CHANGES
    assert reopened.store.log.last_index == CHANGES + 3
    await reopened.commit_to(CHANGES + 3)
    for number in (1, CHANGES, CHANGES + 3):
        assert await resend(reopened, number) == number
    reopened.store.close()


async def test_entries_during_compaction_are_kept(
    tmp_path: pathlib.Path,
) -> None:
    local = open_member(tmp_path)
    await commit(local, 1, CHANGES)
    rebasing = asyncio.create_task(local.store.rebase(CHANGES, 1))
    # The first step starts the write in a thread; append an entry meanwhile.
    await asyncio.sleep(0)
    local.store.append([change(CHANGES + 1)])
    assert await rebasing == CHANGES + 1
    local.store.close()
    records = files.records(tmp_path / 'log')
    base = replication_pb2.LogBase.FromString(next(records)[1])
    assert base.index == CHANGES
    assert sum(1 for _ in records) == 1


async def test_crash_between_snapshot_and_log(tmp_path: pathlib.Path) -> None:
    local = open_member(tmp_path)
    await commit(local, 1, CHANGES)
    await local.store.snapshots.save(
        replication_pb2.Snapshot(
            index=CHANGES - 1,
            term=1,
            state=local.machine.dump(),
        ),
    )
    local.store.close()
    reopened = open_member(tmp_path)
    assert reopened.applied_index == CHANGES - 1
    assert reopened.store.log.last_index == CHANGES
    reopened.store.close()


async def test_missing_snapshot_fails_the_start(tmp_path: pathlib.Path) -> None:
    await make_snapshot(tmp_path, CHANGES)
    (tmp_path / 'snapshot').unlink()
    with pytest.raises(files.StorageFailure, match='snapshot ends at 0'):
        open_member(tmp_path)


async def test_damaged_snapshot_fails_the_start(
    tmp_path: pathlib.Path,
) -> None:
    content = bytearray(await make_snapshot(tmp_path, CHANGES))
    content[-1] ^= 1
    (tmp_path / 'snapshot').write_bytes(content)
    with pytest.raises(files.CorruptRecord):
        open_member(tmp_path)


async def test_missing_log_fails_the_start(tmp_path: pathlib.Path) -> None:
    await make_snapshot(tmp_path, CHANGES)
    (tmp_path / 'log').unlink()
    with pytest.raises(files.StorageFailure, match='missing'):
        open_member(tmp_path)


async def test_tail_is_limited_in_bytes(tmp_path: pathlib.Path) -> None:
    local = open_member(tmp_path)
    await commit(local, 1, CHANGES)
    bounds = compaction.Bounds(tail_bytes=local.store.log_bytes // CHANGES)
    await compaction.Compactor(local, bounds).compact()
    tail_entries = local.store.log.last_index - local.store.log.base_index
    assert tail_entries <= 1
    local.store.close()


async def test_complete_snapshot_is_installed(tmp_path: pathlib.Path) -> None:
    content = await make_snapshot(tmp_path / 'leader', CHANGES)
    local = open_member(tmp_path / 'follower')
    await commit(local, 1, 2)
    receiver = snapshot_transfer.Receiver(local, log_follower.Follower(local))
    half = len(content) // 2
    chunks = (
        chunk(content[:half], 0, len(content)),
        chunk(content[half:], half, len(content)),
    )
    answer = await receiver.receive(
        typing.cast(typing.Any, ChunkStream(*chunks)),
    )
    assert answer.installed
    assert answer.index == CHANGES
    assert await resend(local, CHANGES) == CHANGES
    local.store.close()
    reopened = open_member(tmp_path / 'follower')
    assert reopened.applied_index == CHANGES
    assert reopened.store.log.last_index == CHANGES
    assert await resend(reopened, 1) == 1
    reopened.store.close()


@pytest.mark.parametrize('fault', ['cut', 'damaged', 'gap', 'older term'])
async def test_partial_snapshot_changes_nothing(
    tmp_path: pathlib.Path,
    fault: str,
) -> None:
    content = bytearray(await make_snapshot(tmp_path / 'leader', CHANGES))
    local = open_member(tmp_path / 'follower')
    await commit(local, 1, 2)
    await local.store.save_ballot(2 if fault == 'older term' else 1, '')
    total = len(content)
    if fault == 'damaged':
        content[-1] ^= 1
    sent = bytes(content[:-1] if fault == 'cut' else content)
    sent_chunk = chunk(sent, 1 if fault == 'gap' else 0, total)
    receiver = snapshot_transfer.Receiver(local, log_follower.Follower(local))
    answer = await receiver.receive(
        typing.cast(typing.Any, ChunkStream(sent_chunk)),
    )
    assert not answer.installed
    assert local.applied_index == 2
    local.store.close()
    reopened = open_member(tmp_path / 'follower')
    assert reopened.store.log.last_index == 2
    reopened.store.close()


class SilentStream:
    """Stand-in for a stream that receives nothing."""

    async def recv_message(self) -> None:
        await asyncio.Event().wait()


async def test_silent_sender_times_out(
    local: member.Member,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(timing, 'CHUNK_TIMEOUT_SECONDS', 0)
    receiver = snapshot_transfer.Receiver(local, log_follower.Follower(local))
    answer = await receiver.receive(typing.cast(typing.Any, SilentStream()))
    assert not answer.installed


async def test_uncommitted_entries_trigger_no_snapshot(
    tmp_path: pathlib.Path,
) -> None:
    local = open_member(tmp_path)
    await commit(local, 1, 2)
    bounds = compaction.Bounds(log_bytes=local.store.log_bytes + 1)
    compactor = compaction.Compactor(local, bounds)
    local.store.append([change(number) for number in range(3, CHANGES)])
    assert not compactor.is_due()
    await local.commit_to(3)
    assert compactor.is_due()
    local.store.close()
