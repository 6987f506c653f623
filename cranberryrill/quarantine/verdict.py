"""Decide which prompt parts and which requests crash upstreams.

An upstream that ends takes every request with it that is open there, so each
crash casts suspicion on many. A suspect is held to be fatal if upstreams ended
under it one after the other, if it was open at a large share of those that
ended in that time, and if none has responded to it and run on meanwhile.
Upstreams that end together, as in a power loss, count once.

A request that is repeated and a prompt part that differing requests share leave
the same evidence at first. Requests are examined before parts, and a part is
blamed for the crashes of a fatal request only if there are others, too.
"""

import collections
from collections import abc as collection_types

from cranberryrill.quarantine import records
from cranberryrill.settings import quarantine_limits

# A suspect to which upstreams have responded before needs this many crashes
# more: it was open by chance, or has become fatal only now. Repeats of a
# request are more alike than requests with a common part.
KNOWN_PART_CRASHES = 2
KNOWN_REQUEST_CRASHES = 3
# A part with this many crashes beside those of a fatal request is examined as
# if there were no such request: it may be what made that one fatal.
MIN_UNEXPLAINED_CRASHES = 2
# A fatal suspect was open at this share of the upstreams that ended between its
# first crash and its last one. Others end for other reasons.
MIN_CRASH_SHARE = 0.5
# With this many times as many crashes, chance is ruled out whatever the share.
ANY_SHARE_FACTOR = 2
# Upstreams that end within this time of each other may have ended together, as
# in a loss of power.
TOGETHER_SECONDS = 0.05
# Under one request, a shorter time: a retry ends the next upstream in the time
# that it takes to get there and to begin.
REQUEST_TOGETHER_SECONDS = 0.02
Evidence = collection_types.Collection[records.SuspectRecord]
Suspects = collection_types.Sequence[records.SuspectRecord]


def crash_count(
    record: records.SuspectRecord,
    explained: collection_types.Container[str] = (),
) -> int:
    """Return how many upstreams ended under a suspect one after the other.

    Crashes before the last response that an upstream survived don't count, nor
    do those of the incarnations in `explained`.
    """
    return len(_crashes_in_turn(record, explained))


def fatal_keys(
    evidence: Evidence, limits: quarantine_limits.QuarantineLimits
) -> list[str]:
    """Return the keys of the parts and requests to be quarantined now.

    The most likely suspects are examined first, and the crashes that they
    explain count for no other: a fatal request shares its parts, and requests
    with a fatal part their other parts, with sound requests. Of parts with the
    same evidence, the one that is furthest back in the prompt is shared by the
    fewest.
    """
    suspects = [record for record in evidence if _is_suspect(record, limits)]
    if not suspects:
        return []
    fatal_requests = _fatal_requests(evidence, suspects, limits)
    fatal_parts = _fatal_parts(evidence, suspects, limits)
    return [record.key for record in (*fatal_requests, *fatal_parts)]


def _fatal_requests(
    evidence: Evidence,
    suspects: Suspects,
    limits: quarantine_limits.QuarantineLimits,
) -> Suspects:
    """Return all requests with enough evidence.

    To refuse one costs no other, so a request that may have been open by chance
    explains no crashes of another one.
    """
    ended = _ends(evidence)
    explained = _explained(evidence, is_request=False)
    in_requests = _explained(evidence, is_request=True)
    in_requests |= _ended_under_requests(suspects)
    fatal = []
    for record, required in _by_likelihood(suspects, limits, is_request=True):
        # Ends under other requests don't speak for this one.
        others = in_requests - _incarnations(record)
        relevant = _without(ended, explained | others)
        if _is_fatal(record, required, explained, relevant):
            fatal.append(record)
    return fatal


def _fatal_parts(
    evidence: Evidence,
    suspects: Suspects,
    limits: quarantine_limits.QuarantineLimits,
) -> Suspects:
    """Return the parts with enough evidence beside that on requests.

    A part waits while a suspected request may explain its crashes.
    """
    ended = _ends(evidence)
    by_parts = _explained(evidence, is_request=False)
    by_requests = _explained(evidence, is_request=True)
    by_requests |= _ended_under_requests(suspects)
    fatal = []
    for record, required in _by_likelihood(suspects, limits, is_request=False):
        explained = by_parts | by_requests
        if crash_count(record, explained) >= MIN_UNEXPLAINED_CRASHES:
            explained = by_parts
        if _is_fatal(record, required, explained, _without(ended, explained)):
            fatal.append(record)
            by_parts = by_parts | _incarnations(record)
    return fatal


