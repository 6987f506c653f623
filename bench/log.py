"""Measure the replicated log: batches, the kept tail, the pending limit.

Run `python -m bench.log --seed 1`; it prints Markdown tables.
"""

import asyncio
import dataclasses
import os
import pathlib
import random
import statistics
import tempfile
import time
import typing
from collections import abc

import cyclopts

from bench import faults, group
from cranberryrill.replication import compaction, member
from cranberryrill.state import commands_pb2

APP = cyclopts.App(help='Measure the replicated log.')
MILLISECONDS_PER_SECOND = 1000
MEBIBYTE = 1024 * 1024
PROPOSER_COUNTS = (1, 8, 64)
TAIL_ENTRIES = (0, 64, 256)
SNAPSHOT_ENTRIES = 256
STATE_KEYS = 2000
PROPOSALS_WITHOUT_MAJORITY = 20_000
BIG_COMMAND_BYTES = 4096


def put_key(rng: random.Random, number: int, size: int = 32) -> bytes:
    """Return a command that issues a key, with a digest of `size` bytes."""
    digest = rng.randbytes(size)
    change = commands_pb2.PutKey(
        change_id=f'change-{number}',
        request_digest=digest,
        key=commands_pb2.KeyRecord(
            digest=digest,
            organisation='o',
            name=f'key-{number}',
        ),
    )
    return commands_pb2.Command(put_key=change).SerializeToString()


def add_organisation() -> bytes:
    """Return a command that adds the organisation of all keys."""
    content = b'{"name": "o"}'
    return commands_pb2.Command(
        apply_configuration=commands_pb2.ApplyConfiguration(
            change_id='organisation',
            changes=[
                commands_pb2.ObjectChange(
                    kind='organisations',
                    name='o',
                    json=content,
                ),
            ],
        ),
    ).SerializeToString()


@dataclasses.dataclass
class ProposalLoad:
    """Proposals from several tasks, with the duration of each in seconds."""

    members: group.Group
    rng: random.Random
    proposed: int = 0
    seconds: list[float] = dataclasses.field(default_factory=list)

    async def propose(self, leader: group.Node) -> bool:
        """Propose one command; return whether it was committed."""
        self.proposed += 1
        started = time.perf_counter()
        outcome = await leader.proposer.propose_as_leader(
            put_key(self.rng, self.proposed),
        )
        self.seconds.append(time.perf_counter() - started)
        return outcome.is_ok()

    async def run(self, proposers: int, seconds: float) -> float:
        """Propose for `seconds` in parallel; return proposals a second."""
        leader = await self.members.leader()
        started = time.perf_counter()
        await asyncio.gather(
            *(self._loop(leader, started + seconds) for _ in range(proposers)),
        )
        return len(self.seconds) / (time.perf_counter() - started)

    async def _loop(self, leader: group.Node, deadline: float) -> None:
        while time.perf_counter() < deadline:
            await self.propose(leader)


async def measure_batching(
    folder: pathlib.Path,
    seed: int,
    seconds: float,
) -> abc.AsyncIterator[str]:
    """Yield a row for each number of proposers, with and without batches."""
    yield '| syncs | proposers | proposals/s | median ms | 99 in 100 ms |'
    yield '|---|---|---|---|---|'
    default_limit = member.MAX_BATCH_ENTRIES
    for proposers in PROPOSER_COUNTS:
        data_folder = folder / f'batched-{proposers}'
        async with group.Group(data_folder, seed) as members:
            yield await measure_rate_row(members, 'batched', proposers, seconds)
    member.MAX_BATCH_ENTRIES = 1
    for proposers in PROPOSER_COUNTS:
        data_folder = folder / f'single-{proposers}'
        single = group.Group(
            data_folder, seed, replicator_type=group.UnbatchedReplicator
        )
        async with single as members:
            yield await measure_rate_row(
                members, 'each entry', proposers, seconds
            )
    member.MAX_BATCH_ENTRIES = default_limit


async def measure_rate_row(
    members: group.Group,
    kind: str,
    proposers: int,
    seconds: float,
) -> str:
    """Propose for `seconds` and return a row of the table."""
    load = ProposalLoad(members, random.Random(members.seed))
    rate = await load.run(proposers, seconds)
    percentiles = statistics.quantiles(load.seconds, n=100)
    cells = (
        kind,
        str(proposers),
        f'{rate:.0f}',
        f'{percentiles[49] * MILLISECONDS_PER_SECOND:.1f}',
        f'{percentiles[98] * MILLISECONDS_PER_SECOND:.1f}',
    )
    return f'| {" | ".join(cells)} |'


async def measure_tail(
    folder: pathlib.Path,
    seed: int,
    seconds: float,
) -> abc.AsyncIterator[str]:
    """Yield a row for each kept tail and time that a follower is cut off."""
    yield (
        '| kept tail | follower lagged by | snapshot bytes sent '
        '| caught up after ms |'
    )
    yield '|---|---|---|---|'
    for tail in TAIL_ENTRIES:
        bounds = compaction.Bounds(
            entries=SNAPSHOT_ENTRIES,
            tail_entries=tail,
        )
        for cut_seconds in (seconds / 2, seconds):
            data_folder = folder / f'tail-{tail}-{cut_seconds}'
            async with group.Group(data_folder, seed, bounds) as members:
                lag_entries, sent, elapsed_ms = await measure_absence(
                    members, seed, cut_seconds
                )
            yield f'| {tail} | {lag_entries} | {sent} | {elapsed_ms:.0f} |'


