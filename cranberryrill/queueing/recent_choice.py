"""Reuse the choice of an upstream within one moment.

A request that doesn't wait is compared with the upstreams by the queue, twice,
and by its placement. On the smallest entry VMs, of 0.3 cores, these comparisons
took so much processor time that all classes of requests became late in bursts.
"""

from cranberryrill.forwarding import admission, placement

# Loads of other entries change every 40 ms, own ones with each request sent.
LIFETIME_SECONDS = 0.005


class RecentChoice:
    """The newest choice, with the request that it was made for."""

    def __init__(self) -> None:
        self.admitted: admission.Admitted | None = None
        self.excluded: frozenset[str] = frozenset()
        self.choice: placement.Choice | None = None
        self.made_at = float('-inf')

    def store(
        self,
        admitted: admission.Admitted,
        excluded: frozenset[str],
        choice: placement.Choice,
        now: float,
    ) -> None:
        """Keep a choice in place of the one before."""
        self.admitted = admitted
        self.excluded = excluded
        self.choice = choice
        self.made_at = now

    def find(
        self,
        admitted: admission.Admitted,
        excluded: frozenset[str],
        now: float,
    ) -> placement.Choice | None:
        """Return the choice if it was made for this request just now."""
        if admitted is not self.admitted or excluded != self.excluded:
            return None
        if now >= self.made_at + LIFETIME_SECONDS:
            return None
        choice = self.choice
        if choice is not None and choice.upstream.wait_seconds(now):
            return None
        return choice
