"""Choose which waiting request loses its place to another."""

from collections import abc

from cranberryrill.scheduling import levels, queues, tickets


def shedding_candidates(
    classes: abc.Iterable[queues.ClassQueue],
    tier: int,
) -> list[tickets.Ticket]:
    """Return who makes room for `tier`, in that order.

    The lowest tier goes first and the newest within it; each class keeps
    the places of its floor, and whoever ran already is never shed.
    """
    lower = [one for one in classes if one.level.tier > tier]
    found: list[tickets.Ticket] = []
    for one in sorted(lower, key=lambda queue: -queue.level.tier):
        beyond = one.never_started()[one.level.protected_queue_length() :]
        found.extend(reversed(beyond))
    return found


def lowest_shedding_tier(classes: abc.Collection[queues.ClassQueue]) -> int:
    """Return the lowest-priority tier that makes room; 0 when none does."""
    shedding = [
        one.level.tier
        for one in classes
        if len(one.never_started()) > one.level.protected_queue_length()
    ]
    return max(shedding, default=0)


def fair_share_victim(
    own: queues.ClassQueue,
    organisation: str,
    told: levels.ServiceLevels,
) -> tickets.Ticket | None:
    """Return whose place a request of the same class takes, if anyone's.

    The organisation with most waiting for its weight gives up its newest,
    but only to one that would still have less than it.
    """
    waiting: dict[str, list[tickets.Ticket]] = {}
    for ticket in own.never_started():
        waiting.setdefault(ticket.call.organisation, []).append(ticket)
    mine = (len(waiting.get(organisation, ())) + 1) / told.weight(organisation)
    most = max(
        waiting,
        key=lambda name: len(waiting[name]) / told.weight(name),
        default=organisation,
    )
    if most == organisation or len(waiting[most]) / told.weight(most) <= mine:
        return None
    return waiting[most][-1]
