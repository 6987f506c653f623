"""Choose the control member that a caller is redirected to.

Only members that answered a recent probe are chosen, each with the same
probability, so that callers avoid members that restart or are lost.
"""

import random
from collections import abc

# Interval between probes of a member.
PROBE_PERIOD_SECONDS = 0.5
# A member stays available when two probes in a row are lost.
ANSWER_LIFETIME_SECONDS = 1.5


class Candidates:
    """The known control members, with the time of their last answer."""

    def __init__(self, hosts: abc.Iterable[str]) -> None:
        # Time of the last answer on the monotonic clock, 0 before the first.
        self.answered_at: dict[str, float] = {}
        self.diskless: set[str] = set()
        self.add(hosts)

    def add(self, hosts: abc.Iterable[str]) -> list[str]:
        """Add hosts to the known members; return those that are new."""
        new_hosts = [host for host in hosts if host not in self.answered_at]
        for host in new_hosts:
            self.answered_at[host] = 0
        return new_hosts

    def record_answer(self, host: str, *, diskless: bool, now: float) -> bool:
        """Record an answer; return whether it makes `host` available.

        A diskless member is never available.
        """
        if diskless:
            self.diskless.add(host)
            return False
        self.diskless.discard(host)
        recovered = not self._is_fresh(host, now)
        self.answered_at[host] = now
        return recovered

    def choose(self, now: float, rng: random.Random) -> str | None:
        """Return a random available member, None when there is none."""
        fresh = [host for host in self.answered_at if self._is_fresh(host, now)]
        return rng.choice(fresh) if fresh else None

    def _is_fresh(self, host: str, now: float) -> bool:
        answered_at = self.answered_at[host]
        if host in self.diskless or not answered_at:
            return False
        return now - answered_at <= ANSWER_LIFETIME_SECONDS
