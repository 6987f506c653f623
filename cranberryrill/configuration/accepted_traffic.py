"""Memory of accepted traffic documents, to recognise them when sent again."""

import collections
import hashlib
from collections import abc as collection_types

from cranberryrill.state import commands_pb2
from cranberryrill.traffic import document

# Documents of which a repeat is recognised.
MAX_DOCUMENTS = 64


class AcceptedTraffic:
    """The latest traffic documents that were in force, by their text."""

    def __init__(self) -> None:
        self.latest: collections.deque[commands_pb2.AcceptedTraffic] = (
            collections.deque(maxlen=MAX_DOCUMENTS)
        )

    def remember(self, accepted: document.Document) -> None:
        """Add a document that came into force."""
        self.latest.append(
            commands_pb2.AcceptedTraffic(
                version=accepted.version,
                digest=_digest(accepted.source.encode()),
            )
        )

    def load(
        self,
        dumped: collection_types.Iterable[commands_pb2.AcceptedTraffic],
        in_force: document.Document,
    ) -> None:
        """Replace the memory with that of a snapshot.

        A snapshot of an earlier version has only the document in force.
        """
        self.latest.clear()
        self.latest.extend(dumped)
        if in_force.version and not self.latest:
            self.remember(in_force)

    def version_of(self, source: bytes) -> int | None:
        """Return the version of the document with this text, or None."""
        digest = _digest(source)
        for accepted in self.latest:
            if accepted.digest == digest:
                return accepted.version
        return None


def _digest(source: bytes) -> bytes:
    return hashlib.sha256(source).digest()
