"""Replicated state of the data centres that are evacuated."""

import logging

from google.protobuf import message

from cranberryrill.evacuation import evacuation_pb2
from cranberryrill.state import commands_pb2

LOGGER = logging.getLogger(__name__)


class EvacuationState:
    """Slice of the replicated state with the data centres that are evacuated.

    `index` is that of the last log entry that changed them; watchers use it as
    a version, since it is the same on all members.
    """

    name = 'evacuations'
    kinds = ('set_evacuation',)

    def __init__(self) -> None:
        self.index = 0
        self.data_centres: set[str] = set()

    def is_evacuated(self, data_centre: str) -> bool:
        """Return whether a data centre is evacuated."""
        return data_centre in self.data_centres

    def apply(
        self,
        command: commands_pb2.Command,
        index: int,
        unix_ms: int,
    ) -> message.Message:
        """Begin or end an evacuation; an order that is in force is ignored."""
        order = command.set_evacuation
        if order.evacuated != self.is_evacuated(order.data_centre):
            self.index = index
            if order.evacuated:
                self.data_centres.add(order.data_centre)
            else:
                self.data_centres.discard(order.data_centre)
            LOGGER.info(
                'evacuation set',
                extra={
                    'data_centre': order.data_centre,
                    'evacuated': order.evacuated,
                    'index': index,
                },
            )
        return self.current()

    def current(self) -> evacuation_pb2.Evacuations:
        """Return the evacuations in force, for watchers and snapshots."""
        return evacuation_pb2.Evacuations(
            index=self.index, data_centres=sorted(self.data_centres)
        )

    def dump(self) -> bytes:
        """Return the whole state for a snapshot."""
        return self.current().SerializeToString(deterministic=True)

    def load(self, content: bytes) -> None:
        """Replace the state with the content of a snapshot."""
        dump = evacuation_pb2.Evacuations.FromString(content)
        self.index = dump.index
        self.data_centres = set(dump.data_centres)
