"""Stand in for a model engine that batches continuously."""

import asyncio
import collections
import dataclasses
import itertools
import time

from standins import prefix_cache, sequences

# A cut-off sequence can be resumed while it is among the last so many.
RESUMABLE = 4096


@dataclasses.dataclass(frozen=True)
class EngineSettings:
    """Set the engine's speed and size."""

    model: str
    batch_limit: int = 8
    # A step takes this long, and more for each sequence in the batch.
    step_seconds: float = 0.01
    sequence_seconds: float = 0
    prefill_tokens_per_step: int = 512
    slowdown: float = 1
    cache_blocks: int = 512
    report_lag_seconds: float = 0
    event_lag_seconds: float = 1
    seed: int = 1
    checks_fencing: bool = False


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """Say how loaded and how fast the engine claims to be."""

    at: float
    running: int
    waiting: int
    step_seconds: float


@dataclasses.dataclass(frozen=True)
class OrderRecord:
    """Record an order that the engine acted on."""

    fencing: int
    kind: str
    name: str


class Engine:
    """Work on a batch of sequences, one token each a step."""

    def __init__(self, settings: EngineSettings) -> None:
        self.settings = settings
        # The true factor; reports tell the speed of `settings`.
        self.slowdown = settings.slowdown
        self.waiting: list[sequences.Sequence] = []
        self.batch: list[sequences.Sequence] = []
        self.ledger: list[sequences.LedgerLine] = []
        self.orders: list[OrderRecord] = []
        self.highest_fencing = 0
        self.resumable: collections.OrderedDict[str, sequences.Sequence] = (
            collections.OrderedDict()
        )
        self.cache = prefix_cache.PrefixCache(
            settings.cache_blocks,
            settings.seed,
        )
        self.reports: collections.deque[LoadReport] = collections.deque(
            maxlen=4096,
        )
        self.numbers = itertools.count()
        self.wake = asyncio.Event()
        self.busy_seconds = 0.0

    def add(self, sequence: sequences.Sequence) -> bool:
        """Take a sequence into the queue; say whether it can be gone on with.

        One that is to be resumed must be known still.
        """
        if not self._resume(sequence):
            return False
        sequence.order = next(self.numbers)
        sequence.line.arrived_at = time.monotonic()
        self.ledger.append(sequence.line)
        self.waiting.append(sequence)
        self.waiting.sort(key=lambda one: (one.line.priority, one.order))
        self.wake.set()
        return True

    def cancel(self, sequence: sequences.Sequence) -> None:
        """Stop work on a sequence and keep its tokens for a resumption."""
        if sequence.cancelled or sequence.line.finished:
            return
        sequence.cancelled = True
        sequence.line.ended_at = time.monotonic()
        self.resumable[sequence.line.request_id] = sequence
        while len(self.resumable) > RESUMABLE:
            self.resumable.popitem(last=False)
        self.wake.set()

    def cancel_request(self, request_id: str) -> bool:
        """Stop work on a request; say whether there was any."""
        known = [
            one
            for one in self.waiting + self.batch
            if one.line.request_id == request_id and not one.is_done()
        ]
        for sequence in known:
            self.cancel(sequence)
        return bool(known)

    def delayed_report(self, now: float) -> LoadReport:
        """Return the newest report that is old enough to be told."""
        limit = now - self.settings.report_lag_seconds
        told = [one for one in self.reports if one.at <= limit]
        if told:
            return told[-1]
        return LoadReport(now, 0, 0, self.settings.step_seconds)

    async def run(self) -> None:
        """Step for as long as the process runs."""
        due = time.monotonic()
        while True:
            self._admit()
            self._note_report()
            if not self.batch:
                self.wake.clear()
                await self.wake.wait()
                due = time.monotonic()
                continue
            # Paced by a schedule, so that the host's timer adds no drift.
            due = max(due + self._step_seconds(), time.monotonic())
            self.busy_seconds += self._step_seconds()
            await asyncio.sleep(due - time.monotonic())
            self._step_batch()

    def _step_seconds(self) -> float:
        settings = self.settings
        size = len(self.batch)
        pause = settings.step_seconds + settings.sequence_seconds * size
        return pause * self.slowdown

    def _admit(self) -> None:
        self.batch = [one for one in self.batch if not one.is_done()]
        self.waiting = [one for one in self.waiting if not one.is_done()]
        while self.waiting and len(self.batch) < self.settings.batch_limit:
            sequence = self.waiting.pop(0)
            matched = self.cache.match(sequence.blocks)
            line = sequence.line
            line.started_at = time.monotonic()
            line.cached_tokens = matched
            # The tokens of an earlier run are a part of the prompt now.
            needed = line.prompt_tokens + sequence.produced
            sequence.prefill_left = max(needed - matched, 0)
            self.batch.append(sequence)

    def _step_batch(self) -> None:
        budget = self.settings.prefill_tokens_per_step
        now = time.monotonic()
        for sequence in self.batch:
            if sequence.cancelled:
                continue
            if sequence.prefill_left:
                taken = min(sequence.prefill_left, budget)
                sequence.prefill_left -= taken
                budget -= taken
            if not sequence.prefill_left:
                self._produce(sequence, now)

    def _produce(self, sequence: sequences.Sequence, now: float) -> None:
        line = sequence.line
        if not line.first_token_at:
            line.first_token_at = now
            self.cache.store(sequence.blocks, now)
        sequence.produced += 1
        line.produced += 1
        sequence.tokens.put_nowait(sequence.produced)

    def _resume(self, sequence: sequences.Sequence) -> bool:
        # The end of the earlier connection may not have been seen yet.
        self.cancel_request(sequence.line.request_id)
        earlier = self.resumable.pop(sequence.line.request_id, None)
        if earlier is None:
            return not sequence.line.resumed_from
        earlier.line.resumed = True
        wanted_from = sequence.line.resumed_from
        sequence.produced = max(earlier.produced, wanted_from)
        for number in range(wanted_from, sequence.produced):
            sequence.tokens.put_nowait(number + 1)
        return True

    def _note_report(self) -> None:
        now = time.monotonic()
        self.reports.append(
            LoadReport(
                now,
                len(self.batch),
                len(self.waiting),
                self.settings.step_seconds,
            ),
        )
