"""Choose which class runs next, and which running request makes room."""

from collections import abc

from cranberryrill.scheduling import queues, tickets

# A class without a floor is owed a place after waiting this long, seconds.
STARVATION_SECONDS = 10.0


def next_class_to_run(
    classes: abc.Collection[queues.ClassQueue],
    slots: int,
    now: float,
) -> queues.ClassQueue | None:
    """Return the class that gets the next free place.

    Classes that hold less than their floor go before the others; among
    equals the higher tier goes first.
    """
    waiting = [one for one in classes if one.waiting]
    owed = [one for one in waiting if _is_owed(one, slots, now)]
    return min(
        owed or waiting,
        key=lambda one: (one.level.tier, one.last_started_at),
        default=None,
    )


def preemption_victim(
    classes: abc.Collection[queues.ClassQueue],
    slots: int,
) -> tickets.Ticket | None:
    """Return the running request that makes room next, if one must.

    It is of the lowest tier that runs beyond its floor, started last, can
    be paused, and a request of a higher tier waits that no place which is
    being freed already will take.
    """
    freeing = sum(len(one.running) - one.occupied_slots() for one in classes)
    lowest_first = sorted(classes, key=lambda one: -one.level.tier)
    for one in lowest_first:
        if _waiting_above(classes, one.level.tier) <= freeing:
            continue
        chosen = _newest_beyond_floor(one, slots)
        if chosen is not None:
            return chosen
    return None


def available_slots(
    classes: abc.Collection[queues.ClassQueue],
    tier: int,
    slots: int,
) -> int:
    """Return how many places a request of `tier` finds without waiting."""
    holding = sum(one.occupied_slots() for one in classes)
    pausable = sum(
        min(slots_beyond_floor(one, slots), len(_pausable(one)))
        for one in classes
        if one.level.tier > tier
    )
    return max(slots - holding, 0) + pausable


def usable_slots(
    classes: abc.Collection[queues.ClassQueue],
    own: queues.ClassQueue,
    slots: int,
) -> float:
    """Return how many places a class can hold beside others' floors."""
    kept = sum(
        min(one.level.floor * slots, demand(one))
        for one in classes
        if one is not own
    )
    return max(slots - kept, 1)


def demand(one: queues.ClassQueue) -> int:
    """Return how many requests of a class wait or run."""
    return one.waiting_count() + len(one.running)


def slots_beyond_floor(one: queues.ClassQueue, slots: int) -> int:
    """Return how many places a class holds beyond its floor."""
    return max(one.occupied_slots() - one.entitled_slots(slots), 0)


def _is_owed(one: queues.ClassQueue, slots: int, now: float) -> bool:
    entitled = one.entitled_slots(slots)
    if entitled:
        return one.occupied_slots() < entitled
    idle = not one.running
    return idle and now - one.last_started_at >= STARVATION_SECONDS


def _waiting_above(
    classes: abc.Iterable[queues.ClassQueue],
    tier: int,
) -> int:
    return sum(one.waiting_count() for one in classes if one.level.tier < tier)


def _pausable(one: queues.ClassQueue) -> list[tickets.Ticket]:
    return [
        ticket
        for ticket in one.running
        if ticket.can_pause() and not ticket.preempted.is_set()
    ]


def _newest_beyond_floor(
    one: queues.ClassQueue,
    slots: int,
) -> tickets.Ticket | None:
    if not slots_beyond_floor(one, slots):
        return None
    return max(
        _pausable(one),
        key=lambda ticket: ticket.resumed_at,
        default=None,
    )
