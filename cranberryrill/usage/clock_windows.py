"""Replicated state of the usage that entries submit, by wall-clock window.

Each line of a batch names its window. A sealed window never changes.
"""

import collections
from collections import abc as collection_types

from google.protobuf import message

from cranberryrill.state import commands_pb2
from cranberryrill.usage import usage_pb2

# Number of reported windows that are kept for operators.
MAX_REPORTED_WINDOWS = 48
# The last batch number of a source that stops submitting is dropped after this
# many windows.
SOURCE_RETENTION_WINDOWS = 1000


class ClockWindowsState:
    """Slice of the replicated state with request counts per window.

    Adds each batch exactly once: a batch whose number was already applied for
    its source and incarnation is ignored. Counts for a window that is already
    sealed are only added to `late_requests`.
    """

    name = 'clock_usage'
    kinds = ('add_window_usage', 'seal_clock_window', 'mark_clock_window')

    def __init__(self) -> None:
        # Requests by organisation, by window number.
        self.counts: dict[int, collections.Counter[str]] = {}
        self.reported: set[int] = set()
        self.sources: dict[tuple[str, str], usage_pb2.Source] = {}
        # Newest sealed window; zero before the first sealing.
        self.sealed_to = 0
        # Requests that arrived after their window was sealed.
        self.late_requests = 0

    def apply(
        self,
        command: commands_pb2.Command,
        index: int,
        unix_ms: int,
    ) -> message.Message:
        """Apply a command that adds a batch, or seals or marks windows."""
        kind = command.WhichOneof('kind')
        if kind == 'add_window_usage':
            return self._add(command.add_window_usage)
        if kind == 'seal_clock_window':
            return self._seal(command.seal_clock_window.number)
        return self._mark(command.mark_clock_window.number)

    def unreported(self) -> list[int]:
        """Return the sealed windows not yet reported, oldest first."""
        return sorted(
            number
            for number in self.counts
            if number <= self.sealed_to and number not in self.reported
        )

    def dump(self) -> bytes:
        """Return the whole state for a snapshot."""
        dump = usage_pb2.ClockWindowsDump(
            windows=[
                usage_pb2.ClockWindow(
                    number=number,
                    lines=_lines(number, counts),
                    reported=number in self.reported,
                )
                for number, counts in sorted(self.counts.items())
            ],
            sources=self.sources.values(),
            sealed_to=self.sealed_to,
            late_requests=self.late_requests,
        )
        return dump.SerializeToString(deterministic=True)

    def load(self, content: bytes) -> None:
        """Replace the state with the content of a snapshot."""
        dump = usage_pb2.ClockWindowsDump.FromString(content)
        self.counts = {}
        for window in dump.windows:
            self.counts[window.number] = collections.Counter(
                {line.organisation: line.requests for line in window.lines},
            )
        self.reported = {
            stored.number for stored in dump.windows if stored.reported
        }
        self.sources = {
            (source.agent, source.incarnation): source
            for source in dump.sources
        }
        self.sealed_to = dump.sealed_to
        self.late_requests = dump.late_requests

    def _add(
        self,
        batch: usage_pb2.AddWindowUsage,
    ) -> usage_pb2.ClockWindowOutcome:
        source_key = (batch.source, batch.incarnation)
        previous = self.sources.get(source_key)
        if previous is not None and batch.number <= previous.number:
            return self._outcome()
        self.sources[source_key] = usage_pb2.Source(
            agent=batch.source,
            incarnation=batch.incarnation,
            number=batch.number,
            seen_window=self.sealed_to,
        )
        for line in batch.lines:
            if line.window <= self.sealed_to:
                self.late_requests += line.requests
                continue
            window_counts = self.counts.setdefault(
                line.window,
                collections.Counter(),
            )
            window_counts[line.organisation] += line.requests
        return self._outcome()

    def _seal(self, number: int) -> usage_pb2.ClockWindowOutcome:
        if number > self.sealed_to:
            if self.sealed_to:
                # A window without requests is reported as empty.
                for missing in range(self.sealed_to + 1, number + 1):
                    self.counts.setdefault(missing, collections.Counter())
            self.sealed_to = number
            self._drop_old_sources()
        return self._outcome()

    def _mark(self, number: int) -> usage_pb2.ClockWindowOutcome:
        if number in self.counts and number <= self.sealed_to:
            self.reported.add(number)
        for old in sorted(self.reported)[:-MAX_REPORTED_WINDOWS]:
            self.reported.discard(old)
            self.counts.pop(old, None)
        return self._outcome()

    def _drop_old_sources(self) -> None:
        oldest = self.sealed_to - SOURCE_RETENTION_WINDOWS
        self.sources = {
            source_key: source
            for source_key, source in self.sources.items()
            if source.seen_window >= oldest
        }

    def _outcome(self) -> usage_pb2.ClockWindowOutcome:
        return usage_pb2.ClockWindowOutcome(
            sealed_to=self.sealed_to,
            late_requests=self.late_requests,
        )


def _lines(
    number: int,
    counts: collection_types.Mapping[str, int],
) -> list[usage_pb2.WindowLine]:
    return [
        usage_pb2.WindowLine(
            window=number,
            organisation=name,
            requests=requests,
        )
        for name, requests in sorted(counts.items())
    ]
