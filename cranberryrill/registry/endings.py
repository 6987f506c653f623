"""Which incarnations of an upstream an announced end covers.

The announcement names the upstream, but not the incarnation. It covers each one
that started before it arrived, also one whose first heartbeat is on its way. An
incarnation that starts later registers at once.

An upstream that did not say before that it leaves serves for the drain time
after the acknowledgement, so that no incarnation starts within this time. The
latest start that is covered lies in it, which leaves room for the error of the
clocks that it is derived from. One that has drained may start again at once.
"""

import enum
import statistics
from collections import abc

from cranberryrill.registry import records, registry_pb2, timing

# Part of the drain time in which a first heartbeat is that of an incarnation
# that ended, whatever its start. Members learn of an end later than the
# upstream at times.
CERTAIN_SHARE = 0.75
# Starts of other upstreams from which the time by their clocks is derived.
MIN_STARTS = 3


class Effect(enum.Enum):
    """What a heartbeat for an upstream that has ended does."""

    # It registers an incarnation that started later, or was ended by mistake.
    registers = 'registers'
    # It tells of an incarnation that the end covers.
    covered = 'covered'
    ignored = 'ignored'


def earliest_time_ms(
    known: abc.Mapping[str, records.Record], upstream: str, now: float
) -> float | None:
    """Return a lower bound of the time by the clock of an upstream.

    An incarnation has run at least since its first heartbeat was received.
    Without one of this upstream, the median of the others is returned, or None
    if there are too few. In Unix milliseconds.
    """
    own = known.get(upstream)
    if own is not None and own.first_heard_at is not None:
        return own.time_ms(own.first_heard_at, now)
    times = [
        record.time_ms(record.first_heard_at, now)
        for record in known.values()
        if record.first_heard_at is not None
    ]
    return statistics.median(times) if len(times) >= MIN_STARTS else None


def covered_until_ms(
    earliest_ms: float | None, clock_ms: float, drain_ms: float
) -> int:
    """Return the latest start that an end covers, in Unix milliseconds.

    No incarnation starts for `drain_ms` after the arrival of the announcement.
    `clock_ms` is the time of its arrival by the clock of this member.
    `earliest_ms` is a lower bound of that time by the clock of the upstream,
    derived from starts; None if no start is known. The result lies in the
    middle of the times that both allow.
    """
    if earliest_ms is None:
        return int(clock_ms + drain_ms / 2)
    ahead_ms = min(max(clock_ms - earliest_ms, 0), drain_ms)
    return int(earliest_ms + (ahead_ms + drain_ms) / 2)


def effect_of(
    ended: records.Record,
    heartbeat: registry_pb2.Registration,
    now: float,
    drain_seconds: float,
) -> Effect:
    """Return what a heartbeat for the upstream of a removed record does."""
    started = heartbeat.started_unix_ms
    if started > ended.ended_until_ms:
        certain_until = ended.updated_at + CERTAIN_SHARE * drain_seconds
        serves_on = ended.covered_until_ms and not ended.registration.leaving
        if serves_on and now < certain_until:
            return Effect.covered
        return Effect.registers
    if not ended.covered_until_ms:
        return Effect.ignored
    if started > ended.started_unix_ms:
        return Effect.covered
    lasts = now >= ended.updated_at + timing.RETURN_SECONDS
    if lasts and has_returned(ended.registration, heartbeat):
        return Effect.registers
    return Effect.ignored


def is_news(
    current: records.Record,
    registration: registry_pb2.Registration,
    covered_ms: int,
    ended_at: float,
) -> bool:
    """Return whether an end adds anything to the record of its upstream."""
    ended_until_ms = max(covered_ms, registration.started_unix_ms)
    if current.removed:
        # Of two heartbeats, members agree on the earlier one.
        return (
            ended_until_ms,
            registration.started_unix_ms,
            current.registration.sequence,
        ) > (
            current.ended_until_ms,
            current.started_unix_ms,
            registration.sequence,
        )
    if current.started_unix_ms > ended_until_ms:
        return False
    if covered_ms and covered_ms <= current.covered_until_ms:
        return False
    lasts = current.updated_at >= ended_at + timing.RETURN_SECONDS
    return not (lasts and has_returned(registration, current.registration))


def has_returned(
    ended: registry_pb2.Registration, heartbeat: registry_pb2.Registration
) -> bool:
    """Return whether an incarnation goes on after the end that it announced.

    `ended` is its newest heartbeat that was known when it ended, or the first
    one that arrived after that.
    """
    return (
        heartbeat.started_unix_ms == ended.started_unix_ms
        and heartbeat.sequence > ended.sequence + timing.RETURN_HEARTBEATS
    )
