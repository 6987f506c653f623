"""Requests that wait until an upstream can take them."""

import dataclasses
from collections import abc

from cranberryrill.engine_model import prediction
from cranberryrill.forwarding import request_queue
from cranberryrill.traffic import document

MILLISECONDS_PER_SECOND = 1000
# Every request may wait for this share of its time: predictions of its own
# duration are no more accurate.
MIN_WAIT_SHARE = 0.1
# A request is on time if it is predicted to take this share of its target.
ON_TIME_SHARE = 0.8


@dataclasses.dataclass(frozen=True)
class Limits:
    """What a request must find at the upstream to which it would be sent."""

    # Longest time for which the upstream may be busy with the prompts before.
    ahead_ms: float = float('inf')
    # Memory that must be left there, for urgent requests that come later.
    memory_left_tokens: float = 0


@dataclasses.dataclass(frozen=True, eq=False)
class WaitingRequest:
    """A request of one service, from its arrival until it is sent or refused.

    Times are in seconds of the monotonic clock; a lower rank is more urgent.
    """

    service: str
    organisation: str
    rank: int
    arrived_at: float
    # From then on the request will miss its latency target.
    late_at: float
    # The request is of no use if it is sent later than this.
    expires_at: float
    # Capacity that it takes: milliseconds of prefill, or one place.
    work: float
    # Latency target of its route; the shorter one is more urgent in a rank.
    target_ms: float = 0
    # Whether its caller was refused before and has come back.
    is_returning: bool = False
    limits: Limits = Limits()
    # Predicts what the request would meet now; None if no upstream may be used.
    predict: abc.Callable[[float], prediction.Prediction | None] | None = None
    regions: frozenset[str] | None = None

    @property
    def max_wait_seconds(self) -> float:
        """Return how long it may wait from its arrival."""
        return self.expires_at - self.arrived_at


def late_at(
    route: document.Route, received_at: float, first_event_seconds: float
) -> float:
    """Return from when on a request that still waits misses its target.

    Its first event, or its response, takes so long after the wait.
    """
    target = route.target_latency_ms / MILLISECONDS_PER_SECOND
    return received_at + max(
        min(
            request_queue.LATE_TARGET_SHARE * target,
            ON_TIME_SHARE * target - first_event_seconds,
        ),
        0,
    )


def max_wait_seconds(
    route: document.Route,
    allowed_seconds: float,
    first_event_ms: float,
) -> float:
    """Return how long a request may wait before it is sent.

    After the wait its first event, or response, takes `first_event_ms`; it must
    be there within `allowed_seconds` and before the caller closes the stream.
    Half of the time is kept for deviations from the prediction. The rest of a
    stream doesn't count: callers state the longest response, and few are that
    long.
    """
    timeout = min(
        allowed_seconds, request_queue.first_event_timeout_seconds(route)
    )
    first = first_event_ms / MILLISECONDS_PER_SECOND
    return max(
        min(
            request_queue.MAX_WAIT_SHARE * timeout,
            timeout - first,
        ),
        MIN_WAIT_SHARE * timeout,
    )
