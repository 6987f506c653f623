"""Send requests to plain services while their upstreams have free places.

An upstream has as many places as slots, and one more for a request that is on
its way or waits there, so that no slot stands idle. Entries act at the same
time and learn of each other a little later. Each may reuse most of the places
that its own requests leave, and takes only its part of the others. One that has
sent less than its part of what the service handles may send although no place
is free: others take free places before it learns of them.
"""

import dataclasses
import math
import random
from collections import abc

from cranberryrill.forwarding import request_queue
from cranberryrill.queueing import capacity, waiting

PERIOD_SECONDS = 0.01
WAITING_PER_UPSTREAM = 1
# Loads of other entries are known after about this time (a push period, and
# half a period here).
NEWS_DELAY_SECONDS = 0.06
# Part of a place left by an own request that this entry may use again; what
# remains moves between entries, to where requests wait.
REUSED_SHARE = 0.9
# An entry may send a small burst at once if places are free.
MAX_CREDIT = 3.0
MAX_OWED = 1.0
# Time that a request is assumed to take, which counts as much as that of the
# given number of measured requests.
ASSUMED_SERVICE_SECONDS = 0.1
ASSUMED_REQUESTS = 5
# Measurements count half after so many more requests.
MEASURED_REQUESTS = 200
# Ends of requests are noticed only when the state is read; after a longer time
# they say nothing about durations.
MAX_MEASURED_SECONDS = 0.03


@dataclasses.dataclass(frozen=True)
class Place:
    """Load of one upstream, in requests."""

    slots: int
    own: int
    others: float

    @property
    def room(self) -> float:
        """Return how many more requests may be sent; below 0 if too full."""
        return self.slots + WAITING_PER_UPSTREAM - self.own - self.others


@dataclasses.dataclass(frozen=True)
class PlaceState:
    """Open requests of this process, and who sends to the same upstreams."""

    own_open: int
    upstreams: int
    slots: int
    # Entries with open requests, this one included.
    entries: int
    # Part of the capacity that this process may use; 1 while it knows the
    # loads of all entries.
    share: float = 1.0


class PlaceCapacity:
    """Capacity of one plain service; implements capacity.Capacity.

    `read_places` returns the upstreams that a request may be sent to; None if
    there are none for which it could wait.
    """

    period_seconds = PERIOD_SECONDS

    def __init__(
        self,
        read_state: abc.Callable[[float], PlaceState],
        read_places: abc.Callable[
            [waiting.WaitingRequest, float], abc.Sequence[Place] | None
        ],
        rng: random.Random,
    ) -> None:
        self.read_state = read_state
        self.read_places = read_places
        self.state = PlaceState(0, 1, 1, 1)
        # Requests that were sent since the state was read.
        self.sent = 0
        # Places that this entry may take although few are free.
        self.credit = MAX_CREDIT
        self.rng = rng
        self.free_part = 0.0
        self.max_credit = MAX_CREDIT
        # Requests by which this entry has sent less than its part.
        self.owed = 0.0
        self.read_at = -math.inf
        # Time for which requests were open, summed, and how many ended.
        self.open_seconds = ASSUMED_REQUESTS * ASSUMED_SERVICE_SECONDS
        self.ended = float(ASSUMED_REQUESTS)

    @property
    def service_seconds(self) -> float:
        """Return how long an upstream takes for a request."""
        return self.open_seconds / self.ended

    def start_round(self, now: float) -> int:
        """Read the present state; return how many requests may be sent."""
        state = self.read_state(now)
        ended = max(self.state.own_open + self.sent - state.own_open, 0)
        elapsed = max(now - self.read_at, 0)
        gained = self.free_part * min(elapsed / NEWS_DELAY_SECONDS, 1)
        gained += ended * REUSED_SHARE
        self.credit = min(self.credit + gained, self.max_credit)
        self._measure(ended, elapsed)
        self.state = state
        self.sent = 0
        self.read_at = now
        return request_queue.MAX_EXAMINED_REQUESTS

    def examined_requests(self) -> int:
        """Return how many verdicts are affordable in one round."""
        return request_queue.examined_requests(self.state.upstreams)

    def verdict(
        self, request: waiting.WaitingRequest, now: float
    ) -> capacity.Verdict:
        """Return whether there is a place that this entry may take."""
        places = self.read_places(request, now)
        if places is None:
            return capacity.Verdict.send
        if self._may_take(places):
            return capacity.Verdict.send
        if self.credit >= 1:
            # Entries that wait for a place must not all take the next one.
            self.credit = self.rng.random()
        return capacity.Verdict.wait

    def record_sent(self, request: waiting.WaitingRequest) -> None:
        """Record that a place is taken."""
        self.sent += 1
        self.credit = max(self.credit - 1, 0)
        self.owed = max(self.owed - 1, 0)

    def assumed_rate(self) -> float:
        """Return the places a second of one entry's part."""
        slots = self.state.slots / max(self.state.entries, 1)
        return slots / self.service_seconds

    def _measure(self, ended: int, elapsed: float) -> None:
        """Measure durations by how many are open and how many of them end.

        Also counts what the entry may send as its part of the service.
        """
        if elapsed > MAX_MEASURED_SECONDS:
            # Nothing has waited; entries that saved up would send together.
            self.owed = 0
            return
        self.owed = min(self.owed + self.assumed_rate() * elapsed, MAX_OWED)
        self.open_seconds += (self.state.own_open + self.sent) * elapsed
        self.ended += ended
        if self.ended > MEASURED_REQUESTS:
            self.ended /= 2
            self.open_seconds /= 2

    def _may_take(self, places: abc.Sequence[Place]) -> bool:
        if self.state.share < 1:
            # Others may use the rest unseen.
            own_part = max(self.state.slots * self.state.share, 1)
            if self.state.own_open + self.sent + 1 > own_part:
                return False
        room = sum(max(place.room, 0) for place in places)
        self.free_part = room / max(self.state.entries, 1)
        self.max_credit = max(self.free_part, MAX_CREDIT)
        if self.state.entries <= 1:
            # What is known of the places is exact.
            return room >= 1
        if room >= 1 and self.credit >= 1:
            return True
        # Up to one more at each upstream, on average.
        excess = -sum(place.room for place in places)
        return self.owed >= 1 and excess < len(places)
