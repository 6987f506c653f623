"""Send a process's levels and counts to its statsd server."""

import asyncio
import dataclasses
from collections import abc

from cranberryrill import metrics

PERIOD_SECONDS = 2.0
MILLISECONDS_PER_SECOND = 1000
# Stands for a proof of freshness that never came.
NEVER_MS = 86_400_000


@dataclasses.dataclass(frozen=True)
class Sample:
    """Hold what a process measures at one moment."""

    levels: abc.Mapping[str, float]
    # Totals since the start; what they grew by is sent.
    totals: abc.Mapping[str, int] = dataclasses.field(default_factory=dict)


async def run(
    sink: metrics.Metrics,
    sample: abc.Callable[[], Sample],
) -> None:
    """Send a sample regularly, for as long as the process runs."""
    before = sample().totals
    while True:
        taken = sample()
        send(sink, taken, before)
        before = taken.totals
        await asyncio.sleep(PERIOD_SECONDS)


def send(
    sink: metrics.Metrics,
    taken: Sample,
    before: abc.Mapping[str, int],
) -> None:
    """Send one sample; totals as their growth since `before`."""
    for name, level in taken.levels.items():
        sink.gauge(name, level)
    for counter, total in taken.totals.items():
        growth = total - before.get(counter, 0)
        if growth > 0:
            sink.incr(counter, growth)


def age_ms(as_of: float, now: float) -> float:
    """Return how old a proof is, in milliseconds."""
    return min((now - as_of) * MILLISECONDS_PER_SECOND, NEVER_MS)
