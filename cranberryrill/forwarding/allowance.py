"""Share of one entry in the requests that an upstream takes from all entries.

An upstream in need names a limit of requests a second, for all entries
together. The entries spend from one token bucket, of which each keeps a copy:
it takes out what it sends, and what the others say that they have sent. As
that is known a little later, entries that wait for a token need unequal levels
of the bucket; else all of them would send when the next token comes.
"""

import dataclasses
import math
import random
from collections import abc

from cranberryrill.forwarding import cold_start

# A limit below this is taken for it: only responses tell when it ends.
MIN_PER_SECOND = 0.25
# The bucket holds what is allowed in this time, and at least the highest level
# that an entry may need.
BURST_SECONDS = 0.5
MIN_BURST = 2.0
# Bounds of the bucket of a cold upstream, which counts each second by itself.
#
# The others learn of a request in about this time.
REPORT_SECONDS = 0.08
# Levels are so far apart that about this many entries send in that time.
UNSEEN_REQUESTS = 1.5
MIN_SPREAD = 1.0
# A token that isn't used within this share of the time to the next one, or for
# this long, is dropped. Else all entries would hold one when demand begins
# everywhere.
UNUSED_TOKEN_SHARE = 0.5
MIN_UNUSED_SECONDS = 0.1
# Share of its part that an entry uses if it is connected to no other: the sum
# of independent entries varies more than that of connected ones.
UNCONNECTED_SHARE = 0.7
# Requests sent too many are made up for, but for no longer than this: what was
# sent before the window of one second doesn't matter.
MAX_DEBT_SECONDS = 1.0
# A count of requests that is older than this when a cold time begins may lack
# those that were sent while nothing was reported.
MAX_COUNT_AGE_SECONDS = 1.0
UNKNOWN_COUNT = -1


@dataclasses.dataclass(frozen=True)
class NamedLimit:
    """What the newest response of an upstream to one entry says."""

    # Requests a second from all entries together; None without a limit.
    per_second: float | None = None
    # When the response arrived, on the monotonic clock.
    named_at: float = -math.inf


@dataclasses.dataclass(frozen=True)
class EntryReport:
    """What another entry reports about an upstream."""

    named: NamedLimit
    # Requests that it has sent to the upstream so far.
    sent: int
    # Until when it counts the upstream as cold, on the monotonic clock of this
    # process.
    cold_until: float = cold_start.NEVER


