"""Decide whether a request may be sent to another upstream."""

import dataclasses

from cranberryrill import failures
from cranberryrill.traffic import document

# An upstream that refuses costs a round trip; a pool that refuses this often
# is full.
MAX_REJECTIONS = 3
# Less time than this is not worth another attempt, in seconds.
LEAST_TIME_LEFT = 0.03


@dataclasses.dataclass(frozen=True)
class Progress:
    """Hold what has become of a request so far."""

    # Upstreams that may have run it.
    runs: int = 0
    # Upstreams that have proved not to have run it.
    rejections: int = 0

    def with_attempt(self, ran: failures.Ran) -> 'Progress':
        """Return the progress after one more attempt."""
        if ran is failures.Ran.no:
            return dataclasses.replace(self, rejections=self.rejections + 1)
        return dataclasses.replace(self, runs=self.runs + 1)

    @property
    def ran(self) -> failures.Ran:
        """Say whether the request ran anywhere."""
        return failures.Ran.unknown if self.runs else failures.Ran.no


def may_retry(
    route: document.Route,
    progress: Progress,
    seconds_left: float,
) -> bool:
    """Say whether the route allows one more attempt.

    What may not be repeated goes on only while every upstream has proved not
    to have run it. The budget of all processes is asked separately.
    """
    if seconds_left < LEAST_TIME_LEFT:
        return False
    if progress.rejections >= MAX_REJECTIONS:
        return False
    if not progress.runs:
        return True
    return route.repeatable and progress.runs < route.max_attempts
