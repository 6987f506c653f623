"""Uses of one service by the heaviest organisations, and the sum of the rest.

An organisation that is not listed may become one of the heaviest in many small
steps. As many candidates as there are listed organisations are therefore
counted by the space-saving algorithm of Metwally et al.: a new candidate
replaces the least one and takes over its count as its possible error.
"""

from cranberryrill.shares import decay

MAX_LISTED = 32
# A candidate replaces a listed organisation once its use is this many times as
# much, so that two organisations of about equal use don't alternate.
MIN_REPLACEMENT_RATIO = 1.25


class Candidate:
    """Organisation that is counted with the rest, but may be listed."""

    def __init__(self, error: float, now: float) -> None:
        # Upper bound of the use, with the error.
        self.count = decay.DecayingSum(error, now)
        self.error = decay.DecayingSum(error, now)

    def certain(self, now: float) -> float:
        """Return the use that is certain."""
        return max(self.count.value(now) - self.error.value(now), 0)


class HeaviestUsers:
    """Uses of one service through this entry."""

    def __init__(self) -> None:
        self.listed: dict[str, decay.DecayingSum] = {}
        self.rest = decay.DecayingSum()
        self.candidates: dict[str, Candidate] = {}

    def add(self, organisation: str, used: float, now: float) -> None:
        """Add what an organisation has used."""
        known = self.listed.get(organisation)
        if known is None and len(self.listed) < MAX_LISTED:
            known = decay.DecayingSum()
            self.listed[organisation] = known
        if known is None:
            self.rest.add(used, now)
            candidate = self._candidate(organisation, now)
            candidate.count.add(used, now)
            self._list_if_heavy(organisation, candidate.certain(now), now)
        else:
            known.add(used, now)

    def _candidate(self, organisation: str, now: float) -> Candidate:
        """Return a candidate, which replaces the least one if it is new."""
        candidate = self.candidates.get(organisation)
        if candidate is None:
            error = 0.0
            if len(self.candidates) >= MAX_LISTED:
                least = min(
                    self.candidates,
                    key=lambda name: self.candidates[name].count.value(now),
                )
                error = self.candidates.pop(least).count.value(now)
            candidate = Candidate(error, now)
            self.candidates[organisation] = candidate
        return candidate

    def _list_if_heavy(
        self, organisation: str, certain: float, now: float
    ) -> None:
        """List a candidate instead of the least organisation, if it has less.

        `certain` is the use of the candidate.
        """
        least_listed = min(
            self.listed, key=lambda name: self.listed[name].value(now)
        )
        least_used = self.listed[least_listed].value(now)
        if certain <= least_used * MIN_REPLACEMENT_RATIO:
            return
        del self.candidates[organisation]
        del self.listed[least_listed]
        # What is certain moves out of the rest; the sum stays the same.
        self.listed[organisation] = decay.DecayingSum(certain, now)
        self.rest.add(least_used - certain, now)
        self.candidates[least_listed] = Candidate(0, now)
        self.candidates[least_listed].count.add(least_used, now)
