"""Speed of an upstream as two times."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Speed:
    """Times that an upstream takes; less is faster."""

    prefill_ms_per_token: float
    # Time between two events of a stream that is alone on the upstream.
    event_gap_ms: float

    def scaled(self, factor: float) -> 'Speed':
        """Return the speed while work takes `factor` times as long."""
        return Speed(
            self.prefill_ms_per_token * factor, self.event_gap_ms * factor
        )
