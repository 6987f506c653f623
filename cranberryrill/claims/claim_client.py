"""Claim idempotency keys in the replicated log on behalf of requests."""

import asyncio
import hashlib
import typing

import result

from cranberryrill import clock
from cranberryrill.claims import claims_pb2
from cranberryrill.relay import relay_pb2
from cranberryrill.state import commands_pb2, submission

# Shorter than the serving lease: otherwise the lease could expire first, and
# the caller would receive NotServing instead of ClaimsUnavailable.
CLAIM_TIMEOUT_SECONDS = 3.0
LENGTH_PREFIX_BYTES = 8
CONTENT_TYPE_HEADER = 'content-type'
ClaimResult = result.Result[claims_pb2.ClaimOutcome, submission.NotSubmitted]


class CommandSubmitter(typing.Protocol):
    """Interface for submitting commands to the replicated log."""

    async def submit(
        self,
        command: commands_pb2.Command,
        deadline: float,
    ) -> submission.Submitted:
        """Submit until there is an outcome or `deadline` has passed.

        `deadline` is in seconds on the monotonic clock.
        """


class ClaimClient:
    """Client that places and moves claims through the control group.

    `place` and `move` return a `NotSubmitted` error when no outcome arrives in
    time.
    """

    def __init__(self, submitter: CommandSubmitter) -> None:
        self.submitter = submitter

    async def place(self, claim: claims_pb2.Claim) -> ClaimResult:
        """Claim a key.

        If another request has the key, the outcome contains its claim.
        """
        command = commands_pb2.Command(
            place_claim=claims_pb2.PlaceClaim(claim=claim),
        )
        return await self._submit(command)

    async def move(
        self,
        source: claims_pb2.Claim,
        target: claims_pb2.Claim,
        refused: bool,
    ) -> ClaimResult:
        """Move a claim from an agent that did not run the request.

        The target may name no agent. `refused` is true if the agent of
        `source` refused the request or `source` names no agent, and false if
        the request was not sent to that agent.
        """
        move = claims_pb2.MoveClaim(to=target, refused=refused)
        getattr(move, 'from').CopyFrom(source)
        return await self._submit(commands_pb2.Command(move_claim=move))

    async def _submit(self, command: commands_pb2.Command) -> ClaimResult:
        deadline = clock.monotonic_seconds() + CLAIM_TIMEOUT_SECONDS
        # Without the shield, a caller that disconnects would cancel the
        # submission and leave its outcome unknown.
        submitted = await asyncio.shield(
            self.submitter.submit(command, deadline),
        )
        return submitted.map(claims_pb2.ClaimOutcome.FromString)


def new_claim(
    call: relay_pb2.Call,
    idempotency_key: str,
    request_id: str,
) -> claims_pb2.Claim:
    """Return a claim without an agent."""
    return claims_pb2.Claim(
        organisation=call.organisation,
        idempotency_key=hashlib.sha256(idempotency_key.encode()).hexdigest(),
        request_digest=request_digest(call),
        request_id=request_id,
    )


def request_digest(call: relay_pb2.Call) -> bytes:
    """Return the SHA-256 of the call's method, path, content type and body."""
    content_types = [
        header.value
        for header in call.headers
        if header.name.lower() == CONTENT_TYPE_HEADER
    ]
    digest = hashlib.sha256()
    for part in (call.method, call.path, ''.join(content_types), call.body):
        content = part if isinstance(part, bytes) else part.encode()
        # The length prefix keeps different requests from hashing the same
        # bytes when a part ends where another begins.
        digest.update(len(content).to_bytes(LENGTH_PREFIX_BYTES, 'big'))
        digest.update(content)
    return digest.digest()
