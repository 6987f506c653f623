"""Deliver a request with an idempotency key so that it runs at most once."""

import result

from cranberryrill import failures
from cranberryrill.callers import candidates
from cranberryrill.claims import claim_client, claims_pb2, refusals
from cranberryrill.membership import membership_pb2, serving_lease
from cranberryrill.relay import connections, deadlines, dispatcher, relay_pb2
from cranberryrill.state import submission

# A request follows its claim through at most this many moves, whether it or a
# request at another entry moves the claim.
MAX_CLAIM_MOVES = 16
Verdict = claims_pb2.ClaimOutcome
MoveResult = result.Result[claims_pb2.ClaimOutcome, failures.Failure]


class ClaimedDelivery:
    """Delivery of a request to the agent that the claim of its key names."""

    def __init__(
        self,
        holder: serving_lease.Holder,
        agent_connections: connections.ConnectionPool,
        claims: claim_client.ClaimClient,
        call: relay_pb2.Call,
        agents: candidates.Candidates,
        deadline: deadlines.Deadline,
    ) -> None:
        self.holder = holder
        self.connections = agent_connections
        self.claims = claims
        self.call = relay_pb2.Call()
        self.call.CopyFrom(call)
        self.call.claimed = True
        self.agents = agents
        self.deadline = deadline

    async def run(
        self,
        request_claim: claims_pb2.Claim,
        sink: dispatcher.Sink,
    ) -> dispatcher.Outcome:
        """Run the request, or deliver the answer to the key's first request.

        `request_claim` is this request's claim, without an agent.
        """
        first_claim = _with_agent(request_claim, self.agents.take())
        placed = await self.claims.place(first_claim)
        if isinstance(placed, result.Err):
            return result.Err(_claim_failure(placed.err_value))
        outcome = placed.ok_value
        for _ in range(MAX_CLAIM_MOVES):
            refused = _refusal(outcome)
            if refused is not None:
                return result.Err(refused)
            dispatch_result = await self._dispatch(outcome, sink)
            if not _may_move(dispatch_result):
                return dispatch_result
            moved = await self._move(
                outcome.claim,
                request_claim,
                dispatch_result.unwrap_err(),
            )
            if isinstance(moved, result.Err):
                return moved
            outcome = moved.ok_value
        return result.Err(_outcome_unknown('the claim moved too often'))

    async def _dispatch(
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
                return result.Err(_agent_gone())
            return result.Err(
                _outcome_unknown('the agent that had it was restarted'),
            )
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
        request_claim: claims_pb2.Claim,
        failure: failures.Failure,
    ) -> MoveResult:
        refused = not isinstance(failure, failures.AgentUnreachable)
        target = _with_agent(
            request_claim,
            await self.agents.take_after(failure),
        )
        if refused and not target.agent:
            # No other agent is left, so the refusal is final and the claim
            # stays with the agent that refused.
            return result.Err(failure)
        moved = await self.claims.move(claim, target, refused)
        if isinstance(moved, result.Err):
            if moved.err_value.proved_uncommitted and refused:
                return result.Err(failure)
            return result.Err(_outcome_unknown('the claim could not be moved'))
        outcome = moved.ok_value
        if outcome.verdict == Verdict.GRANTED and not target.agent:
            return result.Err(failure)
        if outcome.verdict == Verdict.STALE and _same_assignment(
            outcome.claim,
            claim,
        ):
            return result.Err(
                _outcome_unknown('another entry may have sent it'),
            )
        return result.Ok(outcome)


def _with_agent(
    claim: claims_pb2.Claim,
    agent: membership_pb2.Announcement | None,
) -> claims_pb2.Claim:
    """Return a copy of the claim for `agent`; None makes it name no agent."""
    copied = claims_pb2.Claim()
    copied.CopyFrom(claim)
    copied.agent = agent.process if agent else ''
    copied.incarnation = agent.incarnation if agent else ''
    return copied


def _same_assignment(first: claims_pb2.Claim, second: claims_pb2.Claim) -> bool:
    return (first.request_id, first.agent) == (
        second.request_id,
        second.agent,
    )


def _may_move(dispatch_result: dispatcher.Outcome) -> bool:
    if dispatch_result.is_ok():
        return False
    failure = dispatch_result.unwrap_err()
    movable = isinstance(
        failure,
        (
            failures.Overloaded,
            failures.AgentLeaving,
            failures.AgentUnreachable,
            failures.NoUpstream,
        ),
    )
    return movable and failure.ran is failures.Ran.no


def _refusal(outcome: claims_pb2.ClaimOutcome) -> failures.Failure | None:
    if outcome.verdict == Verdict.DIFFERS:
        return refusals.IdempotencyKeyReused(
            'the idempotency key belongs to a request with other content',
        )
    if outcome.verdict == Verdict.FULL:
        return refusals.ClaimsFull('too many idempotency keys are in use')
    return None


def _claim_failure(error: submission.NotSubmitted) -> failures.Failure:
    return refusals.ClaimsUnavailable(
        f'the idempotency key could not be claimed: {error.reason}',
        retry_after_seconds=1,
    )


def _no_upstream(target: str) -> failures.Failure:
    return failures.NoUpstream(
        f'no upstream offers {target}',
        retry_after_seconds=1,
    )


def _agent_gone() -> failures.Failure:
    return failures.AgentUnreachable(
        'the agent has gone',
        retry_after_seconds=1,
    )


def _outcome_unknown(message: str) -> failures.Failure:
    return failures.OutcomeUnknown(message, failures.Ran.unknown)
