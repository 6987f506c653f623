"""Fencing for engines that do not check fencing numbers themselves.

An agent rejects orders from former holders of authority before they reach its
engine.
"""

import dataclasses

import result


@dataclasses.dataclass(frozen=True)
class NotProved:
    """No proof of the newest holder since this process started."""


@dataclasses.dataclass(frozen=True)
class OldFencing:
    """The fencing number is below `highest`, that of a newer holder."""

    highest: int


Refusal = NotProved | OldFencing


class Gate:
    """Reject orders whose fencing number is below the highest one seen.

    The number is not stored on disk, so a restarted process accepts no order
    before it has a proof that dates from after its start.
    """

    def __init__(self, started_at: float) -> None:
        self.started_at = started_at
        self.highest = 0
        self.proved = False

    def record_proof(self, fencing: int, as_of: float) -> None:
        """Record that `fencing` was the newest committed number at `as_of`.

        `as_of` is in monotonic seconds of this process.
        """
        self.highest = max(self.highest, fencing)
        if as_of >= self.started_at:
            self.proved = True

    def check(self, fencing: int) -> result.Result[None, Refusal]:
        """Accept an order and its fencing number, or return the refusal."""
        if fencing < self.highest:
            return result.Err(OldFencing(self.highest))
        if not self.proved:
            return result.Err(NotProved())
        self.highest = fencing
        return result.Ok(None)
