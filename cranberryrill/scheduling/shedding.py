"""Select the waiting requests to evict from a full queue."""

from collections import abc

from cranberryrill.scheduling import levels, queues, tickets


def shedding_candidates(
    classes: abc.Iterable[queues.ClassQueue],
    tier: int,
) -> list[tickets.Ticket]:
    """Return the waiting requests that `tier` may evict, in eviction order.

    The lowest tier comes first and within a class the newest request. Each
    class keeps the queue positions of its floor, and a request that has
    started is never evicted.
    """
    lower = [queue for queue in classes if queue.level.tier > tier]
    candidates: list[tickets.Ticket] = []
    for class_queue in sorted(lower, key=lambda queue: -queue.level.tier):
        beyond_floor = class_queue.never_started()[
            class_queue.level.protected_queue_length() :
        ]
        candidates.extend(reversed(beyond_floor))
    return candidates


def lowest_shedding_tier(classes: abc.Collection[queues.ClassQueue]) -> int:
    """Return the lowest-priority tier with a request to evict, 0 if none."""
    tiers = [
        queue.level.tier
        for queue in classes
        if len(queue.never_started()) > queue.level.protected_queue_length()
    ]
    return max(tiers, default=0)


def fair_share_victim(
    class_queue: queues.ClassQueue,
    organisation: str,
    service_levels: levels.ServiceLevels,
) -> tickets.Ticket | None:
    """Return the waiting request to evict for a new one of the same class.

    The organisation with the most waiting requests for its weight loses the
    newest one. None when `organisation` has the most itself or would, with the
    new request, have at least as many for its weight.
    """
    waiting: dict[str, list[tickets.Ticket]] = {}
    for ticket in class_queue.never_started():
        waiting.setdefault(ticket.call.organisation, []).append(ticket)
    requested_share = (
        len(waiting.get(organisation, ())) + 1
    ) / service_levels.weight(organisation)
    largest = max(
        waiting,
        key=lambda name: len(waiting[name]) / service_levels.weight(name),
        default=organisation,
    )
    if (
        largest == organisation
        or len(waiting[largest]) / service_levels.weight(largest)
        <= requested_share
    ):
        return None
    return waiting[largest][-1]
