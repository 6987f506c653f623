"""Stand-in for a model engine with continuous batching."""

import asyncio
import collections
import dataclasses
import itertools
import time

from standins import prefix_cache, sequences

# Only the most recently cancelled sequences can be resumed.
MAX_RESUMABLE_SEQUENCES = 4096


@dataclasses.dataclass(frozen=True)
class EngineSettings:
    """Speed, capacity and reporting delays of a model engine."""

    model: str
    batch_limit: int = 8
    # A step lasts `step_seconds` plus `sequence_seconds` for each sequence in
    # the batch, multiplied by `slowdown`.
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
    """Load and speed as the engine reports them at a monotonic time.

    The step time is the configured one, whatever the actual speed.
    """

    at: float
    running: int
    waiting: int
    step_seconds: float


@dataclasses.dataclass(frozen=True)
class OrderRecord:
    """One executed engine order."""

    fencing: int
    kind: str
    name: str


class Engine:
    """Engine that produces one token per step for each sequence in its batch.

    A sequence produces its first token when its prefill is complete. Sequences
    beyond the batch limit wait in order of priority (lowest number first),
    then of arrival.
    """

    def __init__(self, settings: EngineSettings) -> None:
        self.settings = settings
        # The actual factor, which can change at run time. Load reports give
        # the step time of `settings`, without it.
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
        self.arrival_numbers = itertools.count()
        self.work_available = asyncio.Event()
        self.busy_seconds = 0.0

    def add(self, sequence: sequences.Sequence) -> bool:
        """Queue a sequence; return False if it resumes an unknown request.

        A sequence that resumes an earlier request needs that request's state,
        which is kept for the last `MAX_RESUMABLE_SEQUENCES` cancelled ones.
        """
        if not self._resume(sequence):
            return False
        sequence.arrival_number = next(self.arrival_numbers)
        sequence.ledger_line.arrived_at = time.monotonic()
        self.ledger.append(sequence.ledger_line)
        self.waiting.append(sequence)
        self.waiting.sort(
            key=lambda one: (one.ledger_line.priority, one.arrival_number)
        )
        self.work_available.set()
        return True

    def cancel(self, sequence: sequences.Sequence) -> None:
        """Cancel an unfinished sequence and keep it for a resumption."""
        if sequence.cancelled or sequence.ledger_line.finished:
            return
        sequence.cancelled = True
        sequence.ledger_line.ended_at = time.monotonic()
        self.resumable[sequence.ledger_line.request_id] = sequence
        while len(self.resumable) > MAX_RESUMABLE_SEQUENCES:
            self.resumable.popitem(last=False)
        self.work_available.set()

    def cancel_request(self, request_id: str) -> bool:
        """Cancel a request; return whether it was still queued or running."""
        unfinished = [
            one
            for one in self.waiting + self.batch
            if one.ledger_line.request_id == request_id and not one.is_done()
        ]
        for sequence in unfinished:
            self.cancel(sequence)
        return bool(unfinished)

    def delayed_report(self, now: float) -> LoadReport:
        """Return the newest report that is at least the report lag old.

        Without such a report, return one of an idle engine.
        """
        newest_at = now - self.settings.report_lag_seconds
        visible = [one for one in self.reports if one.at <= newest_at]
        if visible:
            return visible[-1]
        return LoadReport(now, 0, 0, self.settings.step_seconds)

    async def run(self) -> None:
        """Execute steps until the task is cancelled."""
        step_end = time.monotonic()
        while True:
            self._fill_batch()
            self._record_report()
            if not self.batch:
                self.work_available.clear()
                await self.work_available.wait()
                step_end = time.monotonic()
                continue
            # Each step ends relative to the scheduled end of the last one, so
            # that inaccurate timers of the host add no drift.
            step_end = max(step_end + self._step_duration(), time.monotonic())
            self.busy_seconds += self._step_duration()
            await asyncio.sleep(step_end - time.monotonic())
            self._step_batch()

    def _step_duration(self) -> float:
        settings = self.settings
        size = len(self.batch)
        seconds = settings.step_seconds + settings.sequence_seconds * size
        return seconds * self.slowdown

    def _fill_batch(self) -> None:
        self.batch = [one for one in self.batch if not one.is_done()]
        self.waiting = [one for one in self.waiting if not one.is_done()]
        while self.waiting and len(self.batch) < self.settings.batch_limit:
            sequence = self.waiting.pop(0)
            cached_tokens = self.cache.match(sequence.block_digests)
            line = sequence.ledger_line
            line.started_at = time.monotonic()
            line.cached_tokens = cached_tokens
            # Tokens from before a resumption are prefilled like the prompt.
            required_tokens = line.prompt_tokens + sequence.total_produced
            sequence.remaining_prefill_tokens = max(
                required_tokens - cached_tokens, 0
            )
            self.batch.append(sequence)

    def _step_batch(self) -> None:
        prefill_budget = self.settings.prefill_tokens_per_step
        now = time.monotonic()
        for sequence in self.batch:
            if sequence.cancelled:
                continue
            if sequence.remaining_prefill_tokens:
                prefilled = min(
                    sequence.remaining_prefill_tokens, prefill_budget
                )
                sequence.remaining_prefill_tokens -= prefilled
                prefill_budget -= prefilled
            if not sequence.remaining_prefill_tokens:
                self._produce_token(sequence, now)

    def _produce_token(self, sequence: sequences.Sequence, now: float) -> None:
        line = sequence.ledger_line
        if not line.first_token_at:
            line.first_token_at = now
            self.cache.store(sequence.block_digests, now)
        sequence.total_produced += 1
        line.produced += 1
        sequence.token_numbers.put_nowait(sequence.total_produced)

    def _resume(self, sequence: sequences.Sequence) -> bool:
        # The earlier request may still run if its connection's end has not been
        # noticed yet.
        self.cancel_request(sequence.ledger_line.request_id)
        earlier = self.resumable.pop(sequence.ledger_line.request_id, None)
        if earlier is None:
            return not sequence.ledger_line.resumed_from
        earlier.ledger_line.resumed = True
        received_tokens = sequence.ledger_line.resumed_from
        sequence.total_produced = max(earlier.total_produced, received_tokens)
        for number in range(received_tokens, sequence.total_produced):
            sequence.token_numbers.put_nowait(number + 1)
        return True

    def _record_report(self) -> None:
        now = time.monotonic()
        self.reports.append(
            LoadReport(
                now,
                len(self.batch),
                len(self.waiting),
                self.settings.step_seconds,
            ),
        )
