"""Replicate who holds authority, and the orders placed but not answered."""

import collections

from google.protobuf import message

from cranberryrill.authority import authority_pb2
from cranberryrill.state import commands_pb2

# Ended orders are kept so that starts in progress are not ordered again.
MAX_ENDED_INTENTS = 512
FIRST_NUMBER = 1


class AuthorityState:
    """Number the orders, and refuse those of a former holder."""

    name = 'authority'
    kinds = ('take_authority', 'place_intent', 'end_intent')

    def __init__(self) -> None:
        self.next_number = FIRST_NUMBER
        self.highest_fencing = 0
        self.open: dict[int, authority_pb2.Intent] = {}
        self.ended: collections.deque[authority_pb2.Intent] = collections.deque(
            maxlen=MAX_ENDED_INTENTS
        )

    def apply(
        self,
        command: commands_pb2.Command,
        index: int,
        unix_ms: int,
    ) -> message.Message:
        """Apply a new holder, an order, or the end of an order."""
        kind = command.WhichOneof('kind')
        if kind == 'take_authority':
            accepted = self._take(command.take_authority.fencing)
            return authority_pb2.IntentOutcome(accepted=accepted)
        if kind == 'place_intent':
            return self._place(command.place_intent.intent)
        return self._end(command.end_intent, unix_ms)

    def dump(self) -> bytes:
        """Return the whole state for a snapshot."""
        dump = authority_pb2.AuthorityDump(
            next_number=self.next_number,
            highest_fencing=self.highest_fencing,
            open=self.open.values(),
            ended=self.ended,
        )
        return dump.SerializeToString(deterministic=True)

    def load(self, content: bytes) -> None:
        """Replace the state by that of a snapshot."""
        dump = authority_pb2.AuthorityDump.FromString(content)
        self.next_number = dump.next_number
        self.highest_fencing = dump.highest_fencing
        self.open = {intent.number: intent for intent in dump.open}
        self.ended.clear()
        self.ended.extend(dump.ended)

    def _take(self, fencing: int) -> bool:
        if fencing < self.highest_fencing:
            return False
        self.highest_fencing = fencing
        return True

    def _place(
        self,
        wanted: authority_pb2.Intent,
    ) -> authority_pb2.IntentOutcome:
        if not self._take(wanted.fencing):
            return authority_pb2.IntentOutcome(accepted=False)
        intent = authority_pb2.Intent()
        intent.CopyFrom(wanted)
        intent.number = self.next_number
        self.next_number += 1
        self.open[intent.number] = intent
        return authority_pb2.IntentOutcome(accepted=True, intent=intent)

    def _end(
        self,
        ending: authority_pb2.EndIntent,
        unix_ms: int,
    ) -> authority_pb2.IntentOutcome:
        intent = self.open.pop(ending.number, None)
        if intent is None:
            return authority_pb2.IntentOutcome(accepted=False)
        intent.ended = True
        intent.status = ending.status
        intent.ended_unix_ms = unix_ms
        self.ended.append(intent)
        return authority_pb2.IntentOutcome(accepted=True, intent=intent)
