"""Serve by tier, with a floor for each class and shares inside it."""

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

# A caller is told to come back after at least this long, seconds.
MIN_RETRY_AFTER_SECONDS = 1.0
# An answer without a token for this long counts against the upstream's speed.
STALL_SECONDS = 1.0


class TierScheduler:
    """Decide by tier, floor and what each organisation was given."""

    def __init__(
        self,
        slots: int,
        levels: levels.ServiceLevels,
        recorder: decisions.Recorder,
        now: float,
    ) -> None:
        self.slots = slots
        self.levels = levels
        self.recorder = recorder
        self.classes: dict[str, queues.ClassQueue] = {}
        self.speed_meter = speed.SpeedMeter(now)

    def offer(
        self,
        call: relay_pb2.Call,
        now: float,
    ) -> result.Result[tickets.Ticket, scheduler.Refusal]:
        """Take a request, or say why not."""
        self._drop_idle()
        self._update_floor_debts(now)
        own = self._class_of(call, now)
        refusal = self._admit(own, call, now)
        if refusal is not None:
            self._record(decisions.DecisionKind.refused, call, now)
            return result.Err(refusal)
        ticket = tickets.Ticket(call, now)
        own.push(ticket)
        self._record(decisions.DecisionKind.offered, call, now, ticket)
        self._dispatch(now)
        return result.Ok(ticket)

    def requeue(self, ticket: tickets.Ticket, now: float) -> None:
        """Let a request wait again, now that it has stopped running."""
        self._update_floor_debts(now)
        own = self._class_of(ticket.call, now)
        ticket.served_seconds += now - ticket.resumed_at
        ticket.running.clear()
        ticket.preempted.clear()
        own.push_front(ticket)
        own.running.discard(ticket)
        self._record(decisions.DecisionKind.requeued, ticket.call, now, ticket)
        self._dispatch(now)

    def release(self, ticket: tickets.Ticket, now: float) -> None:
        """Give a place back, whether it ran or still waited."""
        if ticket.evicted.is_set():
            return
        self._update_floor_debts(now)
        own = self._class_of(ticket.call, now)
        self._observe_output(own, ticket, now)
        if ticket in own.running:
            self._settle_charge(own, ticket, now)
        own.counters.update_base(own.active_organisations())
        own.remove(ticket)
        self._record(decisions.DecisionKind.released, ticket.call, now, ticket)
        self._dispatch(now)

    def observe(self, now: float) -> None:
        """Take account of the tokens produced since the last time."""
        produced = 0
        streams = 0
        for own in self.classes.values():
            for ticket in own.running:
                streams += _counts_for_speed(ticket, now)
                produced += self._observe_output(own, ticket, now)
        self.speed_meter.record(produced, streams, now)
        self._update_floor_debts(now)
        # Time alone may leave a class behind its floor.
        self._dispatch(now)

    def load_snapshot(self) -> scheduler.LoadSnapshot:
        """Return how busy the agent is."""
        running: collections.Counter[int] = collections.Counter()
        waiting: collections.Counter[int] = collections.Counter()
        for own in self.classes.values():
            running[own.level.tier] += len(own.running)
            waiting[own.level.tier] += own.waiting_count()
        return scheduler.LoadSnapshot(
            running=+running,
            waiting=+waiting,
            lowest_waiting_tier=shedding.lowest_shedding_tier(
                self.classes.values()
            ),
            seconds_per_token=self.speed_meter.seconds_per_token(),
        )

    def _update_floor_debts(self, now: float) -> None:
        for own in self.classes.values():
            own.update_floor_debt(self.slots, now)

    def _class_of(
        self,
        call: relay_pb2.Call,
        now: float,
    ) -> queues.ClassQueue:
        level = self.levels.level(call)
        own = self.classes.get(level.name)
        if own is None:
            own = queues.ClassQueue(level, now)
            self.classes[level.name] = own
        # The configuration may have changed since.
        own.level = level
        return own

    def _admit(
        self,
        own: queues.ClassQueue,
        call: relay_pb2.Call,
        now: float,
    ) -> scheduler.Refusal | None:
        lower = shedding.shedding_candidates(
            self.classes.values(), own.level.tier
        )
        predicted = self._predict(own, call)
        if predicted > own.level.first_token_seconds:
            # Nothing lower may go on waiting while this one is sent away.
            for ticket in lower:
                self._evict(ticket, now)
            return scheduler.TooLate(
                predicted,
                shedding.lowest_shedding_tier(self.classes.values()),
                _retry_after(predicted - own.level.first_token_seconds),
            )
        if len(own.never_started()) < own.level.queue_limit:
            return None
        greedy = shedding.fair_share_victim(own, call.organisation, self.levels)
        giving_way = lower[0] if lower else greedy
        if giving_way is None:
            return scheduler.QueueFull(
                own.waiting_count(),
                shedding.lowest_shedding_tier(self.classes.values()),
                _retry_after(own.service_seconds.value),
            )
        self._evict(giving_way, now)
        return None

    def _predict(self, own: queues.ClassQueue, call: relay_pb2.Call) -> float:
        classes = self.classes.values()
        higher = sum(
            one.waiting_count()
            for one in classes
            if one.level.tier < own.level.tier
        )
        names = own.active_organisations().union({call.organisation})
        mine = len(own.waiting.get(call.organisation, ())) + 1
        # Organisations take turns: nobody waits behind a neighbour's crowd.
        beside = min(own.waiting_count(), mine * len(names) - 1)
        ahead = higher + beside
        if own.occupied_slots() < own.entitled_slots(self.slots) - beside:
            ahead = 0
        wait = prediction.predict_wait(
            ahead,
            selection.available_slots(classes, own.level.tier, self.slots),
            selection.usable_slots(classes, own, self.slots),
            own.service_seconds.value,
        )
        # A slow upstream alone is no reason: others may be no better.
        return wait + own.first_token_seconds.value if wait else 0

    def _dispatch(self, now: float) -> None:
        self._start_waiting(now)
        chosen = selection.preemption_victim(self.classes.values(), self.slots)
        while chosen is not None:
            chosen.preempted.set()
            self._record(
                decisions.DecisionKind.preempted, chosen.call, now, chosen
            )
            chosen = selection.preemption_victim(
                self.classes.values(), self.slots
            )

    def _start_waiting(self, now: float) -> None:
        while self._running_count() < self.slots:
            own = selection.next_class_to_run(
                self.classes.values(), self.slots, now
            )
            if own is None:
                return
            self._start(own, now)

    def _start(self, own: queues.ClassQueue, now: float) -> None:
        ticket = own.pop()
        own.running.add(ticket)
        own.last_started_at = now
        if ticket.started_at is None:
            ticket.started_at = now
            expected = max(own.output_tokens.value, 1)
            own.charge(ticket, expected, self._weight(ticket))
        ticket.resumed_at = now
        ticket.running.set()
        self._record(decisions.DecisionKind.started, ticket.call, now, ticket)

    def _observe_output(
        self,
        own: queues.ClassQueue,
        ticket: tickets.Ticket,
        now: float,
    ) -> int:
        produced = ticket.output.output_tokens
        fresh = produced - ticket.observed_tokens
        if fresh and not ticket.observed_tokens:
            own.first_token_seconds.add(now - ticket.resumed_at)
        ticket.observed_tokens = produced
        if produced > ticket.charged_tokens:
            own.charge(ticket, produced, self._weight(ticket))
        return fresh

    def _settle_charge(
        self,
        own: queues.ClassQueue,
        ticket: tickets.Ticket,
        now: float,
    ) -> None:
        own.service_seconds.add(ticket.served_seconds + now - ticket.resumed_at)
        if ticket.observed_tokens:
            own.output_tokens.add(ticket.observed_tokens)
            own.charge(ticket, ticket.observed_tokens, self._weight(ticket))

    def _evict(self, ticket: tickets.Ticket, now: float) -> None:
        self._class_of(ticket.call, now).remove(ticket)
        ticket.evicted.set()
        self._record(decisions.DecisionKind.evicted, ticket.call, now, ticket)

    def _drop_idle(self) -> None:
        gone = [
            name
            for name, own in self.classes.items()
            if not selection.demand(own) and not own.service_seconds.has_samples
        ]
        for name in gone:
            del self.classes[name]

    def _running_count(self) -> int:
        return sum(len(own.running) for own in self.classes.values())

    def _weight(self, ticket: tickets.Ticket) -> float:
        return self.levels.weight(ticket.call.organisation)

    def _record(
        self,
        kind: decisions.DecisionKind,
        call: relay_pb2.Call,
        now: float,
        ticket: tickets.Ticket | None = None,
    ) -> None:
        number = decisions.NO_TICKET if ticket is None else ticket.number
        tier = self.levels.level(call).tier
        self.recorder.record(
            decisions.make_decision(kind, call, tier, now, number)
        )


def _retry_after(seconds: float) -> float:
    return math.ceil(max(seconds, MIN_RETRY_AFTER_SECONDS))


def _counts_for_speed(ticket: tickets.Ticket, now: float) -> bool:
    return (
        bool(ticket.observed_tokens) or now > ticket.resumed_at + STALL_SECONDS
    )
