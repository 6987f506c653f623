"""Select the class to run next and the running request to preempt."""

import math
from collections import abc

from cranberryrill.scheduling import queues, tickets

# A class that is entitled to no slot gets the next one when it runs nothing
# and has started no request for this long.
STARVATION_SECONDS = 10.0


def next_class_to_run(
    classes: abc.Collection[queues.ClassQueue],
    slots: int,
    now: float,
) -> queues.ClassQueue | None:
    """Return the class that gets the next free slot, None if none waits.

    Classes that occupy fewer slots than they are entitled to go first, then
    higher tiers, then the class whose last start is the oldest.
    """
    waiting = [queue for queue in classes if queue.waiting]
    below = [
        queue for queue in waiting if _is_below_entitlement(queue, slots, now)
    ]
    return min(
        below or waiting,
        key=lambda queue: (queue.level.tier, queue.last_started_at),
        default=None,
    )


def preemption_victim(
    classes: abc.Collection[queues.ClassQueue],
    slots: int,
) -> tickets.Ticket | None:
    """Return the running request to preempt next, None if none.

    The victim is the most recently started request that can be paused, in the
    lowest tier that occupies slots beyond its floor. It is preempted only for
    a waiting request of a higher tier for which no slot is being freed
    already.
    """
    freeing = sum(
        len(queue.running) - queue.occupied_slots() for queue in classes
    )
    lowest_first = sorted(classes, key=lambda queue: -queue.level.tier)
    for class_queue in lowest_first:
        if _waiting_above(classes, class_queue.level.tier) <= freeing:
            continue
        ticket = _newest_beyond_floor(class_queue, slots)
        if ticket is not None:
            return ticket
    return None


def available_slots(
    classes: abc.Collection[queues.ClassQueue],
    tier: int,
    slots: int,
) -> int:
    """Return how many slots are free for `tier` or can be preempted."""
    occupied = sum(queue.occupied_slots() for queue in classes)
    pausable = sum(
        min(slots_beyond_floor(queue, slots), len(_pausable(queue)))
        for queue in classes
        if queue.level.tier > tier
    )
    return max(slots - occupied, 0) + pausable


def usable_slots(
    classes: abc.Collection[queues.ClassQueue],
    class_queue: queues.ClassQueue,
    slots: int,
) -> float:
    """Return how many slots the floors of other classes leave to a class.

    It is at least 1.
    """
    reserved = sum(
        min(queue.level.floor * slots, demand(queue))
        for queue in classes
        if queue is not class_queue
    )
    return max(slots - reserved, 1)


def demand(class_queue: queues.ClassQueue) -> int:
    """Return how many requests of a class wait or run."""
    return class_queue.waiting_count() + len(class_queue.running)


def slot_wait_seconds(
    classes: abc.Iterable[queues.ClassQueue],
    class_queue: queues.ClassQueue,
) -> float:
    """Return how long higher tiers may hold every slot, in seconds.

    This is the longest average service time of a higher tier with running
    requests, as they are never preempted for the class. It is infinite while
    none of a tier's requests has ended, since they may run for any time.
    """
    return max(
        (
            queue.service_seconds.value
            if queue.service_seconds.has_samples
            else math.inf
            for queue in classes
            if queue.level.tier < class_queue.level.tier and queue.running
        ),
        default=0,
    )


def slots_beyond_floor(class_queue: queues.ClassQueue, slots: int) -> int:
    """Return how many slots a class occupies beyond its entitlement."""
    return max(
        class_queue.occupied_slots() - class_queue.entitled_slots(slots), 0
    )


def _is_below_entitlement(
    class_queue: queues.ClassQueue, slots: int, now: float
) -> bool:
    entitled = class_queue.entitled_slots(slots)
    if entitled:
        return class_queue.occupied_slots() < entitled
    idle = not class_queue.running
    return idle and now - class_queue.last_started_at >= STARVATION_SECONDS


def _waiting_above(
    classes: abc.Iterable[queues.ClassQueue],
    tier: int,
) -> int:
    return sum(
        queue.waiting_count() for queue in classes if queue.level.tier < tier
    )


def _pausable(class_queue: queues.ClassQueue) -> list[tickets.Ticket]:
    return [
        ticket
        for ticket in class_queue.running
        if ticket.can_pause() and not ticket.preempted.is_set()
    ]


def _newest_beyond_floor(
    class_queue: queues.ClassQueue,
    slots: int,
) -> tickets.Ticket | None:
    if not slots_beyond_floor(class_queue, slots):
        return None
    return max(
        _pausable(class_queue),
        key=lambda ticket: ticket.resumed_at,
        default=None,
    )
