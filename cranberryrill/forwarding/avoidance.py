"""Decide when an entry avoids an upstream because of what its responses say.

Each entry decides by itself from the responses that it receives, so the
decision holds while it is cut off from the control group, too.
"""

# From when an upstream says that it leaves, requests that callers have sent
# until then may go to it for so long.
DEFAULT_DRAIN_SECONDS = 2.0


class Avoidance:
    """What the responses of one incarnation of an upstream ask for.

    Times are in seconds on the monotonic clock.
    """

    def __init__(self, drain_seconds: float = DEFAULT_DRAIN_SECONDS) -> None:
        self.drain_seconds = drain_seconds
        # When a response first said that the upstream leaves; None before.
        self.leaving_since: float | None = None

    @property
    def is_leaving(self) -> bool:
        """Return whether a response has said that the upstream leaves."""
        return self.leaving_since is not None

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

    @property
    def has_been_asked(self) -> bool:
        """Return whether a response has asked for anything."""
        return self.is_leaving
