"""Measured speed of one upstream.

Speeds are kept for the usual work factor: a measurement is divided by how much
longer work took at that time, and a prediction is multiplied by how much longer
it takes now. A factor that is false all the time thus cancels out.
"""

import dataclasses
import math
from collections import abc

from cranberryrill.engine_model import (
    averages,
    service_model,
    speed,
    speed_level,
    work_factor,
)

# With fewer tokens, the time to the first event is mostly other delays.
MIN_MEASURED_TOKENS = 1000
# Gaps from the end of the prefill to the first event: the event itself, and on
# average half a step that runs when the prompt arrives.
FIRST_EVENT_GAPS = 1.5
# The prefill takes at least this share of the time to the first event.
MIN_PREFILL_SHARE = 0.2
# One measurement counts for at most this many times the estimate, or at least
# for its inverse, so that a single long pause doesn't dominate the average.
MAX_DEVIATION = 4
# The service's median counts as this many measurements, so that an upstream
# whose last ones are old returns to it and is used again.
PRIOR_SAMPLES = 0.5
# The gaps of a stream count as one measurement together.
SAMPLES_PER_GAP = 0.1
# Reports of other entries that weigh less are dropped.
MIN_WEIGHT = 0.01
# Prompts come to an upstream at intervals of up to about this time.
INTERRUPTION_HALF_LIFE_SECONDS = 1.0
# Estimates are computed again after this time, since all placements of a burst
# need them.
REFRESH_SECONDS = 0.05


@dataclasses.dataclass(frozen=True)
class Measured:
    """Measurements of an upstream by one entry, for the usual work factor.

    Values are None until they are measured.
    """

    prefill_ms_per_token: float | None = None
    event_gap_ms: float | None = None
    samples: float = 0
    measured_at: float = float('-inf')

    def weight(self, now: float) -> float:
        """Return the number of measurements, decayed to the time `now`."""
        age = max(now - self.measured_at, 0)
        return self.samples * math.exp2(-age / averages.HALF_LIFE_SECONDS)


@dataclasses.dataclass(frozen=True)
class Estimate:
    """Speed of an upstream at present."""

    prefill_ms_per_token: float
    # Time between two events of a stream that is alone on the upstream.
    event_gap_ms: float
    # Share by which each running request lengthens the gap.
    gap_growth: float
    # How long prompts have lately interrupted streams, at most.
    interruption_ms: float

    def gap_ms(self, running: float) -> float:
        """Return the time between two events beside `running` requests."""
        return self.event_gap_ms * (1 + self.gap_growth * running)


