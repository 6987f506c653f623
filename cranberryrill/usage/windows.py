"""Replicated state of the usage that agents submit, by window.

A batch is added to the window that is open when the batch is applied. A command
in the log seals the open window and opens the next; a sealed window never
changes.
"""

import dataclasses
from collections import abc

from google.protobuf import message

from cranberryrill.state import commands_pb2
from cranberryrill.usage import usage_pb2

# The last batch number of an agent that stops submitting is dropped after this
# many windows.
SOURCE_RETENTION_WINDOWS = 1000
# Number of reported windows that are kept for operators.
MAX_REPORTED_WINDOWS = 48
FIRST_WINDOW_NUMBER = 1
# Organisation, class name and target.
UsageKey = tuple[str, str, str]


@dataclasses.dataclass
class Totals:
    """Usage of one target by one organisation in one class."""

    requests: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0

    def add(self, line: usage_pb2.UsageLine) -> None:
        """Add a line; all values are integers, so sums are never rounded."""
        self.requests += line.requests
        self.prompt_tokens += line.prompt_tokens
        self.output_tokens += line.output_tokens


class UsageTotals:
    """Usage summed by organisation, class and target."""

    def __init__(self) -> None:
        self.by_key: dict[UsageKey, Totals] = {}

    def add(self, lines: abc.Iterable[usage_pb2.UsageLine]) -> None:
        """Add lines to the totals of their keys."""
        for line in lines:
            key = (line.organisation, line.class_name, line.target)
            self.by_key.setdefault(key, Totals()).add(line)

    def lines(self) -> list[usage_pb2.UsageLine]:
        """Return one line per key, sorted by key."""
        return [
            usage_pb2.UsageLine(
                organisation=key[0],
                class_name=key[1],
                target=key[2],
                requests=totals.requests,
                prompt_tokens=totals.prompt_tokens,
                output_tokens=totals.output_tokens,
            )
            for key, totals in sorted(self.by_key.items())
        ]


class UsageState:
    """Slice of the replicated state with usage windows and their sources.

    Adds each agent's batch to the open window exactly once: a batch whose
    number was already applied for its agent and incarnation is ignored.
    """

    name = 'usage'
    kinds = ('add_usage', 'seal_window', 'mark_reported')

    def __init__(self) -> None:
        self.open = usage_pb2.Window(number=FIRST_WINDOW_NUMBER)
        self.totals = UsageTotals()
        self.sealed: dict[int, usage_pb2.Window] = {}
        self.sources: dict[tuple[str, str], usage_pb2.Source] = {}

    def apply(
        self,
        command: commands_pb2.Command,
        index: int,
        unix_ms: int,
    ) -> message.Message:
        """Apply a command that adds a batch, or seals or marks a window.

        `unix_ms` is the time recorded in the log entry.
        """
        kind = command.WhichOneof('kind')
        if kind == 'add_usage':
            return self._add(command.add_usage, unix_ms)
        if kind == 'seal_window':
            return self._seal(command.seal_window.number, unix_ms)
        return self._mark_reported(command.mark_reported.number)

    def unreported(self) -> list[usage_pb2.Window]:
        """Return the sealed windows not yet reported, oldest first."""
        return [
            window for window in self.sealed.values() if not window.reported
        ]

    def dump(self) -> bytes:
        """Return the whole state for a snapshot."""
        current = usage_pb2.Window()
        current.CopyFrom(self.open)
        current.lines.extend(self.totals.lines())
        dump = usage_pb2.UsageDump(
            windows=[*self.sealed.values(), current],
            sources=self.sources.values(),
        )
        return dump.SerializeToString(deterministic=True)

    def load(self, content: bytes) -> None:
        """Replace the state with the content of a snapshot."""
        dump = usage_pb2.UsageDump.FromString(content)
        *sealed, current = dump.windows
        self.sealed = {window.number: window for window in sealed}
        self.totals = UsageTotals()
        self.totals.add(current.lines)
        current.ClearField('lines')
        self.open = current
        self.sources = {
            (source.agent, source.incarnation): source
            for source in dump.sources
        }

    def _add(
        self,
        batch: usage_pb2.AddUsage,
        unix_ms: int,
    ) -> usage_pb2.AddOutcome:
        source_key = (batch.agent, batch.incarnation)
        previous = self.sources.get(source_key)
        if previous is not None and batch.number <= previous.number:
            return usage_pb2.AddOutcome(number=previous.number)
        self.sources[source_key] = usage_pb2.Source(
            agent=batch.agent,
            incarnation=batch.incarnation,
            number=batch.number,
            seen_window=self.open.number,
        )
        if not self.open.opened_unix_ms:
            self.open.opened_unix_ms = unix_ms
        self.totals.add(batch.lines)
        return usage_pb2.AddOutcome(number=batch.number)

    def _seal(self, number: int, unix_ms: int) -> usage_pb2.WindowOutcome:
        accepted = number == self.open.number
        if accepted:
            window = self.open
            window.lines.extend(self.totals.lines())
            window.sealed = True
            window.sealed_unix_ms = unix_ms
            self.sealed[number] = window
            self.totals = UsageTotals()
            self.open = usage_pb2.Window(
                number=number + 1,
                opened_unix_ms=unix_ms,
            )
            self._drop_old_sources()
        return self._outcome(accepted)

    def _mark_reported(self, number: int) -> usage_pb2.WindowOutcome:
        window = self.sealed.get(number)
        if window is None:
            return self._outcome(accepted=False)
        window.reported = True
        reported = [
            stored for stored in self.sealed.values() if stored.reported
        ]
        for old in reported[:-MAX_REPORTED_WINDOWS]:
            del self.sealed[old.number]
        return self._outcome(accepted=True)

    def _outcome(self, accepted: bool) -> usage_pb2.WindowOutcome:
        return usage_pb2.WindowOutcome(
            accepted=accepted,
            open_number=self.open.number,
        )

    def _drop_old_sources(self) -> None:
        oldest = self.open.number - SOURCE_RETENTION_WINDOWS
        self.sources = {
            source_key: source
            for source_key, source in self.sources.items()
            if source.seen_window >= oldest
        }
