"""What an entry counts as the load of entries that it has no news of."""

import collections
import dataclasses
from collections import abc as collection_types

from cranberryrill.forwarding import peer_loads

# The last loads of an entry count for this long after its news have ended; its
# requests may still run.
LAST_LOADS_SECONDS = 2.0


@dataclasses.dataclass(frozen=True)
class View:
    """Loads of other entries, and the part of the capacity of this one."""

    # Open requests by upstream of entries whose news have just ended.
    last_open: collection_types.Mapping[str, int]
    # 1 while the loads of all watched entries are known.
    share: float
    # Number of all entries, divided by that of this one and the watched ones.
    scale: float = 1.0

    @property
    def is_complete(self) -> bool:
        """Return whether the loads of all entries are known."""
        return self.share >= 1 and self.scale <= 1 and not self.last_open


class PeerNews:
    """Tracks which entries are connected.

    `entry_count` returns how many entries there are, this one included.
    """

    def __init__(
        self,
        loads: peer_loads.PeerLoads,
        entry_count: collection_types.Callable[[], int],
    ) -> None:
        self.loads = loads
        self.entry_count = entry_count
        self.lost_at: dict[str, float] = {}

    def view(self, now: float) -> View:
        """Return what counts now.

        An entry that has been silent for longer, or was never connected, may
        use its own part of the capacity unseen.
        """
        entries = max(self.entry_count(), 1)
        group = min(entries, peer_loads.MAX_WATCHED_ENTRIES + 1)
        lost = self.loads.last_loads
        self.lost_at = {entry: self.lost_at.get(entry, now) for entry in lost}
        recent = [
            entry
            for entry, lost_at in self.lost_at.items()
            if now < lost_at + LAST_LOADS_SECONDS
        ]
        last_open: collections.Counter[str] = collections.Counter()
        for entry in recent:
            for load in lost[entry].values():
                last_open[load.upstream] += load.open_requests
        known = len(self.loads.by_entry) + len(recent)
        share = min((known + 1) / group, 1)
        return View(last_open, share, entries / group)
