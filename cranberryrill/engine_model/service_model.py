"""What the upstreams of one service have in common: medians and growth."""

import math
import statistics
import typing
import weakref

from cranberryrill.engine_model import gap_growth, speed, work_factor

# Speeds that are assumed until one is measured.
INITIAL_TOKENS_PER_MS = 60.0
INITIAL_STEP_MS = 5.0
# An upstream with fewer recent measurements doesn't count for the median.
MIN_SAMPLES = 0.25
# Upstreams are compared with the median once this share of them is measured:
# the first ones measured are often the fastest.
MEDIAN_SHARE = 0.6
# Medians are computed again after this time. It bounds the processor time with
# thousands of upstreams.
REFRESH_SECONDS = 0.5
# For how long a decode-heavy request tells which gaps are allowed. Most streams
# end within this time.
TIGHT_GAP_SECONDS = 30.0
# An upstream is much slower below this share of the median speed.
MUCH_SLOWER_SHARE = 0.5


class Measured(typing.Protocol):
    """Measurements of an upstream; None where nothing is measured."""

    @property
    def prefill_ms_per_token(self) -> float | None:
        """Return the time to prefill a token."""

    @property
    def event_gap_ms(self) -> float | None:
        """Return the time between two events of a stream."""

    @property
    def samples(self) -> float:
        """Return the decayed number of measurements."""


class Member(typing.Protocol):
    """Model of one upstream of a service."""

    work: work_factor.WorkFactor

    def measured(self, now: float) -> Measured:
        """Return what is measured, for the usual work factor."""

    def usual_speed(self, now: float) -> speed.Speed:
        """Return the estimated speed for the usual work factor."""


class ServiceModel:
    """Median speed of a service's upstreams, and growth of their gaps."""

    def __init__(self) -> None:
        self.growth = gap_growth.GapGrowth()
        self.initial = speed.Speed(1 / INITIAL_TOKENS_PER_MS, INITIAL_STEP_MS)
        # Upstreams of the service, while they are registered.
        self.members: weakref.WeakSet[Member] = weakref.WeakSet()
        self.last_median = self.initial
        self.tight_gap = math.inf
        self.tight_gap_at = float('-inf')
        # Whether enough upstreams are measured for a median of them.
        self.has_median = False
        self.refresh_at = float('-inf')

    def set_tokens_per_event(self, tokens: int) -> None:
        """Apply the configured size of an event."""
        gap_ms = INITIAL_STEP_MS * tokens
        if gap_ms != self.initial.event_gap_ms:
            self.initial = speed.Speed(1 / INITIAL_TOKENS_PER_MS, gap_ms)
            self.refresh_at = float('-inf')

    def record_tight_gap(self, gap_ms: float, now: float) -> None:
        """Record the longest gap that a decode-heavy request allows."""
        if 0 < gap_ms <= self.tight_gap_ms(now):
            self.tight_gap = gap_ms
            self.tight_gap_at = now

    def tight_gap_ms(self, now: float) -> float:
        """Return the shortest such gap of recent requests, or infinity."""
        if now >= self.tight_gap_at + TIGHT_GAP_SECONDS:
            return math.inf
        return self.tight_gap

    def median(self, now: float) -> speed.Speed:
        """Return the median speed, with the typical work of each upstream."""
        if now >= self.refresh_at:
            self.refresh_at = now + REFRESH_SECONDS
            self.last_median = self._median(now)
        return self.last_median

    def is_much_slower(self, member: Member, now: float) -> bool:
        """Return whether an upstream is much slower than the median now."""
        current = member.usual_speed(now).scaled(member.work.slowdown(now))
        median = self.median(now)
        return MUCH_SLOWER_SHARE > max(
            median.event_gap_ms / current.event_gap_ms,
            median.prefill_ms_per_token / current.prefill_ms_per_token,
        )

    def _median(self, now: float) -> speed.Speed:
        prefills = []
        gaps = []
        for member in self.members:
            measured = member.measured(now)
            if measured.samples < MIN_SAMPLES:
                continue
            typical = member.work.typical_slowdown()
            if measured.prefill_ms_per_token is not None:
                prefills.append(measured.prefill_ms_per_token * typical)
            if measured.event_gap_ms is not None:
                gaps.append(measured.event_gap_ms * typical)
        self.has_median = len(gaps) >= len(self.members) * MEDIAN_SHARE
        return speed.Speed(
            statistics.median(prefills)
            if prefills
            else self.initial.prefill_ms_per_token,
            statistics.median(gaps) if gaps else self.initial.event_gap_ms,
        )
