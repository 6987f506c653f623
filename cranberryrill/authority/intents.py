"""Replicated state of authority: the newest holder and its orders.

An intent is an order to the platform that is committed before it is sent.
"""

import collections

from google.protobuf import message

from cranberryrill.authority import authority_pb2
from cranberryrill.state import commands_pb2

# Ended orders are kept so that an upstream that is still starting is not
# ordered again.
MAX_ENDED_INTENTS = 512
FIRST_INTENT_NUMBER = 1


class AuthorityState:
    """Number orders in log order, and reject those of former holders."""

    name = 'authority'
    kinds = ('take_authority', 'place_intent', 'end_intent')

    def __init__(self) -> None:
        self.next_number = FIRST_INTENT_NUMBER
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
        """Apply one command of this state and return its outcome."""
        kind = command.WhichOneof('kind')
        if kind == 'take_authority':
            accepted = self._take_authority(command.take_authority.fencing)
            return authority_pb2.IntentOutcome(accepted=accepted)
        if kind == 'place_intent':
            return self._place(command.place_intent.intent)
        return self._end(command.end_intent, unix_ms)

    def dump(self) -> bytes:
        """Return the encoded state for a snapshot."""
        dump = authority_pb2.AuthorityDump(
            next_number=self.next_number,
            highest_fencing=self.highest_fencing,
            open=self.open.values(),
            ended=self.ended,
        )
        return dump.SerializeToString(deterministic=True)

    def load(self, content: bytes) -> None:
        """Replace the state with that of a snapshot."""
        dump = authority_pb2.AuthorityDump.FromString(content)
        self.next_number = dump.next_number
        self.highest_fencing = dump.highest_fencing
        self.open = {intent.number: intent for intent in dump.open}
        self.ended.clear()
        self.ended.extend(dump.ended)

    def _take_authority(self, fencing: int) -> bool:
        if fencing < self.highest_fencing:
            return False
        self.highest_fencing = fencing
        return True

    def _place(
        self,
        request: authority_pb2.Intent,
    ) -> authority_pb2.IntentOutcome:
        if not self._take_authority(request.fencing):
            return authority_pb2.IntentOutcome(accepted=False)
        intent = authority_pb2.Intent()
        intent.CopyFrom(request)
        intent.number = self.next_number
        self.next_number += 1
        self.open[intent.number] = intent
        return authority_pb2.IntentOutcome(accepted=True, intent=intent)

    def _end(
        self,
        request: authority_pb2.EndIntent,
        unix_ms: int,
    ) -> authority_pb2.IntentOutcome:
        intent = self.open.pop(request.number, None)
        if intent is None:
            return authority_pb2.IntentOutcome(accepted=False)
        intent.ended = True
        intent.status = request.status
        intent.ended_unix_ms = unix_ms
        self.ended.append(intent)
        return authority_pb2.IntentOutcome(accepted=True, intent=intent)
