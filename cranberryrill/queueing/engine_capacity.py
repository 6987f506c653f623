"""Send requests to engines while urgent ones still find short backlogs.

An engine prefills prompts in order of arrival, so a request that it has taken
can't be overtaken. Requests wait in this process while the engine that they
would go to is busy for longer than more urgent routes can bear.
"""

import dataclasses
import math
from collections import abc

from cranberryrill.engine_model import prediction
from cranberryrill.forwarding import gate, request_queue
from cranberryrill.queueing import capacity, waiting
from cranberryrill.traffic import document

# A request that delays no more urgent route still waits here while its engine
# is busy for this share of its own target: in the engine it would be late
# anyway, and nothing could go before it.
OWN_TARGET_SHARE = 0.8
# An engine that is sent a less urgent request may be busy for this share of the
# target of a more urgent route. It then prefills that request, too, and others
# that entries send at the same time, so a larger share makes urgent requests
# late; in replays of overload a smaller one costs no throughput.
URGENT_TARGET_SHARE = 0.2
# Share of an engine's memory that only the most urgent requests may use.
MEMORY_RESERVE_SHARE = 0.03
# The loads of other entries are two periods old, so that those who see a free
# engine at the same time must not send more than half of the engines can take.
SENT_ENGINE_SHARE = 0.5
MILLISECONDS_PER_SECOND = 1000


@dataclasses.dataclass(frozen=True)
class EngineState:
    """Engines of a service that take prompts, and who sends to them."""

    engines: int
    entries: int
    # Part of the capacity that this process may use; 1 while it knows the
    # loads of all entries.
    share: float = 1.0


class EngineCapacity:
    """Capacity of the engines of one service; implements capacity.Capacity."""

    period_seconds = gate.DISPATCH_PERIOD_SECONDS

    def __init__(self, read_state: abc.Callable[[float], EngineState]) -> None:
        self.read_state = read_state
        self.state = EngineState(1, 1)

    def start_round(self, now: float) -> int:
        """Read the present state; return how many requests may be sent."""
        self.state = self.read_state(now)
        share = self.state.engines / max(self.state.entries, 1)
        return max(math.ceil(SENT_ENGINE_SHARE * share), 1)

    def examined_requests(self) -> int:
        """Return how many verdicts are affordable in one round."""
        return request_queue.examined_requests(self.state.engines)

    def verdict(
        self, request: waiting.WaitingRequest, now: float
    ) -> capacity.Verdict:
        """Return whether the engine that a request would go to can take it."""
        predicted = request.predict(now) if request.predict else None
        if predicted is None:
            return capacity.Verdict.wait
        # Without news of others, each entry uses its own part of the backlog.
        limit_ms = request.limits.ahead_ms * self.state.share
        if ahead_ms(predicted, request.work) > limit_ms:
            return capacity.Verdict.wait
        if predicted.memory_left_tokens < request.limits.memory_left_tokens:
            return capacity.Verdict.wait_for_memory
        return capacity.Verdict.send

    def record_sent(self, request: waiting.WaitingRequest) -> None:
        """Do nothing: the next prediction counts the request."""

    def assumed_rate(self) -> float:
        """Return the milliseconds of prefill a second of one entry's part."""
        share = self.state.engines / max(self.state.entries, 1)
        return MILLISECONDS_PER_SECOND * share


def ahead_ms(predicted: prediction.Prediction, own_ms: float) -> float:
    """Return for how long an engine is busy before it comes to a request.

    `own_ms` stands in for the prefill of the request itself where the
    prediction does not name it.
    """
    own = predicted.own_ms or own_ms
    return max(predicted.first_token_ms - own, 0)


def max_ahead_ms(
    own_route: document.Route,
    competing: abc.Iterable[document.Route],
    *,
    is_decode_heavy: bool,
) -> float:
    """Return how long an engine may be busy when it is sent a request.

    Decode-heavy requests have little to prefill and delay nobody.
    """
    if is_decode_heavy or not own_route.target_latency_ms:
        return math.inf
    own_ms = OWN_TARGET_SHARE * own_route.target_latency_ms
    backlog_ms = request_queue.max_backlog_ms(own_route, competing)
    if backlog_ms is None:
        return own_ms
    urgent_target_ms = backlog_ms / request_queue.MAX_BACKLOG_SHARE
    return min(own_ms, URGENT_TARGET_SHARE * urgent_target_ms)


def min_memory_left(
    memory_tokens: int, request_tokens: int, *, is_most_urgent: bool
) -> float:
    """Return the memory that a request must leave free in its engine.

    A request that would never fit beside the reserve is not kept waiting.
    """
    reserve = MEMORY_RESERVE_SHARE * memory_tokens
    if request_tokens > memory_tokens:
        return -math.inf
    if is_most_urgent or request_tokens + reserve > memory_tokens:
        return 0
    return reserve
