"""Evidence on one prompt part or request, and its encoding in messages.

Times are monotonic seconds of the process that holds the record. Messages
carry ages instead, since the clocks of processes differ.
"""

import dataclasses
import math

import xxhash

from cranberryrill.quarantine import quarantine_pb2, request_key

MILLISECONDS_PER_SECOND = 1000
MAX_AGE_MS = 0xFFFFFFFF
NEVER = -math.inf
# Longer ids are replaced by a digest, so that a record is small.
MAX_ID_CHARACTERS = 64


@dataclasses.dataclass(frozen=True)
class Crash:
    """End of an upstream under a request."""

    # Incarnation of the upstream: its id and its start.
    incarnation: str
    ended_at: float
    # Index of the part in the prompt; 0 for a request.
    position: int


@dataclasses.dataclass(frozen=True)
class SuspectRecord:
    """All evidence on one prompt part, or on one request and its repeats."""

    # Id of the part, or key of the request.
    key: str
    crashes: tuple[Crash, ...] = ()
    # When an upstream last responded to such a request and ran on.
    completed_at: float = NEVER
    # When such requests were first refused.
    quarantined_at: float = NEVER
    # Time of the last crash or refusal.
    seen_at: float = NEVER
    # Value of the ledger's change number when this record was stored.
    change_number: int = 0

    @property
    def is_quarantined(self) -> bool:
        """Return whether such requests are refused.

        A response that completes later proves them to be sound.
        """
        return self.quarantined_at > self.completed_at

    @property
    def is_request(self) -> bool:
        """Return whether this is about a request, not a prompt part."""
        return request_key.is_request(self.key)


def part_key(part: str) -> str:
    """Return the id under which evidence on a prompt part is recorded."""
    if len(part) <= MAX_ID_CHARACTERS:
        return part
    return xxhash.xxh128_hexdigest(part.encode())


def encode(record: SuspectRecord, now: float) -> quarantine_pb2.SuspectRecord:
    """Return the message for a record at the time `now`."""
    message = quarantine_pb2.SuspectRecord(
        key=record.key,
        crashes=[
            quarantine_pb2.Crash(
                incarnation=crash.incarnation,
                ended_age_ms=_age_ms(crash.ended_at, now),
                position=crash.position,
            )
            for crash in record.crashes
        ],
        seen_age_ms=_age_ms(record.seen_at, now),
    )
    if record.completed_at != NEVER:
        message.completed_age_ms = _age_ms(record.completed_at, now)
    if record.quarantined_at != NEVER:
        message.quarantined_age_ms = _age_ms(record.quarantined_at, now)
    return message


def decode(message: quarantine_pb2.SuspectRecord, now: float) -> SuspectRecord:
    """Return the record of a message that is received at the time `now`."""
    completed_at = NEVER
    if message.HasField('completed_age_ms'):
        completed_at = _time_of(message.completed_age_ms, now)
    quarantined_at = NEVER
    if message.HasField('quarantined_age_ms'):
        quarantined_at = _time_of(message.quarantined_age_ms, now)
    return SuspectRecord(
        key=message.key,
        crashes=tuple(
            Crash(
                crash.incarnation,
                _time_of(crash.ended_age_ms, now),
                crash.position,
            )
            for crash in message.crashes
        ),
        completed_at=completed_at,
        quarantined_at=quarantined_at,
        seen_at=_time_of(message.seen_age_ms, now),
    )


def _age_ms(at: float, now: float) -> int:
    if at == NEVER:
        return MAX_AGE_MS
    age_ms = int((now - at) * MILLISECONDS_PER_SECOND)
    return min(max(age_ms, 0), MAX_AGE_MS)


def _time_of(age_ms: int, now: float) -> float:
    return now - age_ms / MILLISECONDS_PER_SECOND
