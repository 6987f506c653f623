"""Bound the bytes that all responses of a process hold together.

Each response has a limit of its own, but an upstream that sends bytes without
end does so to every request that it has. When the sum is too large, the
response that holds the most is ended, so that the others go on.
"""

import typing


class Holder(typing.Protocol):
    """A response that holds bytes until its reader takes them."""

    def exceed(self, limit_bytes: int) -> None:
        """End the response, since all together hold more than the limit."""


class BufferBudget:
    """Bytes that the responses of a process hold, and their limit."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes: dict[Holder, int] = {}
        self.total_bytes = 0
        # Responses ended so far because of the limit.
        self.exceeded_count = 0

    def hold(self, holder: Holder, size: int) -> None:
        """Record how many bytes a response holds now."""
        self.total_bytes += size - self.held_bytes.get(holder, 0)
        self.held_bytes[holder] = size
        while self.total_bytes > self.limit_bytes:
            largest = max(self.held_bytes, key=self.held_bytes.__getitem__)
            self.release(largest)
            self.exceeded_count += 1
            largest.exceed(self.limit_bytes)

    def release(self, holder: Holder) -> None:
        """Record that a response has ended."""
        self.total_bytes -= self.held_bytes.pop(holder, 0)