async def measure_absence(
    members: group.Group,
    seed: int,
    cut_seconds: float,
) -> tuple[int, int, float]:
    """Cut a follower off from the group for a while.

    Return how many entries it lagged by, the bytes of snapshot sent to it,
    and the milliseconds in which it caught up.
    """
    load = ProposalLoad(members, random.Random(seed))
    leader = await members.leader()
    await leader.proposer.propose_as_leader(add_organisation())
    while load.proposed < STATE_KEYS:
        await asyncio.gather(*(load.propose(leader) for _ in range(100)))
    follower = members.followers(leader)[0]
    members.network.isolate(follower.name, faults.Fault.blackhole)
    started = time.perf_counter()
    while time.perf_counter() < started + cut_seconds:
        await load.propose(leader)
        await asyncio.sleep(0.01)
    members.network.isolate(follower.name, faults.Fault.none)
    started = time.perf_counter()
    target_index = leader.member.commit_index
    lag_entries = target_index - follower.member.applied_index
    while follower.member.applied_index < target_index:
        await asyncio.sleep(group.POLL_SECONDS)
    elapsed_ms = (time.perf_counter() - started) * MILLISECONDS_PER_SECOND
    progress = leader.member.progress.get(follower.name)
    return lag_entries, progress.snapshot_bytes if progress else 0, elapsed_ms


async def measure_pending_limit(
    folder: pathlib.Path,
    seed: int,
) -> abc.AsyncIterator[str]:
    """Yield a row with the limit on pending entries and one without it.

    The leader is cut off from both followers, so that nothing is committed.
    """
    yield '| bound | taken | refused | log held, MiB |'
    yield '|---|---|---|---|'
    default_limit = member.MAX_PENDING_ENTRIES
    for limit in (default_limit, PROPOSALS_WITHOUT_MAJORITY * 2):
        member.MAX_PENDING_ENTRIES = limit
        data_folder = folder / f'bound-{limit}'
        async with group.Group(data_folder, seed) as members:
            leader = await members.leader()
            members.network.isolate(leader.name, faults.Fault.blackhole)
            refused, log_mebibytes = await propose_without_majority(
                leader, seed
            )
        accepted = PROPOSALS_WITHOUT_MAJORITY - refused
        label = limit if limit == default_limit else 'none'
        yield f'| {label} | {accepted} | {refused} | {log_mebibytes:.0f} |'
    member.MAX_PENDING_ENTRIES = default_limit


async def propose_without_majority(
    leader: group.Node,
    seed: int,
) -> tuple[int, float]:
    """Propose large commands to a leader without a majority.

    Return the number of refusals and the size of the log in MiB.
    """
    rng = random.Random(seed)
    proposals = [
        asyncio.create_task(
            leader.proposer.propose_as_leader(
                put_key(rng, number, BIG_COMMAND_BYTES),
            ),
        )
        for number in range(PROPOSALS_WITHOUT_MAJORITY)
    ]
    outcomes = await asyncio.gather(*proposals)
    log_mebibytes = leader.member.store.log_bytes / MEBIBYTE
    refused = sum(
        outcome.is_err()
        and isinstance(outcome.unwrap_err(), member.TooManyPending)
        for outcome in outcomes
    )
    return refused, log_mebibytes


def sync_milliseconds(folder: pathlib.Path) -> float:
    """Return the median milliseconds of one small write with its sync."""
    durations = []
    with (folder / 'probe').open('wb') as stream:
        for _ in range(100):
            started = time.perf_counter()
            stream.write(bytes(200))
            stream.flush()
            os.fsync(stream.fileno())
            durations.append(time.perf_counter() - started)
    return statistics.median(durations) * MILLISECONDS_PER_SECOND


async def measure(folder: pathlib.Path, seed: int, seconds: float) -> None:
    """Measure and print every table."""
    print(f'One write and sync: {sync_milliseconds(folder):.2f} ms (median)\n')
    tables: list[typing.Any] = [
        measure_batching(folder, seed, seconds),
        measure_tail(folder, seed, seconds),
        measure_pending_limit(folder, seed),
    ]
    for rows in tables:
        async for row in rows:
            print(row, flush=True)
        print()


@APP.default
def main(seed: int = 1, seconds: float = 3, folder: str = '') -> None:
    """Measure the replicated log and print Markdown tables.

    Parameters
    ----------
    seed:
        Seed of the commands and of the elections.
    seconds:
        Duration of each measurement.
    folder:
        Parent of the temporary folder for the members' data.
    """
    with tempfile.TemporaryDirectory(dir=folder or None) as data_folder:
        asyncio.run(measure(pathlib.Path(data_folder), seed, seconds))


if __name__ == '__main__':
    APP()