def may_be_fatal(record: records.SuspectRecord) -> bool:
    """Return whether an upstream has ended that none has survived since."""
    return record.completed_at == records.NEVER and bool(record.crashes)


def _is_suspect(
    record: records.SuspectRecord, limits: quarantine_limits.QuarantineLimits
) -> bool:
    threshold = limits.crashes_for(is_request=record.is_request)
    if not threshold or record.is_quarantined:
        return False
    return len(record.crashes) >= _required_crashes(record, threshold)


def _by_likelihood(
    suspects: collection_types.Sequence[records.SuspectRecord],
    limits: quarantine_limits.QuarantineLimits,
    *,
    is_request: bool,
) -> collection_types.Iterator[tuple[records.SuspectRecord, int]]:
    """Yield the requests or parts, most likely first, with required crashes."""
    examined = [
        record for record in suspects if record.is_request == is_request
    ]
    threshold = limits.crashes_for(is_request=is_request)
    ties = collections.Counter(_distinction(record) for record in examined)
    for record in sorted(examined, key=_likelihood, reverse=True):
        # Of parts that can't be told apart, all but one are open by chance. One
        # more crash mostly tells which.
        is_tied = not is_request and ties[_distinction(record)] > 1
        yield record, _required_crashes(record, threshold) + is_tied


def _is_fatal(
    record: records.SuspectRecord,
    required: int,
    explained: collection_types.Container[str],
    ended: collection_types.Mapping[str, float],
) -> bool:
    """Return whether a suspect is fatal, given when others ended."""
    crashes = _crashes_in_turn(record, explained)
    if len(crashes) < required:
        return False
    if len(crashes) >= required * ANY_SHARE_FACTOR:
        return True
    first, last = crashes[0].ended_at, crashes[-1].ended_at
    ended_meanwhile = {
        incarnation
        for incarnation, ended_at in ended.items()
        if first <= ended_at <= last
    }
    own = _incarnations(record) & ended_meanwhile
    return len(own) >= MIN_CRASH_SHARE * len(ended_meanwhile)


def _crashes_in_turn(
    record: records.SuspectRecord, explained: collection_types.Container[str]
) -> list[records.Crash]:
    in_turn: list[records.Crash] = []
    together = (
        REQUEST_TOGETHER_SECONDS if record.is_request else TOGETHER_SECONDS
    )
    for crash in sorted(record.crashes, key=lambda crash: crash.ended_at):
        if crash.ended_at <= record.completed_at:
            continue
        if crash.incarnation in explained:
            continue
        if not in_turn or crash.ended_at >= in_turn[-1].ended_at + together:
            in_turn.append(crash)
    return in_turn


def _required_crashes(record: records.SuspectRecord, threshold: int) -> int:
    if record.completed_at == records.NEVER:
        return threshold
    if record.is_request:
        return threshold + KNOWN_REQUEST_CRASHES
    return threshold + KNOWN_PART_CRASHES


def _likelihood(record: records.SuspectRecord) -> tuple[bool, int, int, int]:
    return (
        record.completed_at == records.NEVER,
        crash_count(record),
        len(record.crashes),
        max(crash.position for crash in record.crashes),
    )


def _distinction(record: records.SuspectRecord) -> collection_types.Hashable:
    """Return what tells a suspect from others; equal if nothing does."""
    return _likelihood(record), frozenset(_incarnations(record))


def _ends(evidence: Evidence) -> dict[str, float]:
    """Return when each incarnation ended that the evidence names."""
    return {
        crash.incarnation: crash.ended_at
        for record in evidence
        for crash in record.crashes
    }


def _incarnations(record: records.SuspectRecord) -> set[str]:
    return {crash.incarnation for crash in record.crashes}


def _ended_under_requests(
    suspects: collection_types.Iterable[records.SuspectRecord],
) -> set[str]:
    """Return the incarnations that ended under requests among suspects."""
    return {
        incarnation
        for record in suspects
        if record.is_request
        for incarnation in _incarnations(record)
    }


def _explained(evidence: Evidence, *, is_request: bool) -> set[str]:
    """Return the incarnations that quarantined requests, or parts, ended."""
    return {
        incarnation
        for record in evidence
        if record.is_quarantined and record.is_request == is_request
        for incarnation in _incarnations(record)
    }


def _without(
    ended: collection_types.Mapping[str, float],
    excluded: collection_types.Container[str],
) -> dict[str, float]:
    return {
        incarnation: ended_at
        for incarnation, ended_at in ended.items()
        if incarnation not in excluded
    }
