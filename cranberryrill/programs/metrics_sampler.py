"""Send a process's gauges and counters to its statsd server."""

import asyncio
import dataclasses
from collections import abc

from cranberryrill import metrics

SAMPLE_PERIOD_SECONDS = 2.0
MILLISECONDS_PER_SECOND = 1000
# One day; also reported while there has been no proof.
MAX_AGE_MS = 86_400_000


@dataclasses.dataclass(frozen=True)
class Sample:
    """Metrics of a process at one time."""

    gauges: abc.Mapping[str, float]
    # Totals since the process started; their increase is sent.
    totals: abc.Mapping[str, int] = dataclasses.field(default_factory=dict)


async def run(
    sink: metrics.Metrics,
    take_sample: abc.Callable[[], Sample],
) -> None:
    """Send a sample every `SAMPLE_PERIOD_SECONDS`, until cancelled."""
    previous_totals = take_sample().totals
    while True:
        current = take_sample()
        send(sink, current, previous_totals)
        previous_totals = current.totals
        await asyncio.sleep(SAMPLE_PERIOD_SECONDS)


def send(
    sink: metrics.Metrics,
    current: Sample,
    previous_totals: abc.Mapping[str, int],
) -> None:
    """Send the gauges, and the increase of totals since `previous_totals`."""
    for name, gauge_value in current.gauges.items():
        sink.gauge(name, gauge_value)
    for counter, total in current.totals.items():
        increase = total - previous_totals.get(counter, 0)
        if increase > 0:
            sink.incr(counter, increase)


def age_ms(as_of: float, now: float) -> float:
    """Return the age of a proof in milliseconds, at most `MAX_AGE_MS`.

    `as_of` and `now` are in seconds on the monotonic clock.
    """
    return min((now - as_of) * MILLISECONDS_PER_SECOND, MAX_AGE_MS)
