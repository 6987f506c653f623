"""One engine that a request may be sent to, with its cost."""

import dataclasses
from collections import abc

from cranberryrill.engine_model import prediction
from cranberryrill.forwarding import cache_source, departure, upstreams


@dataclasses.dataclass(frozen=True)
class Option:
    """One upstream with its cost, and what was predicted there."""

    upstream: upstreams.Upstream
    # Without the random part.
    cost: float
    jitter: float
    # Delay of the first event, with that by failures and full memory.
    time_ms: float
    predicted: prediction.Prediction
    fetch: cache_source.Fetch
    # Whether affinity prefers the upstream.
    is_preferred: bool


def random_cost(option: Option) -> float:
    """Return the cost by which upstreams of one data centre are compared."""
    return option.cost + option.jitter


def estimate(options: abc.Sequence[Option]) -> departure.Estimate:
    """Return what decides whether a request leaves, or is sent there.

    Random parts of costs must not make requests leave.
    """
    return departure.Estimate(
        min(option.cost for option in options),
        options[0].time_ms,
        options[0].predicted.event_gap_ms,
    )
