"""What the upstream of an agent has asked for in its responses."""

import http
import logging

from cranberryrill.limits import avoidance, retry_after
from cranberryrill.relay import response_head

LOGGER = logging.getLogger(__name__)
MILLISECONDS_PER_SECOND = 1000
# An agent learns nothing of the next start of an upstream that it avoids, so
# it sends a request again after this time.
LEAVING_HOLD_SECONDS = 60.0


class RequestedAbsence:
    """Whether the upstream leaves, or wants nothing for a while.

    Times are in seconds on the monotonic clock.
    """

    def __init__(self, upstream: str, slots: int) -> None:
        self.upstream = upstream
        self.slots = slots
        self.avoidance = avoidance.Avoidance()

    def record_head(self, head: response_head.ResponseHead, now: float) -> None:
        """Record what the head of a response asks for."""
        if head.says_leaving and self.avoidance.record_leaving(now):
            self._log('leaving', None)
        if head.status != http.HTTPStatus.SERVICE_UNAVAILABLE:
            return
        seconds = retry_after.read_pause(head.retry_after, self.upstream)
        if seconds and self.avoidance.record_pause(seconds, now):
            self._log('pause', seconds)

    def is_leaving(self, now: float) -> bool:
        """Return whether the upstream takes no request that comes now."""
        since = self.avoidance.leaving_since
        return since is not None and now < since + LEAVING_HOLD_SECONDS

    def wait_seconds(self, now: float) -> float:
        """Return how long to wait before a request may be sent; 0 if none."""
        return self.avoidance.wait_seconds(now, self.slots)

    def record_sent(self, now: float) -> None:
        """Record that a request is about to be sent."""
        if not self.is_leaving(now):
            self.avoidance.leaving_since = None
        ended = self.avoidance.record_sent(now)
        if ended is not None:
            age_ms = int((now - ended.began_at) * MILLISECONDS_PER_SECOND)
            LOGGER.info(
                'upstream avoided no longer',
                extra={
                    'upstream': self.upstream,
                    'cause': 'pause',
                    'seconds': ended.asked_seconds,
                    'age_ms': age_ms,
                },
            )

    def _log(self, cause: str, seconds: float | None) -> None:
        LOGGER.info(
            'upstream avoided',
            extra={
                'upstream': self.upstream,
                'cause': cause,
                'seconds': seconds,
            },
        )
