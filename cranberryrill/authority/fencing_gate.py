"""Refuse the orders of former holders, for engines that do not."""

import dataclasses

import result


@dataclasses.dataclass(frozen=True)
class NotProved:
    """This process has not learned yet which holder is the newest."""


@dataclasses.dataclass(frozen=True)
class OldFencing:
    """A newer holder than the sender is known."""

    highest: int


Refusal = NotProved | OldFencing


class Gate:
    """Remember the highest fencing number.

    A restarted process has forgotten it, so nothing passes before a proof
    that speaks of a moment after the start.
    """

    def __init__(self, started_at: float) -> None:
        self.started_at = started_at
        self.highest = 0
        self.proved = False

    def record_proof(self, fencing: int, as_of: float) -> None:
        """Take the newest fencing number that was committed at `as_of`."""
        self.highest = max(self.highest, fencing)
        if as_of >= self.started_at:
            self.proved = True

    def check(self, fencing: int) -> result.Result[None, Refusal]:
        """Let an order pass, or say why not."""
        if fencing < self.highest:
            return result.Err(OldFencing(self.highest))
        if not self.proved:
            return result.Err(NotProved())
        self.highest = fencing
        return result.Ok(None)
