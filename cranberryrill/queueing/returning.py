"""Recognise callers that come back after a refusal.

A retry has a new attempt id. It is recognised by what stays the same: method,
target, organisation, and the length and both ends of the body. If two requests
agree in these, a new one may go before others of its own organisation.
"""

import collections

import xxhash

from cranberryrill.forwarding import admission

# Callers come back after the delay that they were told, or not at all.
KEPT_SECONDS = 6.0
MAX_KEPT = 4096
# Part of each end of the body that is read.
READ_BYTES = 1024
Key = tuple[str, int, int]


def key_of(admitted: admission.Admitted) -> Key:
    """Return the key that a request shares with its retries."""
    body = admitted.request.body
    ends = xxhash.xxh64(body[:READ_BYTES])
    ends.update(body[-READ_BYTES:])
    return (admitted.head_key, len(body), ends.intdigest())


class RefusedCallers:
    """Refused requests of the last seconds, oldest first."""

    def __init__(self) -> None:
        self.refused_at: collections.OrderedDict[Key, float] = (
            collections.OrderedDict()
        )

    def record(self, key: Key, now: float) -> None:
        """Record a refusal."""
        self.refused_at[key] = now
        self.refused_at.move_to_end(key)
        self._forget_old(now)

    def take(self, key: Key, now: float) -> bool:
        """Return whether a request is a retry, and forget its refusal."""
        refused_at = self.refused_at.pop(key, None)
        return refused_at is not None and now < refused_at + KEPT_SECONDS

    def _forget_old(self, now: float) -> None:
        while self.refused_at:
            key, refused_at = next(iter(self.refused_at.items()))
            is_old = now >= refused_at + KEPT_SECONDS
            if not is_old and len(self.refused_at) <= MAX_KEPT:
                return
            del self.refused_at[key]
