"""Which incarnations of an upstream an announced end covers.

The announcement names the upstream, but not the incarnation. It covers each one
that started before it arrived, also one whose first heartbeat is on its way. An
incarnation that starts later registers at once.

An upstream that did not say before that it leaves serves for the drain time
after the acknowledgement, so that no incarnation starts within this time. The
latest start that is covered lies in it, which leaves room for the error of the
clocks that it is derived from. One that has drained may start again at once.
"""

import dataclasses
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


@dataclasses.dataclass(frozen=True)
class Arrival:
    """When an announcement arrived, by the clock of its upstream.

    A range, in Unix milliseconds.
    """

    earliest_ms: float
    latest_ms: float

    def covered_until_ms(self, drain_ms: float) -> int:
        """Return the latest start that the end covers, in Unix milliseconds.

        It lies in the middle between the latest arrival and the first start
        after the earliest one. No incarnation starts for `drain_ms`.
        """
        width_ms = min(self.latest_ms - self.earliest_ms, drain_ms)
        return int(self.earliest_ms + (width_ms + drain_ms) / 2)


def arrival_of(
    upstream: str,
    known: abc.Mapping[str, records.Record],
    clock_ms: float,
    now: float,
) -> Arrival:
    """Return when an announcement arrived that came at monotonic time `now`.

    `clock_ms` is the time by the clock of this member, which may be seconds
    off. What upstreams sent at their start tells the time by their own clocks.
    """
    own = known[upstream].first_heard if upstream in known else None
    own_ms = own.earliest_time_ms(now) if own else 0
    latest_ms = max(clock_ms, own_ms)
    if own and own.is_first_sent:
        return Arrival(own_ms, latest_ms)
    times = [
        record.first_heard.earliest_time_ms(now)
        for record in known.values()
        if record.first_heard and record.first_heard.is_first_sent
    ]
    if len(times) < MIN_STARTS:
        return Arrival(latest_ms, latest_ms)
    earliest_ms = max(statistics.median(times), own_ms)
    return Arrival(earliest_ms, max(latest_ms, earliest_ms))


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
    is_past_delays = now >= ended.updated_at + timing.RETURN_SECONDS
    if is_past_delays and has_returned(ended.registration, heartbeat):
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
    is_past_delays = current.updated_at >= ended_at + timing.RETURN_SECONDS
    return not (
        is_past_delays and has_returned(registration, current.registration)
    )


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
