"""Predict what a request would meet at an upstream."""

import dataclasses

from cranberryrill.engine_model import prediction, upstream_model
from cranberryrill.traffic import document

# Output tokens of a request that doesn't state them.
DEFAULT_OUTPUT_TOKENS = 100


@dataclasses.dataclass(frozen=True)
class Demand:
    """What a request asks of an engine."""

    prompt_tokens: int
    output_tokens: int

    @property
    def memory_tokens(self) -> int:
        """Return the tokens that it takes in memory until it ends."""
        return self.prompt_tokens + self.expected_output

    @property
    def expected_output(self) -> int:
        """Return the expected number of output tokens."""
        return self.output_tokens or DEFAULT_OUTPUT_TOKENS


@dataclasses.dataclass(frozen=True)
class Load:
    """Requests of all entries on an upstream."""

    # Prompt tokens to prefill before those of a new request.
    backlog_tokens: float
    running: float
    memory_tokens: int


def predict(
    model: upstream_model.UpstreamModel,
    load: Load,
    demand: Demand,
    missing_tokens: float,
    engine: document.Engine,
    now: float,
) -> prediction.Prediction:
    """Predict what a request would meet if it were sent at the time `now`.

    `missing_tokens` is the part of its prompt that is not cached there.
    """
    speed = model.estimate(now)
    backlog_ms = load.backlog_tokens * speed.prefill_ms_per_token
    prefill_ms = missing_tokens * speed.prefill_ms_per_token
    gap_ms = speed.gap_ms(load.running)
    own_ms = prefill_ms + gap_ms * upstream_model.FIRST_EVENT_GAPS
    events = max(demand.expected_output / engine.tokens_per_event, 1)
    slot_wait_ms = _slot_wait_ms(load, engine, events * gap_ms)
    # Prompts queued now may be prefilled after the response has started.
    interruption_ms = max(backlog_ms, speed.interruption_ms)
    lengthened_ms = speed.event_gap_ms * speed.gap_growth * events
    memory_left = float('inf')
    if engine.cache_tokens > 0:
        memory_left = float(
            engine.cache_tokens - load.memory_tokens - demand.memory_tokens
        )
    return prediction.Prediction(
        first_token_ms=backlog_ms + slot_wait_ms + own_ms,
        event_gap_ms=gap_ms + interruption_ms,
        others_delay_ms=load.running * (prefill_ms + lengthened_ms),
        memory_left_tokens=memory_left,
        own_ms=own_ms,
    )


def _slot_wait_ms(
    load: Load, engine: document.Engine, running_ms: float
) -> float:
    """Return the wait for a slot; a request holds one for `running_ms`."""
    excess = load.running + 1 - engine.slots
    if excess <= 0 or engine.slots <= 0:
        return 0
    # Requests end at equal intervals while they run in all slots.
    return excess * running_ms / engine.slots