class Allowance:
    """Limit of one upstream, and a copy of the bucket that it allows.

    `sample` returns a random number from 0 to 1.
    """

    def __init__(self, sample: abc.Callable[[], float] = random.random) -> None:
        self.sample = sample
        self.own = NamedLimit()
        # Whether a response to this entry ever named a limit.
        self.was_named = False
        self.reports: dict[str, EntryReport] = {}
        # When each of them arrived.
        self.reported_at: dict[str, float] = {}
        # May be shared with earlier and later incarnations of the upstream.
        self.cold = cold_start.ColdPeriod()
        # Whether the bucket is that of a cold upstream or of its ramp, and
        # whether the upstream was cold when it was last filled.
        self.is_cold_bucket = False
        self.was_cold = False
        # Since when a request may be sent to the cold upstream; None if not.
        self.unused_since: float | None = None
        # Requests that this entry has sent so far.
        self.sent = 0
        # Share of the limit that this entry and those that report to it may
        # use; 0 if others use all of it.
        self.group_share = 1.0
        # Number of the entries that report to it.
        self.connected_entries = 0
        self.tokens = 0.0
        self.refilled_at = -math.inf
        self.needed_level = 1 + sample()

    def inherit(self, previous: 'Allowance') -> None:
        """Continue the bucket of an earlier incarnation of a cold upstream.

        The limit that its responses named is not taken over. Without the counts
        of the others, the first request of each of them would be missed.
        """
        self.cold = previous.cold
        self.sent = previous.sent
        self.reports = {
            entry: dataclasses.replace(report, named=NamedLimit())
            for entry, report in previous.reports.items()
        }
        self.reported_at = dict(previous.reported_at)
        self.is_cold_bucket = previous.is_cold_bucket
        self.was_cold = previous.was_cold
        self.tokens = previous.tokens
        self.refilled_at = previous.refilled_at
        self.needed_level = previous.needed_level

    @property
    def per_second(self) -> float | None:
        """Return the limit that the newest known response names, or None."""
        newest = self.own
        for report in self.reports.values():
            if report.named.named_at > newest.named_at:
                newest = report.named
        return newest.per_second

    def record_named(self, per_second: float | None, now: float) -> None:
        """Record what a response to this entry says of the limit."""
        self._refill(now)
        self.own = NamedLimit(per_second, now)
        self.was_named = self.was_named or per_second is not None

    def record_sent(self, now: float) -> None:
        """Record that this entry sends a request."""
        self._refill(now)
        self.sent += 1
        self.tokens -= 1
        self.needed_level = self._next_level(now)
        self.unused_since = None

    def record_report(
        self, entry: str, report: EntryReport, now: float
    ) -> None:
        """Record what another entry reports."""
        self.cold.extend_reported(report.cold_until, now)
        self._refill(now)
        previous = self.reports.get(entry)
        if previous is not None and previous.sent != UNKNOWN_COUNT:
            self.tokens -= max(report.sent - previous.sent, 0)
        self.reports[entry] = report
        self.reported_at[entry] = now

    def forget(self, entry: str) -> None:
        """Forget an entry that is gone or not connected."""
        self.reports.pop(entry, None)
        self.reported_at.pop(entry, None)

    def wait_seconds(self, now: float) -> float:
        """Return how long to wait before a request may be sent; 0 if none."""
        rate = self._rate(now)
        if rate is None:
            return 0
        if not rate:
            return math.inf
        self._refill(now)
        return max(self.needed_level - self.tokens, 0) / rate

    def limit(self, now: float) -> float | None:
        """Return the requests a second from all entries; None without limit.

        It is the lower of the limit that is named and that of a cold upstream.
        """
        limits = (self.per_second, self.cold.limit(now))
        known = [limit for limit in limits if limit is not None]
        return max(min(known), MIN_PER_SECOND) if known else None

    def own_report(self) -> EntryReport:
        """Return what this entry reports to the others."""
        return EntryReport(self.own, self.sent, self.cold.own_until)

    def _rate(self, now: float) -> float | None:
        limit = self.limit(now)
        if limit is None:
            return None
        rate = limit * self.group_share
        if self.cold.limit(now) is not None:
            missing_share = 1 - self.group_share
            rate *= 1 - (1 - UNCONNECTED_SHARE) * missing_share
        return rate

    def _refill(self, now: float) -> None:
        """Add the tokens since the last call.

        The bucket of a limit that was not known starts empty, since others may
        have spent what it held.
        """
        rate = self._rate(now)
        elapsed = max(now - self.refilled_at, 0)
        self.refilled_at = now
        if self._begins_cold_bucket(now) or rate is None or math.isinf(elapsed):
            self.tokens = 0
            return
        self.tokens += rate * elapsed
        if self.is_cold_bucket:
            # Calls at the same time must give the same result.
            if elapsed:
                self._bound_cold_tokens(rate, now)
        else:
            burst = max(rate * BURST_SECONDS, MIN_BURST)
            self.tokens = min(self.tokens, burst)

    def _begins_cold_bucket(self, now: float) -> bool:
        """Return whether the upstream has turned cold, or cold again."""
        was_cold, was_cold_bucket = self.was_cold, self.is_cold_bucket
        self.was_cold = self.cold.is_cold(now)
        self.is_cold_bucket = self.cold.limit(now) is not None
        if not self.was_cold or was_cold:
            return False
        if not was_cold_bucket:
            self._drop_old_counts(now - MAX_COUNT_AGE_SECONDS)
        self.needed_level = self._next_level(now)
        return True

    def _drop_old_counts(self, oldest: float) -> None:
        for entry, reported_at in self.reported_at.items():
            if reported_at < oldest:
                self.reports[entry] = dataclasses.replace(
                    self.reports[entry], sent=UNKNOWN_COUNT
                )

    def _bound_cold_tokens(self, rate: float, now: float) -> None:
        """Forgive an old debt, and drop a token that has not been used."""
        self.tokens = max(self.tokens, -rate * MAX_DEBT_SECONDS)
        self.tokens = min(self.tokens, 1 + self._spread(now))
        if self.tokens < self.needed_level or not rate:
            self.unused_since = None
            return
        if self.unused_since is None:
            self.unused_since = now
        unused = max(UNUSED_TOKEN_SHARE / rate, MIN_UNUSED_SECONDS)
        if now > self.unused_since + unused:
            self.tokens = self.needed_level - 1
            self.needed_level = self._next_level(now)
            self.unused_since = None

    def _next_level(self, now: float) -> float:
        """Return how many tokens this entry needs for its next request."""
        return 1 + self._spread(now) * self.sample()

    def _spread(self, now: float) -> float:
        """Return by how much the levels of the entries differ at most."""
        if not self.is_cold_bucket:
            return 1
        # Not that of the ramp, in which the load may vary more.
        rate = min(self._rate(now) or 0, self.cold.rule.per_second)
        unseen = rate * REPORT_SECONDS * self.connected_entries
        return max(unseen / UNSEEN_REQUESTS, MIN_SPREAD)
