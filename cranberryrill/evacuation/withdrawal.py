"""Decide when an entry stops sending to the upstreams of a data centre.

If every entry stopped at once, the whole load of the data centre would meet the
others in one moment. Its upstreams are therefore closed one after the other
within a second, in the same order at all entries.
"""

import math
import xxhash

from cranberryrill.evacuation import evacuation_pb2

# Far below the five seconds within which an evacuation must be in force.
WITHDRAWAL_SECONDS = 1.0
MAX_HASH = 0xFFFFFFFFFFFFFFFF


class Withdrawal:
    """Evacuations that an entry knows, and since when."""

    def __init__(self) -> None:
        self.index = 0
        # When the withdrawal from each evacuated data centre began, in
        # monotonic seconds.
        self.since: dict[str, float] = {}
        # When this entry learnt that an evacuation had ended.
        self.ended_at: dict[str, float] = {}

    def apply(
        self,
        evacuations: evacuation_pb2.Evacuations,
        now: float,
        *,
        at_once: bool,
    ) -> None:
        """Apply what a control member pushed; an older state is ignored.

        `at_once` closes all upstreams of newly evacuated data centres, for an
        entry that may have learnt of the evacuation late.
        """
        if evacuations.index < self.index:
            return
        self.index = evacuations.index
        ordered = set(evacuations.data_centres)
        for data_centre in self.since.keys() - ordered:
            del self.since[data_centre]
            self.ended_at[data_centre] = now
        for data_centre in ordered - self.since.keys():
            self.since[data_centre] = -math.inf if at_once else now

    def is_closed(self, data_centre: str, upstream: str, now: float) -> bool:
        """Return whether nothing may be sent to an upstream any more."""
        since = self.since.get(data_centre)
        if since is None:
            return False
        position = xxhash.xxh64_intdigest(upstream.encode()) / MAX_HASH
        return now >= since + position * WITHDRAWAL_SECONDS

    def is_under_way(self, now: float) -> bool:
        """Return whether upstreams are still being closed."""
        return any(
            now < since + WITHDRAWAL_SECONDS for since in self.since.values()
        )
