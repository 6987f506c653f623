"""Predict what a request would meet if it were sent now."""

import math
import typing

from cranberryrill.engine_model import prediction
from cranberryrill.forwarding import admission, dispatch_queue

# What a request is sent with when no upstream is known; its delivery refuses
# it.
NOTHING_AHEAD = prediction.Prediction(0, 0, 0, math.inf)


class Predictor(typing.Protocol):
    """Source of predictions."""

    def predict(
        self, admitted: admission.Admitted, now: float
    ) -> prediction.Prediction | None:
        """Return what a request would meet at the upstream it would go to.

        None if no upstream may be used now.
        """


class PlacementPredictor:
    """Predicts as the placement does, for the upstream that it would choose."""

    def __init__(self, context: dispatch_queue.QueueContext) -> None:
        self.context = context

    def predict(
        self, admitted: admission.Admitted, now: float
    ) -> prediction.Prediction | None:
        """Return what the request would meet at that upstream."""
        choice = self.context.choose(admitted, frozenset(), now)
        return choice.predicted if choice else None
