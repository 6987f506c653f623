"""Requests of one class at an agent, queued by organisation."""

import collections
import math
import typing

from cranberryrill.scheduling import counters, levels, prediction, tickets

# A class with waiting requests gets its floor in every period of this length.
FLOOR_PERIOD_SECONDS = 10.0
# A class is entitled to one more slot once its debt exceeds the smaller of two
# limits: this many slot-seconds, and this share of a period's floor with its
# margin.
TOLERATED_DEBT_SLOT_SECONDS = 0.25
TOLERATED_PERIOD_SHARE = 0.2
# A shortfall above this entitles the class to one further slot.
LARGE_SHORTFALL_SLOT_SECONDS = 0.5
# Service is given in whole requests. A class aims above its floor, because a
# period could otherwise fall short by part of a request.
MIN_FLOOR_MARGIN_FACTOR = 1.25
# Largest part of a period that is planned for without a free slot. A class that
# has to wait longer would need more than twice its floor in the rest.
MAX_SLOT_WAIT_SHARE = 0.5


class ClassQueue:
    """Waiting and running requests of one class, and its service history.

    Debt and shortfall are in slot-seconds. They compare the service that a
    class received while it had waiting requests with its floor.
    """

    def __init__(self, level: levels.ServiceLevel, now: float) -> None:
        self.level = level
        self.waiting: dict[str, collections.deque[tickets.Ticket]] = {}
        self.running: set[tickets.Ticket] = set()
        self.counters = counters.VirtualTokenCounters()
        self.last_started_at = now
        # Service that the class lacks compared with its floor and the margin;
        # never negative.
        self.debt = 0.0
        # Service that it lacks compared with the floor itself; negative after
        # extra service.
        self.shortfall = 0.0
        self.debt_updated_at = now
        # Set when the debt exceeds the tolerance, cleared when it reaches 0.
        self.is_behind_floor = False
        self.service_seconds = prediction.MovingAverage()
        self.first_token_seconds = prediction.MovingAverage()
        self.output_tokens = prediction.MovingAverage()

    def active_organisations(self) -> set[str]:
        """Return the organisations with waiting or running requests."""
        running = {ticket.call.organisation for ticket in self.running}
        return running.union(self.waiting)

    def waiting_count(self) -> int:
        """Return how many requests wait, including preempted ones."""
        return sum(len(queue) for queue in self.waiting.values())

    def never_started(self) -> list[tickets.Ticket]:
        """Return the waiting requests that never ran, oldest first."""
        never_ran = [
            ticket for ticket in self._all_waiting() if not ticket.has_started()
        ]
        return sorted(never_ran, key=lambda ticket: ticket.number)

    def occupied_slots(self) -> int:
        """Return how many requests run without being preempted."""
        return sum(not ticket.preempted.is_set() for ticket in self.running)

    def update_floor_debt(
        self, slots: int, slot_wait_seconds: float, now: float
    ) -> None:
        """Update debt and shortfall for the time since the last call.

        Both are reset while nothing waits. `slot_wait_seconds` is how long the
        class may have to wait until a slot is freed for it.
        """
        elapsed = max(now - self.debt_updated_at, 0)
        self.debt_updated_at = now
        if not self.waiting:
            self.debt = 0
            self.shortfall = 0
            self.is_behind_floor = False
            return
        floor_slots = self.level.floor * slots
        limit = floor_slots * FLOOR_PERIOD_SECONDS
        self.shortfall += (floor_slots - len(self.running)) * elapsed
        self.shortfall = min(max(self.shortfall, -limit), limit)
        target_slots = floor_slots * floor_margin_factor(slot_wait_seconds)
        self.debt += (target_slots - len(self.running)) * elapsed
        # Service beyond the target earns no credit: with a credit, a whole
        # period could pass without any service.
        self.debt = min(max(self.debt, 0), target_slots * FLOOR_PERIOD_SECONDS)
        tolerated = min(
            TOLERATED_DEBT_SLOT_SECONDS,
            target_slots * FLOOR_PERIOD_SECONDS * TOLERATED_PERIOD_SHARE,
        )
        if self.debt > tolerated:
            self.is_behind_floor = True
        elif not self.debt:
            self.is_behind_floor = False

    def entitled_slots(self, slots: int) -> int:
        """Return how many of `slots` the class may occupy under its floor."""
        base = math.floor(self.level.floor * slots)
        return (
            base
            + self.is_behind_floor
            + (self.shortfall > LARGE_SHORTFALL_SLOT_SECONDS)
        )

    def push(self, ticket: tickets.Ticket) -> None:
        """Append a new request to the queue of its organisation."""
        self._organisation_queue(ticket).append(ticket)

    def push_front(self, ticket: tickets.Ticket) -> None:
        """Insert a preempted request first in its organisation's queue."""
        self._organisation_queue(ticket).appendleft(ticket)

    def remove(self, ticket: tickets.Ticket) -> None:
        """Remove a waiting or running request."""
        self.running.discard(ticket)
        queue = self.waiting.get(ticket.call.organisation)
        if queue is not None and ticket in queue:
            queue.remove(ticket)
            self._drop_if_empty(ticket.call.organisation)

    def pop(self) -> tickets.Ticket:
        """Remove and return the next request.

        It is the first of the organisation with the lowest counter; ties go
        to the organisation whose first request has the lowest number.
        """
        organisation = min(
            self.waiting,
            key=lambda name: (
                self.counters.value(name),
                self.waiting[name][0].number,
            ),
        )
        ticket = self.waiting[organisation].popleft()
        self._drop_if_empty(organisation)
        return ticket

    def charge(
        self, ticket: tickets.Ticket, tokens: float, weight: float
    ) -> None:
        """Set the total charge of a request to `tokens`."""
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
        for queue in self.waiting.values():
            yield from queue


def floor_margin_factor(slot_wait_seconds: float) -> float:
    """Return how far above its floor a class aims, as a factor.

    A floor takes a slot only when one is freed. When higher tiers hold every
    slot, that may take as long as their requests run, and the rest of the
    period must make up for it.
    """
    wait_share = min(
        slot_wait_seconds / FLOOR_PERIOD_SECONDS, MAX_SLOT_WAIT_SHARE
    )
    return max(1 / (1 - wait_share), MIN_FLOOR_MARGIN_FACTOR)
