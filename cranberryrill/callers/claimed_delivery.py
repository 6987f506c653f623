"""Deliver a request under an idempotency key: at most one run, ever."""

import result

from cranberryrill import failures
from cranberryrill.callers import candidates
from cranberryrill.claims import claim_client, claims_pb2, refusals
from cranberryrill.membership import membership_pb2, serving_lease
from cranberryrill.relay import connections, deadlines, dispatcher, relay_pb2
from cranberryrill.state import submission

# Claims that other entries move meanwhile are followed this often.
MAX_STEPS = 16
Verdict = claims_pb2.ClaimOutcome
Step = result.Result[claims_pb2.ClaimOutcome, failures.Failure]


class ClaimedDelivery:
    """Follow the claim of one key to the agent that may run the request."""

    def __init__(
        self,
        holder: serving_lease.Holder,
        lent: connections.ConnectionPool,
        claimer: claim_client.ClaimClient,
        call: relay_pb2.Call,
        pool: candidates.Candidates,
        deadline: deadlines.Deadline,
    ) -> None:
        self.holder = holder
        self.connections = lent
        self.claimer = claimer
        self.call = relay_pb2.Call()
        self.call.CopyFrom(call)
        self.call.claimed = True
        self.pool = pool
        self.deadline = deadline

    async def run(
        self,
        own: claims_pb2.Claim,
        sink: dispatcher.Sink,
    ) -> dispatcher.Outcome:
        """Run the request, or give the answer that its key has already."""
        named = _named(own, self.pool.take())
        placed = await self.claimer.place(named)
        if isinstance(placed, result.Err):
            return result.Err(_not_claimed(placed.err_value))
        outcome = placed.ok_value
        for _ in range(MAX_STEPS):
            refused = _refusal(outcome)
            if refused is not None:
                return result.Err(refused)
            ended = await self._ask(outcome, sink)
            if not _may_move(ended):
                return ended
            moved = await self._move(outcome.claim, own, ended.unwrap_err())
            if isinstance(moved, result.Err):
                return moved
            outcome = moved.ok_value
        return result.Err(_unknown('the claim moved too often'))

    async def _ask(
        self,
        outcome: claims_pb2.ClaimOutcome,
        sink: dispatcher.Sink,
    ) -> dispatcher.Outcome:
        claim = outcome.claim
        if not claim.agent:
            return result.Err(_no_upstream(self.call.target))
        agent = self.holder.processes.get(claim.agent)
        if agent is None or agent.incarnation != claim.incarnation:
            if outcome.verdict == Verdict.GRANTED:
                return result.Err(_gone())
            return result.Err(_unknown('the agent that had it was restarted'))
        dispatch = dispatcher.Dispatch(
            self.connections,
            agent,
            claim.request_id,
            self.call,
            self.deadline,
            is_first_dispatch=outcome.verdict == Verdict.GRANTED,
        )
        return await dispatch.run(sink)

    async def _move(
        self,
        claim: claims_pb2.Claim,
        own: claims_pb2.Claim,
        failure: failures.Failure,
    ) -> Step:
        refused = not isinstance(failure, failures.AgentUnreachable)
        target = _named(own, await self.pool.take_after(failure))
        if refused and not target.agent:
            # The claim stays where the request was refused for good.
            return result.Err(failure)
        moved = await self.claimer.move(claim, target, refused)
        if isinstance(moved, result.Err):
            if moved.err_value.proved_uncommitted and refused:
                return result.Err(failure)
            return result.Err(_unknown('the claim could not be moved'))
        outcome = moved.ok_value
        if outcome.verdict == Verdict.GRANTED and not target.agent:
            return result.Err(failure)
        if outcome.verdict == Verdict.STALE and _same(outcome.claim, claim):
            return result.Err(_unknown('another entry may have sent it'))
        return result.Ok(outcome)


def _named(
    claim: claims_pb2.Claim,
    agent: membership_pb2.Announcement | None,
) -> claims_pb2.Claim:
    """Return a copy of the claim for an agent, or for none."""
    named = claims_pb2.Claim()
    named.CopyFrom(claim)
    named.agent = agent.process if agent else ''
    named.incarnation = agent.incarnation if agent else ''
    return named


def _same(one: claims_pb2.Claim, other: claims_pb2.Claim) -> bool:
    return (one.request_id, one.agent) == (other.request_id, other.agent)


def _may_move(ended: dispatcher.Outcome) -> bool:
    if ended.is_ok():
        return False
    failure = ended.unwrap_err()
    refused = isinstance(
        failure,
        (
            failures.Overloaded,
            failures.AgentLeaving,
            failures.AgentUnreachable,
            failures.NoUpstream,
        ),
    )
    return refused and failure.ran is failures.Ran.no


def _refusal(outcome: claims_pb2.ClaimOutcome) -> failures.Failure | None:
    if outcome.verdict == Verdict.DIFFERS:
        return refusals.IdempotencyKeyReused(
            'the idempotency key belongs to a request with other content',
        )
    if outcome.verdict == Verdict.FULL:
        return refusals.ClaimsFull('too many idempotency keys are in use')
    return None


def _not_claimed(failed: submission.NotSubmitted) -> failures.Failure:
    return refusals.ClaimsUnavailable(
        f'the idempotency key could not be claimed: {failed.reason}',
        retry_after_seconds=1,
    )


def _no_upstream(target: str) -> failures.Failure:
    return failures.NoUpstream(
        f'no upstream offers {target}',
        retry_after_seconds=1,
    )


def _gone() -> failures.Failure:
    return failures.AgentUnreachable(
        'the agent has gone',
        retry_after_seconds=1,
    )


def _unknown(message: str) -> failures.Failure:
    return failures.OutcomeUnknown(message, failures.Ran.unknown)
