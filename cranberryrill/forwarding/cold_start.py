"""Time for which one upstream is cold, and its limit in that time.

A cold upstream takes few requests a second from all entries together, and
crashes above that. After its cold time the limit grows until it no longer
binds.
"""

import dataclasses
import math

# After the cold time the limit doubles each time this has passed.
DOUBLING_SECONDS = 0.5
# No limit is left after this time; it has grown 16 times by then.
RAMP_SECONDS = 2.0
# A longer cold time is taken for a mistake and shortened to this one.
MAX_COLD_SECONDS = 600.0
NEVER = -math.inf


@dataclasses.dataclass(frozen=True)
class ColdRule:
    """What the configuration says of the upstreams of a service."""

    # How long an upstream is cold after it has started.
    seconds: float = 0
    # Requests a second that it takes then; 0 if it is never cold.
    per_second: float = 0


NEVER_COLD = ColdRule()


class ColdPeriod:
    """The newest cold time of one upstream, on the monotonic clock.

    It ends with the latest of the ends that are known.
    """

    def __init__(self) -> None:
        self.rule = NEVER_COLD
        # Known from heartbeats, responses and events of this entry.
        self.own_until = NEVER
        # Known from other entries. Kept apart, since entries that passed on
        # what others report would prolong it without end.
        self.reported_until = NEVER
        # Assumed by an entry that has just started, until others report.
        self.assumed_until = NEVER

    @property
    def until(self) -> float:
        """Return when the cold time ends, or ended."""
        return max(self.own_until, self.reported_until, self.assumed_until)

    def extend(self, seconds: float, now: float) -> None:
        """Record that the upstream is cold for so long from now on."""
        if seconds > 0:
            self.own_until = max(
                self.own_until, now + min(seconds, MAX_COLD_SECONDS)
            )

    def extend_reported(self, until: float, now: float) -> None:
        """Record the end that another entry reports."""
        self.reported_until = max(
            self.reported_until, min(until, now + MAX_COLD_SECONDS)
        )

    def record_restart(self, now: float) -> None:
        """Record that the upstream may have restarted just now."""
        self.extend(self.rule.seconds, now)

    def is_cold(self, now: float) -> bool:
        """Return whether the upstream is cold."""
        return bool(self.rule.per_second) and now < self.until

    def limit(self, now: float) -> float | None:
        """Return the requests a second from all entries; None without limit."""
        if not self.rule.per_second or now >= self.until + RAMP_SECONDS:
            return None
        warm_seconds = max(now - self.until, 0)
        return self.rule.per_second * math.exp2(warm_seconds / DOUBLING_SECONDS)
