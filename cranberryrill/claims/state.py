"""Replicated state that binds each idempotency key to one request."""

import collections

from google.protobuf import message

from cranberryrill.claims import claims_pb2
from cranberryrill.state import commands_pb2

MILLISECONDS_PER_HOUR = 3_600_000
# After this time, another request may use the same key.
CLAIM_LIFETIME_MS = 24 * MILLISECONDS_PER_HOUR
MAX_CLAIMS = 300_000
# Keeps one organisation from using up all claims.
MAX_CLAIMS_PER_ORGANISATION = 100_000
Verdict = claims_pb2.ClaimOutcome
ClaimKey = tuple[str, str]


class ClaimsState:
    """State machine that grants each key to the first request to claim it.

    Claims expire by the time of the log, which is the latest timestamp of all
    log entries applied so far. Every member of the control group therefore
    drops a claim at the same log entry.
    """

    def __init__(
        self,
        max_claims: int = MAX_CLAIMS,
        max_per_organisation: int = MAX_CLAIMS_PER_ORGANISATION,
    ) -> None:
        self.max_claims = max_claims
        self.max_per_organisation = max_per_organisation
        self.log_unix_ms = 0
        # Oldest first, because the time of the log never decreases.
        self.claims: dict[ClaimKey, claims_pb2.Claim] = {}
        self.counts: collections.Counter[str] = collections.Counter()

    @property
    def name(self) -> str:
        """Name of this slice of the state in snapshots."""
        return 'claims'

    @property
    def kinds(self) -> tuple[str, ...]:
        """Kinds of the commands that this state machine applies."""
        return ('place_claim', 'move_claim')

    def apply(
        self,
        command: commands_pb2.Command,
        index: int,
        unix_ms: int,
    ) -> message.Message:
        """Apply a command that places or moves a claim; return its outcome.

        `unix_ms` is the timestamp of the log entry.
        """
        self.log_unix_ms = max(self.log_unix_ms, unix_ms)
        self._expire()
        if command.WhichOneof('kind') == 'place_claim':
            return self._place(command.place_claim.claim)
        return self._move(command.move_claim)

    def dump(self) -> bytes:
        """Return the state as an encoded `ClaimsDump`."""
        dump = claims_pb2.ClaimsDump(
            claims=self.claims.values(),
            log_unix_ms=self.log_unix_ms,
        )
        return dump.SerializeToString()

    def load(self, content: bytes) -> None:
        """Replace the state with that of an encoded `ClaimsDump`."""
        dump = claims_pb2.ClaimsDump.FromString(content)
        self.log_unix_ms = dump.log_unix_ms
        self.claims = {key_of(claim): claim for claim in dump.claims}
        self.counts = collections.Counter(
            claim.organisation for claim in dump.claims
        )

    def _place(self, claim: claims_pb2.Claim) -> claims_pb2.ClaimOutcome:
        current = self.claims.get(key_of(claim))
        if current is None:
            return self._grant(claim)
        if current.request_digest != claim.request_digest:
            return _outcome(Verdict.DIFFERS, current)
        if current.request_id == claim.request_id:
            # The same command was sent again because its outcome was lost.
            return _outcome(Verdict.GRANTED, current)
        current.holders += 1
        return _outcome(Verdict.EXISTS, current)

    def _grant(self, claim: claims_pb2.Claim) -> claims_pb2.ClaimOutcome:
        claim_count = self.counts[claim.organisation]
        full = len(self.claims) >= self.max_claims
        if full or claim_count >= self.max_per_organisation:
            return claims_pb2.ClaimOutcome(verdict=Verdict.FULL)
        granted = claims_pb2.Claim()
        granted.CopyFrom(claim)
        granted.placed_unix_ms = self.log_unix_ms
        granted.holders = 1
        self.claims[key_of(granted)] = granted
        self.counts[granted.organisation] += 1
        return _outcome(Verdict.GRANTED, granted)

    def _move(self, move: claims_pb2.MoveClaim) -> claims_pb2.ClaimOutcome:
        source = getattr(move, 'from')
        current = self.claims.get(key_of(source))
        if current is None:
            return claims_pb2.ClaimOutcome(verdict=Verdict.STALE)
        if _assignment_of(current) == _assignment_of(move.to):
            return _outcome(Verdict.GRANTED, current)
        movable = move.refused or current.holders == 1
        if _assignment_of(current) != _assignment_of(source) or not movable:
            current.holders += 1
            return _outcome(Verdict.STALE, current)
        current.request_id = move.to.request_id
        current.agent = move.to.agent
        current.incarnation = move.to.incarnation
        current.holders = 1
        return _outcome(Verdict.GRANTED, current)

    def _expire(self) -> None:
        expired_unix_ms = self.log_unix_ms - CLAIM_LIFETIME_MS
        while self.claims:
            key, oldest = next(iter(self.claims.items()))
            if oldest.placed_unix_ms > expired_unix_ms:
                return
            del self.claims[key]
            self.counts[oldest.organisation] -= 1
            if not self.counts[oldest.organisation]:
                del self.counts[oldest.organisation]


def key_of(claim: claims_pb2.Claim) -> ClaimKey:
    """Return the organisation and idempotency key that identify a claim."""
    return (claim.organisation, claim.idempotency_key)


def _assignment_of(claim: claims_pb2.Claim) -> tuple[str, str, str]:
    return (claim.request_id, claim.agent, claim.incarnation)


def _outcome(
    verdict: Verdict.Verdict,
    claim: claims_pb2.Claim,
) -> claims_pb2.ClaimOutcome:
    # Protobuf copies the claim, so later changes to the state don't reach
    # the outcome.
    return claims_pb2.ClaimOutcome(verdict=verdict, claim=claim)
