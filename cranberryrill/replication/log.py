"""In-memory part of the replicated log."""

from cranberryrill.replication import replication_pb2


class Log:
    """Entries after the base of the log, in order.

    Entries up to `base_index` have been dropped, since a snapshot covers them.
    """

    def __init__(self, base_index: int = 0, base_term: int = 0) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self.entries: list[replication_pb2.Entry] = []
        self.group_indexes: list[int] = []

    @property
    def last_index(self) -> int:
        """Return the index of the newest entry, or of the base."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Return the term of the newest entry, or of the base."""
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Return the term at `index`, or None if it is not in the log."""
        if index == self.base_index:
            return self.base_term
        if not self.base_index < index <= self.last_index:
            return None
        return self.entries[index - self.base_index - 1].term

    def entry_at(self, index: int) -> replication_pb2.Entry:
        """Return the entry at `index`, which must be in the log."""
        return self.entries[index - self.base_index - 1]

    def entries_after(self, index: int) -> list[replication_pb2.Entry]:
        """Return the entries after `index`."""
        return self.entries[max(index - self.base_index, 0) :]

    @property
    def group_index(self) -> int:
        """Return the index of the newest entry that sets a group, or 0."""
        return self.group_indexes[-1] if self.group_indexes else 0

    def group_at(self, index: int) -> replication_pb2.Group | None:
        """Return the newest group up to `index`; None if the log has none."""
        for group_index in reversed(self.group_indexes):
            if group_index <= index:
                return self.entry_at(group_index).group
        return None

    def batch(
        self,
        first: int,
        max_entries: int,
        max_bytes: int,
    ) -> list[replication_pb2.Entry]:
        """Return entries from index `first` on, within both limits.

        The first entry is returned even if it exceeds `max_bytes`.
        """
        start = first - self.base_index - 1
        selected: list[replication_pb2.Entry] = []
        size = 0
        for entry in self.entries[start : start + max_entries]:
            size += len(entry.command)
            if selected and size > max_bytes:
                break
            selected.append(entry)
        return selected

    def append(self, entry: replication_pb2.Entry) -> None:
        """Append `entry`, which follows the newest one."""
        self.entries.append(entry)
        if entry.HasField('group'):
            self.group_indexes.append(entry.index)

    def truncate_from(self, index: int) -> None:
        """Drop the entry at `index` and all after it."""
        del self.entries[index - self.base_index - 1 :]
        while self.group_index >= index:
            self.group_indexes.pop()
