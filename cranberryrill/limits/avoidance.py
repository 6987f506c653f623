"""Decide when an upstream is avoided because of what its responses say.

Each entry or agent decides by itself from the responses that it receives, so
the decision holds while it is cut off from the control group, too.
"""

import dataclasses
import random
from collections import abc

# From when an upstream says that it leaves, requests that callers have sent
# until then may go to it for so long.
DEFAULT_DRAIN_SECONDS = 2.0
# A pause is prolonged by up to this share of it, so that the entries that were
# turned away together do not come back together.
JITTER_SHARE = 0.2
MAX_JITTER_SECONDS = 1.0
# After a pause a process sends an upstream as many requests as it has slots in
# this time, or in that of the pause if it was shorter; then any number.
MAX_RAMP_SECONDS = 1.0
MIN_RAMP_SECONDS = 0.2


@dataclasses.dataclass(frozen=True)
class Pause:
    """Time for which an upstream wants no requests, on the monotonic clock."""

    asked_seconds: float
    began_at: float
    until: float

    @property
    def ramp_seconds(self) -> float:
        """Return how long the requests are limited after the pause."""
        return min(max(self.asked_seconds, MIN_RAMP_SECONDS), MAX_RAMP_SECONDS)


class Avoidance:
    """What the responses of one incarnation of an upstream ask for.

    Times are in seconds on the monotonic clock. `sample` returns a random
    number from 0 to 1.
    """

    def __init__(
        self,
        drain_seconds: float = DEFAULT_DRAIN_SECONDS,
        sample: abc.Callable[[], float] = random.random,
    ) -> None:
        self.drain_seconds = drain_seconds
        self.sample = sample
        # When a response first said that the upstream leaves; None before.
        self.leaving_since: float | None = None
        # The latest pause; None once its ramp is over.
        self.pause: Pause | None = None
        # When the first request after the pause was sent, and how many were.
        self.resumed_at: float | None = None
        self.sent_since_resumed = 0

    @property
    def is_leaving(self) -> bool:
        """Return whether a response has said that the upstream leaves."""
        return self.leaving_since is not None

    @property
    def has_been_asked(self) -> bool:
        """Return whether a response has asked for anything that may hold."""
        return self.is_leaving or self.pause is not None

    def record_leaving(self, now: float) -> bool:
        """Record that a response says so; return whether that is news."""
        if self.leaving_since is not None:
            return False
        self.leaving_since = now
        return True

    def accepts(self, received_at: float) -> bool:
        """Return whether the upstream takes a request received at that time."""
        if self.leaving_since is None:
            return True
        return received_at <= self.leaving_since + self.drain_seconds

    def record_pause(self, seconds: float, now: float) -> bool:
        """Record that the upstream wants nothing for some seconds.

        Return whether a pause begins. Responses to requests that were on their
        way may only prolong it.
        """
        jitter = min(seconds * JITTER_SHARE, MAX_JITTER_SECONDS) * self.sample()
        pause = Pause(seconds, now, now + seconds + jitter)
        current = self.pause
        begins = current is None or now >= current.until
        if current is not None and not begins:
            pause = dataclasses.replace(
                current, until=max(current.until, pause.until)
            )
        self.pause = pause
        self.resumed_at = None
        self.sent_since_resumed = 0
        return begins

    def record_sent(self, now: float) -> Pause | None:
        """Record that a request is sent; return the pause that it ends."""
        pause = self.pause
        if pause is None or now < pause.until:
            return None
        if self.resumed_at is None:
            self.resumed_at = now
            self.sent_since_resumed = 1
            return pause
        self.sent_since_resumed += 1
        if now >= self.resumed_at + pause.ramp_seconds:
            self.pause = None
        return None

    def pause_seconds(self, now: float) -> float:
        """Return how long the pause still lasts."""
        return max(self.pause.until - now, 0) if self.pause else 0

    def wait_seconds(self, now: float, slots: int) -> float:
        """Return how long to wait before a request may be sent; 0 if none."""
        pause = self.pause
        if pause is None:
            return 0
        if self.resumed_at is None or now < pause.until:
            return self.pause_seconds(now)
        seconds_each = pause.ramp_seconds / max(slots, 1)
        next_at = self.resumed_at + self.sent_since_resumed * seconds_each
        end = self.resumed_at + pause.ramp_seconds
        return max(min(next_at, end) - now, 0)
