"""Tier scheduling with a floor per class and fair shares inside it."""

import collections
import math

import result

from cranberryrill.relay import relay_pb2
from cranberryrill.scheduling import (
    decisions,
    levels,
    prediction,
    queues,
    scheduler,
    selection,
    shedding,
    speed,
    tickets,
)

MIN_RETRY_AFTER_SECONDS = 1.0
# A running request counts in the speed measurement from its first token on,
# or after this long without one, so that a stalled upstream shows.
STALL_SECONDS = 1.0


class TierScheduler:
    """Scheduler that orders requests by tier within the floors of classes.

    Inside a class, organisations share the slots by their weighted tokens.
    """

    def __init__(
        self,
        slots: int,
        service_levels: levels.ServiceLevels,
        recorder: decisions.Recorder,
        now: float,
    ) -> None:
        self.slots = slots
        self.service_levels = service_levels
        self.recorder = recorder
        self.classes: dict[str, queues.ClassQueue] = {}
        self.speed_meter = speed.SpeedMeter(now)

    def offer(
        self,
        call: relay_pb2.Call,
        now: float,
    ) -> result.Result[tickets.Ticket, scheduler.Refusal]:
        """Queue or start a request, or return why it is refused.

        Accepting one, or refusing it as too late, may evict waiting requests.
        """
        self._drop_unserved_classes()
        self._update_floor_debts(now)
        class_queue = self._class_queue_for(call, now)
        refusal = self._admit(class_queue, call, now)
        if refusal is not None:
            self._record(decisions.DecisionKind.refused, call, now)
            return result.Err(refusal)
        ticket = tickets.Ticket(call, now)
        class_queue.push(ticket)
        self._record(decisions.DecisionKind.offered, call, now, ticket)
        self._dispatch(now)
        return result.Ok(ticket)

    def requeue(self, ticket: tickets.Ticket, now: float) -> None:
        """Queue a preempted request again after it has stopped running."""
        self._update_floor_debts(now)
        class_queue = self._class_queue_for(ticket.call, now)
        ticket.served_seconds += now - ticket.resumed_at
        ticket.running.clear()
        ticket.preempted.clear()
        class_queue.push_front(ticket)
        class_queue.running.discard(ticket)
        self._record(decisions.DecisionKind.requeued, ticket.call, now, ticket)
        self._dispatch(now)

    def release(self, ticket: tickets.Ticket, now: float) -> None:
        """Remove a running or waiting request and settle its charge.

        Does nothing for an evicted request, which is already removed.
        """
        if ticket.evicted.is_set():
            return
        self._update_floor_debts(now)
        class_queue = self._class_queue_for(ticket.call, now)
        self._observe_output(class_queue, ticket, now)
        if ticket in class_queue.running:
            self._settle_charge(class_queue, ticket, now)
        class_queue.counters.update_base(class_queue.active_organisations())
        class_queue.remove(ticket)
        self._record(decisions.DecisionKind.released, ticket.call, now, ticket)
        self._dispatch(now)

    def observe(self, now: float) -> None:
        """Account for the tokens produced since the last call."""
        produced = 0
        streams = 0
        for class_queue in self.classes.values():
            for ticket in class_queue.running:
                streams += _counts_for_speed(ticket, now)
                produced += self._observe_output(class_queue, ticket, now)
        self.speed_meter.record(produced, streams, now)
        self._update_floor_debts(now)
        # A class may fall behind its floor without any other event.
        self._dispatch(now)

    def load_snapshot(self) -> scheduler.LoadSnapshot:
        """Return the current load of the agent."""
        running: collections.Counter[int] = collections.Counter()
        waiting: collections.Counter[int] = collections.Counter()
        for class_queue in self.classes.values():
            running[class_queue.level.tier] += len(class_queue.running)
            waiting[class_queue.level.tier] += class_queue.waiting_count()
        return scheduler.LoadSnapshot(
            running=+running,
            waiting=+waiting,
            lowest_waiting_tier=shedding.lowest_shedding_tier(
                self.classes.values()
            ),
            seconds_per_token=self.speed_meter.seconds_per_token(),
        )

    def _update_floor_debts(self, now: float) -> None:
        classes = self.classes.values()
        for class_queue in classes:
            slot_wait = selection.slot_wait_seconds(classes, class_queue)
            class_queue.update_floor_debt(self.slots, slot_wait, now)

    def _class_queue_for(
        self,
        call: relay_pb2.Call,
        now: float,
    ) -> queues.ClassQueue:
        level = self.service_levels.level(call)
        class_queue = self.classes.get(level.name)
        if class_queue is None:
            class_queue = queues.ClassQueue(level, now)
            self.classes[level.name] = class_queue
        # The configuration may have changed since the last request.
        class_queue.level = level
        return class_queue

    def _admit(
        self,
        class_queue: queues.ClassQueue,
        call: relay_pb2.Call,
        now: float,
    ) -> scheduler.Refusal | None:
        evictable = shedding.shedding_candidates(
            self.classes.values(), class_queue.level.tier
        )
        predicted_seconds = self._predict_first_token(class_queue, call)
        if predicted_seconds > class_queue.level.first_token_seconds:
            # Lower tiers may not wait beyond their floors while this request is
            # refused.
            for ticket in evictable:
                self._evict(ticket, now)
            return scheduler.TooLate(
                predicted_seconds,
                shedding.lowest_shedding_tier(self.classes.values()),
                _retry_after(
                    predicted_seconds - class_queue.level.first_token_seconds
                ),
            )
        if len(class_queue.never_started()) < class_queue.level.queue_limit:
            return None
        fair_share = shedding.fair_share_victim(
            class_queue, call.organisation, self.service_levels
        )
        victim = evictable[0] if evictable else fair_share
        if victim is None:
            return scheduler.QueueFull(
                class_queue.waiting_count(),
                shedding.lowest_shedding_tier(self.classes.values()),
                _retry_after(class_queue.service_seconds.value),
            )
        self._evict(victim, now)
        return None

    def _predict_first_token(
        self, class_queue: queues.ClassQueue, call: relay_pb2.Call
    ) -> float:
        classes = self.classes.values()
        higher_tiers_ahead = sum(
            queue.waiting_count()
            for queue in classes
            if queue.level.tier < class_queue.level.tier
        )
        organisations = class_queue.active_organisations().union(
            {call.organisation}
        )
        own_waiting = len(class_queue.waiting.get(call.organisation, ())) + 1
        # Organisations take turns, so a request doesn't wait for the whole
        # backlog of another organisation.
        same_class_ahead = min(
            class_queue.waiting_count(), own_waiting * len(organisations) - 1
        )
        ahead = higher_tiers_ahead + same_class_ahead
        if (
            class_queue.occupied_slots()
            < class_queue.entitled_slots(self.slots) - same_class_ahead
        ):
            ahead = 0
        wait = prediction.predict_wait(
            ahead,
            selection.available_slots(
                classes, class_queue.level.tier, self.slots
            ),
            selection.usable_slots(classes, class_queue, self.slots),
            class_queue.service_seconds.value,
        )
        # A slow first token alone is no reason to refuse a request that can
        # start at once: other upstreams may be as slow.
        return wait + class_queue.first_token_seconds.value if wait else 0

    def _dispatch(self, now: float) -> None:
        self._start_waiting(now)
        victim = selection.preemption_victim(self.classes.values(), self.slots)
        while victim is not None:
            victim.preempted.set()
            self._record(
                decisions.DecisionKind.preempted, victim.call, now, victim
            )
            victim = selection.preemption_victim(
                self.classes.values(), self.slots
            )

    def _start_waiting(self, now: float) -> None:
        while self._running_count() < self.slots:
            class_queue = selection.next_class_to_run(
                self.classes.values(), self.slots, now
            )
            if class_queue is None:
                return
            self._start(class_queue, now)

    def _start(self, class_queue: queues.ClassQueue, now: float) -> None:
        ticket = class_queue.pop()
        class_queue.running.add(ticket)
        class_queue.last_started_at = now
        if ticket.started_at is None:
            ticket.started_at = now
            expected = max(class_queue.output_tokens.value, 1)
            class_queue.charge(ticket, expected, self._weight(ticket))
        ticket.resumed_at = now
        ticket.running.set()
        self._record(decisions.DecisionKind.started, ticket.call, now, ticket)

    def _observe_output(
        self,
        class_queue: queues.ClassQueue,
        ticket: tickets.Ticket,
        now: float,
    ) -> int:
        produced = ticket.output.output_tokens
        new_tokens = produced - ticket.observed_tokens
        if new_tokens and not ticket.observed_tokens:
            class_queue.first_token_seconds.add(now - ticket.resumed_at)
        ticket.observed_tokens = produced
        if produced > ticket.charged_tokens:
            class_queue.charge(ticket, produced, self._weight(ticket))
        return new_tokens

    def _settle_charge(
        self,
        class_queue: queues.ClassQueue,
        ticket: tickets.Ticket,
        now: float,
    ) -> None:
        class_queue.service_seconds.add(
            ticket.served_seconds + now - ticket.resumed_at
        )
        if ticket.observed_tokens:
            class_queue.output_tokens.add(ticket.observed_tokens)
            class_queue.charge(
                ticket, ticket.observed_tokens, self._weight(ticket)
            )

    def _evict(self, ticket: tickets.Ticket, now: float) -> None:
        self._class_queue_for(ticket.call, now).remove(ticket)
        ticket.evicted.set()
        self._record(decisions.DecisionKind.evicted, ticket.call, now, ticket)

    def _drop_unserved_classes(self) -> None:
        """Drop idle classes of which no running request has been released."""
        unserved = [
            name
            for name, class_queue in self.classes.items()
            if not selection.demand(class_queue)
            and not class_queue.service_seconds.has_samples
        ]
        for name in unserved:
            del self.classes[name]

    def _running_count(self) -> int:
        return sum(
            len(class_queue.running) for class_queue in self.classes.values()
        )

    def _weight(self, ticket: tickets.Ticket) -> float:
        return self.service_levels.weight(ticket.call.organisation)

    def _record(
        self,
        kind: decisions.DecisionKind,
        call: relay_pb2.Call,
        now: float,
        ticket: tickets.Ticket | None = None,
    ) -> None:
        number = decisions.NO_TICKET if ticket is None else ticket.number
        tier = self.service_levels.level(call).tier
        self.recorder.record(
            decisions.make_decision(kind, call, tier, now, number)
        )


def _retry_after(seconds: float) -> float:
    return math.ceil(max(seconds, MIN_RETRY_AFTER_SECONDS))


def _counts_for_speed(ticket: tickets.Ticket, now: float) -> bool:
    return (
        bool(ticket.observed_tokens) or now > ticket.resumed_at + STALL_SECONDS
    )
