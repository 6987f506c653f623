"""Replicate the usage of each window of the wall clock, and freeze it."""

import collections
from collections import abc as collection_types

from google.protobuf import message

from cranberryrill.state import commands_pb2
from cranberryrill.usage import usage_pb2

# Reported windows are kept for operators up to this many.
MAX_REPORTED_WINDOWS = 48
# A source that was silent for so many windows is forgotten.
SOURCE_RETENTION_WINDOWS = 1000


class ClockWindowsState:
    """Add each batch once; a sealed window never changes."""

    name = 'clock_usage'
    kinds = ('add_window_usage', 'seal_clock_window', 'mark_clock_window')

    def __init__(self) -> None:
        self.counts: dict[int, collections.Counter[str]] = {}
        self.reported: set[int] = set()
        self.sources: dict[tuple[str, str], usage_pb2.Source] = {}
        self.sealed_to = 0
        # Requests that arrived after their window was sealed.
        self.late_requests = 0

    def apply(
        self,
        command: commands_pb2.Command,
        index: int,
        unix_ms: int,
    ) -> message.Message:
        """Apply a batch, a sealing or an acknowledgement."""
        kind = command.WhichOneof('kind')
        if kind == 'add_window_usage':
            return self._add(command.add_window_usage)
        if kind == 'seal_clock_window':
            return self._seal(command.seal_clock_window.number)
        return self._mark(command.mark_clock_window.number)

    def unreported(self) -> list[int]:
        """Return the sealed windows that nobody has acknowledged, in order."""
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
                    lines=_lines(number, counted),
                    reported=number in self.reported,
                )
                for number, counted in sorted(self.counts.items())
            ],
            sources=self.sources.values(),
            sealed_to=self.sealed_to,
            late_requests=self.late_requests,
        )
        return dump.SerializeToString(deterministic=True)

    def load(self, content: bytes) -> None:
        """Replace the state by that of a snapshot."""
        dump = usage_pb2.ClockWindowsDump.FromString(content)
        self.counts = {}
        for window in dump.windows:
            self.counts[window.number] = collections.Counter(
                {line.organisation: line.requests for line in window.lines},
            )
        self.reported = {one.number for one in dump.windows if one.reported}
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
        place = (batch.source, batch.incarnation)
        known = self.sources.get(place)
        if known is not None and batch.number <= known.number:
            return self._outcome()
        self.sources[place] = usage_pb2.Source(
            agent=batch.source,
            incarnation=batch.incarnation,
            number=batch.number,
            seen_window=self.sealed_to,
        )
        for line in batch.lines:
            if line.window <= self.sealed_to:
                self.late_requests += line.requests
                continue
            counted = self.counts.setdefault(
                line.window,
                collections.Counter(),
            )
            counted[line.organisation] += line.requests
        return self._outcome()

    def _seal(self, number: int) -> usage_pb2.ClockWindowOutcome:
        if number > self.sealed_to:
            if self.sealed_to:
                # A window in which nothing ran is reported as empty.
                for missing in range(self.sealed_to + 1, number + 1):
                    self.counts.setdefault(missing, collections.Counter())
            self.sealed_to = number
            self._forget_sources()
        return self._outcome()

    def _mark(self, number: int) -> usage_pb2.ClockWindowOutcome:
        if number in self.counts and number <= self.sealed_to:
            self.reported.add(number)
        for old in sorted(self.reported)[:-MAX_REPORTED_WINDOWS]:
            self.reported.discard(old)
            self.counts.pop(old, None)
        return self._outcome()

    def _forget_sources(self) -> None:
        oldest = self.sealed_to - SOURCE_RETENTION_WINDOWS
        self.sources = {
            place: source
            for place, source in self.sources.items()
            if source.seen_window >= oldest
        }

    def _outcome(self) -> usage_pb2.ClockWindowOutcome:
        return usage_pb2.ClockWindowOutcome(
            sealed_to=self.sealed_to,
            late_requests=self.late_requests,
        )


def _lines(
    number: int,
    counted: collection_types.Mapping[str, int],
) -> list[usage_pb2.WindowLine]:
    return [
        usage_pb2.WindowLine(
            window=number,
            organisation=name,
            requests=requests,
        )
        for name, requests in sorted(counted.items())
    ]
