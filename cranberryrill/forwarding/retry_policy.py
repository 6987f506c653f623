"""Decide whether a request may be retried on another upstream."""

import dataclasses

from cranberryrill import failures
from cranberryrill.traffic import document

# Each rejection costs a round trip. After this many, all upstreams of the
# service are probably full.
MAX_REJECTIONS = 3
# With less time left, another attempt is not worthwhile.
MIN_SECONDS_LEFT = 0.03
# Refusals carry a random retry delay in this range if there is no better
# estimate of when capacity will be free.
MIN_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 0.5


@dataclasses.dataclass(frozen=True)
class Progress:
    """Results of the attempts to run a request so far."""

    # Number of attempts that may have run on an upstream.
    runs: int = 0
    # Number of attempts that provably did not run.
    rejections: int = 0

    def with_attempt(self, ran: failures.Ran) -> 'Progress':
        """Return a copy that counts one more attempt."""
        if ran is failures.Ran.no:
            return dataclasses.replace(self, rejections=self.rejections + 1)
        return dataclasses.replace(self, runs=self.runs + 1)

    @property
    def ran(self) -> failures.Ran:
        """Whether the request ran: `no` if provably not, else `unknown`."""
        return failures.Ran.unknown if self.runs else failures.Ran.no


def may_retry(
    route: document.Route,
    progress: Progress,
    seconds_left: float,
) -> bool:
    """Return whether the route allows one more attempt.

    A request that is not repeatable is retried only while it provably did not
    run on any upstream. The retry budget is checked separately.
    """
    if seconds_left < MIN_SECONDS_LEFT:
        return False
    if progress.rejections >= MAX_REJECTIONS:
        return False
    if not progress.runs:
        return True
    return route.repeatable and progress.runs < route.max_attempts


def backoff_seconds(sampled: float) -> float:
    """Return a retry delay without an estimate of when capacity is free.

    `sampled`, a random number from 0 to 1, spreads the retries.
    """
    return MIN_RETRY_SECONDS + (MAX_RETRY_SECONDS - MIN_RETRY_SECONDS) * sampled


def queue_delay_seconds(
    wait_seconds: float, pause_seconds: float, sampled: float
) -> float:
    """Return the retry delay of a request that would wait for too long.

    The queue empties during the wait; retries are spread over its second half,
    but none comes before `pause_seconds`, when the first upstream takes any.
    """
    spread = MAX_RETRY_SECONDS + (1 - MAX_RETRY_SECONDS) * sampled
    delay = spread * max(wait_seconds, MAX_RETRY_SECONDS)
    if not pause_seconds:
        return delay
    return max(delay, pause_seconds + backoff_seconds(sampled))
