"""Choose the control member that a caller is sent on to.

Answers a rolling restart and lost members: only those that answered a moment
ago are named, each as often as any other.
"""

import random
from collections import abc

# A member is asked this often whether it is there, in seconds.
PROBE_PERIOD_SECONDS = 0.5
# Two probes in a row may be lost before a member is no longer named.
ANSWER_LIFETIME_SECONDS = 1.5


class Candidates:
    """Hold which members answered, and when."""

    def __init__(self, hosts: abc.Iterable[str]) -> None:
        # The last answer's time on the monotonic clock; none yet: 0.
        self.answered_at: dict[str, float] = {}
        self.diskless: set[str] = set()
        self.add(hosts)

    def add(self, hosts: abc.Iterable[str]) -> list[str]:
        """Take up hosts to probe; return those that were new."""
        new = [host for host in hosts if host not in self.answered_at]
        for host in new:
            self.answered_at[host] = 0
        return new

    def record_answer(self, host: str, *, diskless: bool, now: float) -> bool:
        """Note that `host` answered; say whether it had been silent."""
        if diskless:
            self.diskless.add(host)
            return False
        self.diskless.discard(host)
        regained = not self._is_fresh(host, now)
        self.answered_at[host] = now
        return regained

    def choose(self, now: float, rng: random.Random) -> str | None:
        """Return a member to name, or none if all are silent."""
        fresh = [host for host in self.answered_at if self._is_fresh(host, now)]
        return rng.choice(fresh) if fresh else None

    def _is_fresh(self, host: str, now: float) -> bool:
        answered_at = self.answered_at[host]
        if host in self.diskless or not answered_at:
            return False
        return now - answered_at <= ANSWER_LIFETIME_SECONDS
