"""Hold the requests of one class at an agent, by organisation."""

import collections
import math
import typing

from cranberryrill.scheduling import counters, levels, prediction, tickets

# Each class gets its floor in every period of so many seconds.
FLOOR_PERIOD_SECONDS = 10.0
# A class that is this far behind its floor, in place-seconds, is owed more,
# and never later than after this part of the period.
TOLERATED_DEBT_SLOT_SECONDS = 0.25
TOLERATED_PERIOD_SHARE = 0.2
# Further behind, it is owed one place more.
LARGE_SHORTFALL_SLOT_SECONDS = 1.0
# Service comes in pieces: a little more is given, so that no period falls
# short by the part of a piece.
FLOOR_MARGIN_FACTOR = 1.25


class ClassQueue:
    """Keep what waits and runs of one class."""

    def __init__(self, level: levels.ServiceLevel, now: float) -> None:
        self.level = level
        self.waiting: dict[str, collections.deque[tickets.Ticket]] = {}
        self.running: set[tickets.Ticket] = set()
        self.counters = counters.VirtualTokenCounters()
        self.last_started_at = now
        # Place-seconds that it lacks to its floor since it began to wait.
        self.debt = 0.0
        # The same without the margin; service beyond the floor counts.
        self.shortfall = 0.0
        self.debt_updated_at = now
        # Set when it falls behind its floor, until it has caught up.
        self.is_behind_floor = False
        self.service_seconds = prediction.MovingAverage()
        self.first_token_seconds = prediction.MovingAverage()
        self.output_tokens = prediction.MovingAverage()

    def active_organisations(self) -> set[str]:
        """Return the organisations with anything waiting or running."""
        running = {ticket.call.organisation for ticket in self.running}
        return running.union(self.waiting)

    def waiting_count(self) -> int:
        """Return how many wait, those that were paused too."""
        return sum(len(line) for line in self.waiting.values())

    def never_started(self) -> list[tickets.Ticket]:
        """Return those that wait and never ran, oldest first."""
        found = [one for one in self._all_waiting() if not one.has_started()]
        return sorted(found, key=lambda ticket: ticket.number)

    def occupied_slots(self) -> int:
        """Return how many run and have not been told to stop."""
        return sum(not one.preempted.is_set() for one in self.running)

    def update_floor_debt(self, slots: int, now: float) -> None:
        """Count what the class has had of its floor until `now`."""
        elapsed = max(now - self.debt_updated_at, 0)
        self.debt_updated_at = now
        if not self.waiting:
            self.debt = 0
            self.shortfall = 0
            self.is_behind_floor = False
            return
        exact = self.level.floor * slots
        longest = exact * FLOOR_PERIOD_SECONDS
        self.shortfall += (exact - len(self.running)) * elapsed
        self.shortfall = min(max(self.shortfall, -longest), longest)
        floor = exact * FLOOR_MARGIN_FACTOR
        self.debt += (floor - len(self.running)) * elapsed
        # Service beyond the floor earns no credit: it would let a whole
        # period pass without any.
        self.debt = min(max(self.debt, 0), floor * FLOOR_PERIOD_SECONDS)
        tolerated = min(
            TOLERATED_DEBT_SLOT_SECONDS,
            floor * FLOOR_PERIOD_SECONDS * TOLERATED_PERIOD_SHARE,
        )
        if self.debt > tolerated:
            self.is_behind_floor = True
        elif not self.debt:
            self.is_behind_floor = False

    def entitled_slots(self, slots: int) -> int:
        """Return how many places it holds before it is beyond its floor."""
        kept = math.floor(self.level.floor * slots)
        return (
            kept
            + self.is_behind_floor
            + (self.shortfall > LARGE_SHORTFALL_SLOT_SECONDS)
        )

    def push(self, ticket: tickets.Ticket) -> None:
        """Let a new request wait behind its organisation's others."""
        self._organisation_queue(ticket).append(ticket)

    def push_front(self, ticket: tickets.Ticket) -> None:
        """Let a paused request wait before its organisation's others."""
        self._organisation_queue(ticket).appendleft(ticket)

    def remove(self, ticket: tickets.Ticket) -> None:
        """Forget a request, whether it waits or runs."""
        self.running.discard(ticket)
        line = self.waiting.get(ticket.call.organisation)
        if line is not None and ticket in line:
            line.remove(ticket)
            self._drop_if_empty(ticket.call.organisation)

    def pop(self) -> tickets.Ticket:
        """Take the next request: of the organisation that had the least."""
        name = min(
            self.waiting,
            key=lambda one: (
                self.counters.value(one),
                self.waiting[one][0].number,
            ),
        )
        ticket = self.waiting[name].popleft()
        self._drop_if_empty(name)
        return ticket

    def charge(
        self, ticket: tickets.Ticket, tokens: float, weight: float
    ) -> None:
        """Count `tokens` in all for a request, instead of before."""
        organisation = ticket.call.organisation
        self.counters.charge(
            organisation, tokens - ticket.charged_tokens, weight
        )
        ticket.charged_tokens = tokens

    def _organisation_queue(
        self, ticket: tickets.Ticket
    ) -> collections.deque[tickets.Ticket]:
        organisation = ticket.call.organisation
        if organisation not in self.active_organisations():
            self.counters.activate(organisation, self.active_organisations())
        return self.waiting.setdefault(organisation, collections.deque())

    def _drop_if_empty(self, organisation: str) -> None:
        if not self.waiting[organisation]:
            del self.waiting[organisation]

    def _all_waiting(self) -> typing.Iterator[tickets.Ticket]:
        for line in self.waiting.values():
            yield from line
