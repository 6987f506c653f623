"""Claim an idempotency key in the log, on behalf of a request."""

import asyncio
import hashlib
import typing

import result

from cranberryrill import clock
from cranberryrill.claims import claims_pb2
from cranberryrill.relay import relay_pb2
from cranberryrill.state import commands_pb2, submission

# Shorter than a serving lease, so that the caller learns the true reason.
CLAIM_TIMEOUT = 3.0
LENGTH_BYTES = 8
CONTENT_TYPE = 'content-type'
Claimed = result.Result[claims_pb2.ClaimOutcome, submission.NotSubmitted]


class Submits(typing.Protocol):
    """Take a command into the log."""

    async def submit(
        self,
        command: commands_pb2.Command,
        deadline: float,
    ) -> submission.Submitted:
        """Submit until there is an outcome or `deadline` has passed."""


class ClaimClient:
    """Place and move claims."""

    def __init__(self, submitter: Submits) -> None:
        self.submitter = submitter

    async def place(self, claim: claims_pb2.Claim) -> Claimed:
        """Claim a key, or learn which request has it."""
        command = commands_pb2.Command(
            place_claim=claims_pb2.PlaceClaim(claim=claim),
        )
        return await self._submit(command)

    async def move(
        self,
        source: claims_pb2.Claim,
        target: claims_pb2.Claim,
        refused: bool,
    ) -> Claimed:
        """Name another agent for a request that the first one did not run."""
        move = claims_pb2.MoveClaim(to=target, refused=refused)
        getattr(move, 'from').CopyFrom(source)
        return await self._submit(commands_pb2.Command(move_claim=move))

    async def _submit(self, command: commands_pb2.Command) -> Claimed:
        deadline = clock.monotonic_seconds() + CLAIM_TIMEOUT
        # A caller who leaves may not leave the outcome of a command open.
        submitted = await asyncio.shield(
            self.submitter.submit(command, deadline),
        )
        return submitted.map(claims_pb2.ClaimOutcome.FromString)


def new_claim(
    call: relay_pb2.Call,
    idempotency_key: str,
    request_id: str,
) -> claims_pb2.Claim:
    """Return a claim that names no agent yet."""
    return claims_pb2.Claim(
        organisation=call.organisation,
        idempotency_key=hashlib.sha256(idempotency_key.encode()).hexdigest(),
        request_digest=request_digest(call),
        request_id=request_id,
    )


def request_digest(call: relay_pb2.Call) -> bytes:
    """Return a digest of method, path, content type and body."""
    kind = [
        header.value
        for header in call.headers
        if header.name.lower() == CONTENT_TYPE
    ]
    digest = hashlib.sha256()
    for part in (call.method, call.path, ''.join(kind), call.body):
        content = part if isinstance(part, bytes) else part.encode()
        # With its length, so that no two requests look the same.
        digest.update(len(content).to_bytes(LENGTH_BYTES, 'big'))
        digest.update(content)
    return digest.digest()
