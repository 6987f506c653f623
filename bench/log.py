"""Measure the replicated log: batched syncs, the kept tail, the bound.

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
    """Return a command that issues a key."""
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
    """Return the command that makes the keys' organisation."""
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
    """Propose from several tasks and note how long each proposal took."""

    members: group.Group
    rng: random.Random
    number: int = 0
    seconds: list[float] = dataclasses.field(default_factory=list)

    async def propose(self, leader: group.Node) -> bool:
        """Commit one command."""
        self.number += 1
        began = time.perf_counter()
        outcome = await leader.proposer.propose_as_leader(
            put_key(self.rng, self.number),
        )
        self.seconds.append(time.perf_counter() - began)
        return outcome.is_ok()

    async def run(self, proposers: int, seconds: float) -> float:
        """Propose for some time; return proposals a second."""
        leader = await self.members.leader()
        began = time.perf_counter()
        await asyncio.gather(
            *(self._loop(leader, began + seconds) for _ in range(proposers)),
        )
        return len(self.seconds) / (time.perf_counter() - began)

    async def _loop(self, leader: group.Node, until: float) -> None:
        while time.perf_counter() < until:
            await self.propose(leader)


async def measure_batching(
    folder: pathlib.Path,
    seed: int,
    seconds: float,
) -> abc.AsyncIterator[str]:
    """Yield a row for each number of proposers, batched and not."""
    yield '| syncs | proposers | proposals/s | median ms | 99 in 100 ms |'
    yield '|---|---|---|---|---|'
    entries = member.MAX_BATCH_ENTRIES
    for proposers in PROPOSER_COUNTS:
        place = folder / f'batched-{proposers}'
        async with group.Group(place, seed) as running:
            yield await measure_rate_row(running, 'batched', proposers, seconds)
    member.MAX_BATCH_ENTRIES = 1
    for proposers in PROPOSER_COUNTS:
        place = folder / f'single-{proposers}'
        single = group.Group(
            place, seed, replicator_type=group.UnbatchedReplicator
        )
        async with single as running:
            yield await measure_rate_row(
                running, 'each entry', proposers, seconds
            )
    member.MAX_BATCH_ENTRIES = entries


async def measure_rate_row(
    running: group.Group,
    kind: str,
    proposers: int,
    seconds: float,
) -> str:
    """Propose for some time and return a row of the table."""
    load = ProposalLoad(running, random.Random(running.seed))
    rate = await load.run(proposers, seconds)
    taken = statistics.quantiles(load.seconds, n=100)
    cells = (
        kind,
        str(proposers),
        f'{rate:.0f}',
        f'{taken[49] * MILLISECONDS_PER_SECOND:.1f}',
        f'{taken[98] * MILLISECONDS_PER_SECOND:.1f}',
    )
    return f'| {" | ".join(cells)} |'


async def measure_tail(
    folder: pathlib.Path,
    seed: int,
    seconds: float,
) -> abc.AsyncIterator[str]:
    """Yield a row for each kept tail and length of a follower's absence."""
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
        for lag in (seconds / 2, seconds):
            place = folder / f'tail-{tail}-{lag}'
            async with group.Group(place, seed, bounds) as running:
                lagged, sent, taken = await measure_absence(running, seed, lag)
            yield f'| {tail} | {lagged} | {sent} | {taken:.0f} |'


async def measure_absence(
    running: group.Group,
    seed: int,
    lag: float,
) -> tuple[int, int, float]:
    """Cut a follower off; return its lag, the bytes sent, milliseconds."""
    load = ProposalLoad(running, random.Random(seed))
    leader = await running.leader()
    await leader.proposer.propose_as_leader(add_organisation())
    while load.number < STATE_KEYS:
        await asyncio.gather(*(load.propose(leader) for _ in range(100)))
    follower = running.followers(leader)[0]
    running.network.isolate(follower.name, faults.Fault.blackhole)
    began = time.perf_counter()
    while time.perf_counter() < began + lag:
        await load.propose(leader)
        await asyncio.sleep(0.01)
    running.network.isolate(follower.name, faults.Fault.none)
    began = time.perf_counter()
    wanted = leader.member.commit_index
    lagged = wanted - follower.member.applied_index
    while follower.member.applied_index < wanted:
        await asyncio.sleep(group.POLL_SECONDS)
    taken = (time.perf_counter() - began) * MILLISECONDS_PER_SECOND
    known = leader.member.progress.get(follower.name)
    return lagged, known.snapshot_bytes if known else 0, taken


async def measure_bound(
    folder: pathlib.Path,
    seed: int,
) -> abc.AsyncIterator[str]:
    """Yield a row for each bound on pending entries, with both peers cut."""
    yield '| bound | taken | refused | log held, MiB |'
    yield '|---|---|---|---|'
    bound = member.MAX_PENDING_ENTRIES
    for most in (bound, PROPOSALS_WITHOUT_MAJORITY * 2):
        member.MAX_PENDING_ENTRIES = most
        place = folder / f'bound-{most}'
        async with group.Group(place, seed) as running:
            leader = await running.leader()
            running.network.isolate(leader.name, faults.Fault.blackhole)
            refused, held = await flood(leader, seed)
        taken = PROPOSALS_WITHOUT_MAJORITY - refused
        label = most if most == bound else 'none'
        yield f'| {label} | {taken} | {refused} | {held:.0f} |'
    member.MAX_PENDING_ENTRIES = bound


async def flood(
    leader: group.Node,
    seed: int,
) -> tuple[int, float]:
    """Propose without a majority; return refusals and the log's MiB."""
    rng = random.Random(seed)
    waiting = [
        asyncio.create_task(
            leader.proposer.propose_as_leader(
                put_key(rng, number, BIG_COMMAND_BYTES),
            ),
        )
        for number in range(PROPOSALS_WITHOUT_MAJORITY)
    ]
    outcomes = await asyncio.gather(*waiting)
    held = leader.member.store.log_bytes / MEBIBYTE
    refused = sum(
        outcome.is_err()
        and isinstance(outcome.unwrap_err(), member.TooManyPending)
        for outcome in outcomes
    )
    return refused, held


def sync_milliseconds(folder: pathlib.Path) -> float:
    """Return the median time of one small write and sync."""
    taken = []
    with (folder / 'probe').open('wb') as stream:
        for _ in range(100):
            began = time.perf_counter()
            stream.write(bytes(200))
            stream.flush()
            os.fsync(stream.fileno())
            taken.append(time.perf_counter() - began)
    return statistics.median(taken) * MILLISECONDS_PER_SECOND


async def measure(folder: pathlib.Path, seed: int, seconds: float) -> None:
    """Print every table."""
    print(f'One write and sync: {sync_milliseconds(folder):.2f} ms (median)\n')
    tables: list[typing.Any] = [
        measure_batching(folder, seed, seconds),
        measure_tail(folder, seed, seconds),
        measure_bound(folder, seed),
    ]
    for rows in tables:
        async for row in rows:
            print(row, flush=True)
        print()


@APP.default
def main(seed: int = 1, seconds: float = 3, folder: str = '') -> None:
    """Measure, with data under this folder (default: a temporary one)."""
    with tempfile.TemporaryDirectory(dir=folder or None) as place:
        asyncio.run(measure(pathlib.Path(place), seed, seconds))


if __name__ == '__main__':
    APP()
