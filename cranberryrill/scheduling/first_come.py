"""First-come, first-served scheduling: the baseline for comparisons."""

import collections

import result

from cranberryrill.relay import relay_pb2
from cranberryrill.scheduling import decisions, scheduler, tickets


class FirstComeScheduler:
    """Run requests in order of arrival within the upstream's slots."""

    def __init__(
        self,
        slots: int,
        queue_limit: int,
        recorder: decisions.Recorder,
    ) -> None:
        self.slots = slots
        self.queue_limit = queue_limit
        self.recorder = recorder
        self.running: set[tickets.Ticket] = set()
        self.waiting: collections.deque[tickets.Ticket] = collections.deque()

    def offer(
        self,
        call: relay_pb2.Call,
        now: float,
    ) -> result.Result[tickets.Ticket, scheduler.Refusal]:
        """Queue or start a request; return QueueFull when the queue is full."""
        if len(self.waiting) >= self.queue_limit:
            self._record(decisions.DecisionKind.refused, call, now)
            lowest = self.load_snapshot().lowest_waiting_tier
            queue_full = scheduler.QueueFull(len(self.waiting), lowest)
            return result.Err(queue_full)
        ticket = tickets.Ticket(call, now)
        self.waiting.append(ticket)
        self._record(decisions.DecisionKind.offered, call, now, ticket.number)
        self._start_next(now)
        return result.Ok(ticket)

    def requeue(self, ticket: tickets.Ticket, now: float) -> None:
        """Return a request to the front; this policy never preempts."""
        self.running.discard(ticket)
        ticket.running.clear()
        self.waiting.appendleft(ticket)
        self._start_next(now)

    def release(self, ticket: tickets.Ticket, now: float) -> None:
        """Remove a running or waiting request and start the next."""
        self.running.discard(ticket)
        if ticket in self.waiting:
            self.waiting.remove(ticket)
        self._record(
            decisions.DecisionKind.released, ticket.call, now, ticket.number
        )
        self._start_next(now)

    def observe(self, now: float) -> None:
        """Do nothing: the order depends on arrival alone."""

    def load_snapshot(self) -> scheduler.LoadSnapshot:
        """Return the number of running and waiting requests by tier."""
        waiting = collections.Counter(
            ticket.call.tier for ticket in self.waiting
        )
        return scheduler.LoadSnapshot(
            running=collections.Counter(
                ticket.call.tier for ticket in self.running
            ),
            waiting=waiting,
            lowest_waiting_tier=max(waiting, default=0),
        )

    def _start_next(self, now: float) -> None:
        while self.waiting and len(self.running) < self.slots:
            ticket = self.waiting.popleft()
            self.running.add(ticket)
            ticket.started_at = now
            ticket.running.set()
            self._record(
                decisions.DecisionKind.started, ticket.call, now, ticket.number
            )

    def _record(
        self,
        kind: decisions.DecisionKind,
        call: relay_pb2.Call,
        now: float,
        number: int = decisions.NO_TICKET,
    ) -> None:
        decision = decisions.make_decision(kind, call, call.tier, now, number)
        self.recorder.record(decision)
