"""Prediction of what a request would meet at an upstream."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Prediction:
    """What a request would meet at one upstream if it were sent now.

    Queue, placement and explanations use this type alone, so that they agree.
    """

    # Time until the first event of the response, in milliseconds.
    first_token_ms: float
    # Longest time between two events of its stream, in milliseconds; 0 for a
    # plain service.
    event_gap_ms: float
    # Sum of the delays that it causes to the requests that run there.
    others_delay_ms: float
    # Tokens left in the memory of the engine once the request is there; below 0
    # if it doesn't fit. Infinite where memory is not configured.
    memory_left_tokens: float
    # Part of `first_token_ms` that the request itself takes, once the upstream
    # comes to it; 0 if it is not known.
    own_ms: float = 0