class UpstreamModel:
    """Averages of one upstream, by this process and by other entries."""

    def __init__(self, service: service_model.ServiceModel) -> None:
        self.service = service
        self.work = work_factor.WorkFactor()
        self.prefill = averages.DecayingRatio()
        self.gap = averages.DecayingRatio()
        self.interruption = averages.DecayingPeak(
            INTERRUPTION_HALF_LIFE_SECONDS
        )
        self.by_entry: dict[str, Measured] = {}
        self.level = speed_level.SpeedLevel()
        self.usual = service.initial
        self.refresh_at = float('-inf')
        service.members.add(self)

    def record_prefill(self, tokens: float, wait_ms: float, now: float) -> None:
        """Record the time to the first event after `tokens` to prefill."""
        if tokens < MIN_MEASURED_TOKENS or wait_ms <= 0:
            return
        estimate = self.estimate(now)
        prefill_ms = max(
            wait_ms - estimate.event_gap_ms * FIRST_EVENT_GAPS,
            wait_ms * MIN_PREFILL_SHARE,
        )
        expected_ms = tokens * estimate.prefill_ms_per_token
        self.prefill.record(
            _bounded(prefill_ms, expected_ms) / self.work.slowdown(now),
            tokens,
            now,
        )

    def record_gap(
        self, gap_ms: float, events: int, running: int, now: float
    ) -> None:
        """Record the time of some events that no prefill interrupted.

        `running` counts the other requests on the upstream.
        """
        expected_ms = self.estimate(now).gap_ms(running) * events
        usual_ms = _bounded(gap_ms, expected_ms) / self.work.slowdown(now)
        growth = self.service.growth
        base_ms = usual_ms / (1 + growth.share * running)
        growth.record(usual_ms / events / self.usual.event_gap_ms, running, now)
        self.gap.record(base_ms, events, now, SAMPLES_PER_GAP)

    def record_interruption(self, excess_ms: float, now: float) -> None:
        """Record by how much a gap was longer than expected."""
        self.interruption.record(excess_ms, now)

    def record_peer(self, entry: str, measured: Measured) -> None:
        """Record what another entry has measured."""
        self.by_entry[entry] = measured

    @property
    def recorded_at(self) -> float:
        """Return when this process last measured something."""
        return max(self.prefill.recorded_at, self.gap.recorded_at)

    def own(self, now: float) -> Measured:
        """Return what this process has measured."""
        prefill_samples = self.prefill.samples_at(now)
        samples = max(prefill_samples, self.gap.samples_at(now))
        return Measured(self.prefill.ratio(), self.gap.ratio(), samples, now)

    def measured(self, now: float) -> Measured:
        """Return what all entries have measured together."""
        self.by_entry = {
            entry: measured
            for entry, measured in self.by_entry.items()
            if measured.weight(now) >= MIN_WEIGHT
        }
        all_measured = [self.own(now), *self.by_entry.values()]
        weighted = [(each, each.weight(now)) for each in all_measured]
        return Measured(
            _mean(
                (each.prefill_ms_per_token, weight) for each, weight in weighted
            ),
            _mean((each.event_gap_ms, weight) for each, weight in weighted),
            sum(weight for _, weight in weighted),
            now,
        )

    def usual_speed(self, now: float) -> speed.Speed:
        """Return the estimated speed for the usual work factor."""
        if now >= self.refresh_at:
            self.refresh_at = now + REFRESH_SECONDS
            measured = self.measured(now)
            median = self.service.median(now)
            typical = self.work.typical_slowdown()
            self.usual = speed.Speed(
                _shrunk(
                    measured.prefill_ms_per_token,
                    measured.samples,
                    median.prefill_ms_per_token / typical,
                ),
                _shrunk(
                    measured.event_gap_ms,
                    measured.samples,
                    median.event_gap_ms / typical,
                ),
            )
            if measured.event_gap_ms is not None and self.service.has_median:
                # Gaps are measured more exactly than prefill.
                current_ms = self.usual.event_gap_ms * typical
                self.level.update(median.event_gap_ms / current_ms, now)
        return self.usual

    def estimate(self, now: float) -> Estimate:
        """Return the speed at the time `now`."""
        usual = self.usual_speed(now)
        slowdown = self.work.slowdown(now)
        return Estimate(
            usual.prefill_ms_per_token * slowdown,
            usual.event_gap_ms * slowdown,
            self.service.growth.share,
            self.interruption.recent(now),
        )

    def is_much_slower(self, now: float) -> bool:
        """Return whether it is much slower now than its service's median."""
        return self.service.is_much_slower(self, now)

    def speed_level(self, now: float) -> int:
        """Return the quantised speed: 0 for the median, more if faster."""
        self.usual_speed(now)
        return self.level.level


def _bounded(measured: float, expected: float) -> float:
    return min(
        max(measured, expected / MAX_DEVIATION), expected * MAX_DEVIATION
    )


def _shrunk(measured: float | None, samples: float, median: float) -> float:
    """Return a mean time with the median as some further measurements.

    The mean is that of speeds: a slow upstream returns to the median sooner.
    """
    if measured is None:
        return median
    speed_sum = samples / measured + PRIOR_SAMPLES / median
    return (samples + PRIOR_SAMPLES) / speed_sum


def _mean(
    weighted: abc.Iterable[tuple[float | None, float]],
) -> float | None:
    """Return the mean of those values that are not None."""
    total = 0.0
    weights = 0.0
    for measured, weight in weighted:
        if measured is not None:
            total += measured * weight
            weights += weight
    return total / weights if weights > 0 else None
