"""Replicated state machine: applies each command to its state slice."""

from collections import abc
import typing

from google.protobuf import message

from cranberryrill.state import commands_pb2


class UnknownCommand(Exception):
    """A log entry has a command that this version does not support."""

    def __init__(self, kind: str) -> None:
        super().__init__(f'unknown command {kind!r}')


class Slice(typing.Protocol):
    """One part of the replicated state, with its own commands."""

    @property
    def name(self) -> str:
        """Return the name of the slice in snapshots."""

    @property
    def kinds(self) -> tuple[str, ...]:
        """Return the field names of the commands that the slice applies."""

    def apply(
        self,
        command: commands_pb2.Command,
        index: int,
        unix_ms: int,
    ) -> message.Message:
        """Apply the command at `index` of the log and return its outcome."""

    def dump(self) -> bytes:
        """Return the encoded state for a snapshot."""

    def load(self, content: bytes) -> None:
        """Replace the state by the encoded one of a snapshot."""


class Machine:
    """Apply committed commands in the order of the log."""

    def __init__(self, slices: abc.Sequence[Slice]) -> None:
        self.slices = {part.name: part for part in slices}
        self.owners = {kind: part for part in slices for kind in part.kinds}

    def apply(self, content: bytes, index: int, unix_ms: int) -> bytes:
        """Apply an encoded command and return its encoded outcome.

        Raises `UnknownCommand` instead of skipping a command that another
        version applies, since the states of the members would then differ.
        """
        command = commands_pb2.Command.FromString(content)
        kind = command.WhichOneof('kind') or ''
        if kind == 'noop':
            return b''
        if kind not in self.owners:
            raise UnknownCommand(kind)
        outcome = self.owners[kind].apply(command, index, unix_ms)
        return outcome.SerializeToString()

    def dump(self) -> bytes:
        """Return the encoded state of all slices."""
        dump = commands_pb2.MachineDump(
            slices=[
                commands_pb2.SliceDump(name=name, content=part.dump())
                for name, part in self.slices.items()
            ],
        )
        return dump.SerializeToString()

    def load(self, content: bytes) -> None:
        """Replace the state of the slices by that of a snapshot."""
        for part in commands_pb2.MachineDump.FromString(content).slices:
            self.slices[part.name].load(part.content)
