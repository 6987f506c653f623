"""Readiness of an entry, and the set of its open requests."""

from cranberryrill import open_requests


class Readiness(open_requests.OpenRequests):
    """State of an entry through its planned shutdown.

    The entry first becomes unready, then refuses new requests, and stops once
    `idle` is set.
    """

    def __init__(self) -> None:
        super().__init__()
        # The readiness check fails, so that the load balancer sends no more
        # requests.
        self.unready = False
        # New requests are refused.
        self.stopping = False
