"""Deliver callers' requests to agents, with limits and retries."""

from collections import abc

import result

from cranberryrill import clock, failures, transport
from cranberryrill.callers import candidates, claimed_delivery
from cranberryrill.claims import claim_client
from cranberryrill.limits import rate_limiter
from cranberryrill.membership import membership_pb2, serving_lease
from cranberryrill.relay import (
    connections,
    deadlines,
    dispatcher,
    relay_pb2,
    request_ids,
)
from cranberryrill.routing import budget, routers, scoring

# Not counted as failures of the agent, since a healthy agent refuses too.
REFUSALS = (failures.Overloaded, failures.AgentLeaving)


class Gateway:
    """Gateway of an entry to the agents: selects agents, limits and retries."""

    def __init__(
        self,
        holder: serving_lease.Holder,
        dialer: transport.Dialer,
        router: routers.Router,
        claims: claim_client.ClaimClient,
    ) -> None:
        self.holder = holder
        self.connections = connections.ConnectionPool(dialer)
        self.router = router
        self.claims = claims
        self.retries = budget.RetryBudget()
        self.limiter = rate_limiter.RateLimiter(lambda: holder.configuration)
        self.request_ids = request_ids.RequestIdGenerator()

    async def deliver(
        self,
        request_id: str,
        call: relay_pb2.Call,
        sink: dispatcher.Sink,
        deadline: deadlines.Deadline,
    ) -> dispatcher.Outcome:
        """Run the call at the first agent that accepts it.

        Return a failure if the organisation is over its limits or no agent
        accepts the call.
        """
        return await self._within_limits(
            call,
            lambda: self._run(request_id, call, sink, deadline),
        )

    async def deliver_claimed(
        self,
        request_id: str,
        call: relay_pb2.Call,
        idempotency_key: str,
        sink: dispatcher.Sink,
        deadline: deadlines.Deadline,
    ) -> dispatcher.Outcome:
        """Run the call under its idempotency key.

        If an earlier request with the same content has the key, deliver the
        answer to that one instead.
        """
        delivery = claimed_delivery.ClaimedDelivery(
            self.holder,
            self.connections,
            self.claims,
            call,
            self._candidates(call),
            deadline,
        )
        request_claim = claim_client.new_claim(
            call,
            idempotency_key,
            request_id,
        )
        return await self._within_limits(
            call,
            lambda: delivery.run(request_claim, sink),
        )

    async def _within_limits(
        self,
        call: relay_pb2.Call,
        run: abc.Callable[[], abc.Awaitable[dispatcher.Outcome]],
    ) -> dispatcher.Outcome:
        entries = self._count_entries()
        admitted = self.limiter.admit(
            call.organisation,
            entries,
            clock.monotonic_seconds(),
        )
        if isinstance(admitted, result.Err):
            return result.Err(admitted.err_value)
        run_result = await run()
        if isinstance(run_result, result.Ok):
            final = run_result.ok_value
            self.limiter.charge(
                call.organisation,
                final.prompt_tokens + final.output_tokens,
                entries,
                clock.monotonic_seconds(),
            )
        return run_result

    async def _run(
        self,
        request_id: str,
        call: relay_pb2.Call,
        sink: dispatcher.Sink,
        deadline: deadlines.Deadline,
    ) -> dispatcher.Outcome:
        dispatch_result: dispatcher.Outcome = result.Err(
            failures.NoUpstream(
                f'no upstream offers {call.target}',
                retry_after_seconds=1,
            ),
        )
        self.retries.earn()
        agents = self._candidates(call)
        agent = agents.take()
        attempts = 0
        may_have_run = False
        while agent is not None:
            if not attempts or self._may_retry(agent, call, dispatch_result):
                attempts += 1
                dispatch = dispatcher.Dispatch(
                    self.connections,
                    agent,
                    request_id,
                    call,
                    deadline,
                )
                dispatch_result = await self._dispatch(dispatch, sink)
                if not _may_try_another(dispatch, dispatch_result):
                    break
                ran = dispatch_result.unwrap_err().ran
                may_have_run = may_have_run or ran is not failures.Ran.no
            agent = await agents.take_after(dispatch_result.unwrap_err())
        return _without_promise(dispatch_result, may_have_run=may_have_run)

    async def _dispatch(
        self,
        dispatch: dispatcher.Dispatch,
        sink: dispatcher.Sink,
    ) -> dispatcher.Outcome:
        health = self.router.health(dispatch.agent)
        health.record_dispatch(clock.monotonic_seconds())
        dispatch_result = await dispatch.run(sink)
        if dispatch_result.is_ok():
            health.record_success()
        elif not isinstance(dispatch_result.unwrap_err(), REFUSALS):
            health.record_failure(clock.monotonic_seconds())
        return dispatch_result

    def _candidates(self, call: relay_pb2.Call) -> candidates.Candidates:
        return candidates.Candidates(
            self.holder,
            lambda: self._ranked_agents(call),
            clock.monotonic_seconds(),
        )

    def _ranked_agents(
        self,
        call: relay_pb2.Call,
    ) -> list[membership_pb2.Announcement]:
        return self.router.order(
            call,
            self.holder.agents_for(call.target),
            clock.monotonic_seconds(),
        )

    def _may_retry(
        self,
        agent: membership_pb2.Announcement,
        call: relay_pb2.Call,
        dispatch_result: dispatcher.Outcome,
    ) -> bool:
        """Return whether the request may be sent to one more agent.

        A retry spends from the retry budget, so that retries don't add to an
        overload. A request that did not run spends nothing in two cases: the
        load report of `agent` shows room or a waiting request of a lower tier,
        or the previous agent was leaving or unreachable.
        """
        failure = dispatch_result.unwrap_err()
        if failure.ran is failures.Ran.no:
            if scoring.has_capacity(agent, call.tier):
                return True
            if isinstance(failure, candidates.AGENT_GONE_FAILURES):
                return True
        return self.retries.spend()

    def _count_entries(self) -> int:
        return sum(
            process.role == membership_pb2.Role.ENTRY and not process.leaving
            for process in self.holder.processes.values()
        )


def _without_promise(
    dispatch_result: dispatcher.Outcome, *, may_have_run: bool
) -> dispatcher.Outcome:
    """Return the last result; it can't say "not run" for earlier attempts."""
    if dispatch_result.is_ok() or not may_have_run:
        return dispatch_result
    failure = dispatch_result.unwrap_err()
    if failure.ran is not failures.Ran.no:
        return dispatch_result
    return result.Err(
        failures.OutcomeUnknown(failure.message, failures.Ran.unknown)
    )


def _may_try_another(
    dispatch: dispatcher.Dispatch,
    dispatch_result: dispatcher.Outcome,
) -> bool:
    """Return whether the request may be sent to another agent.

    It may if it did not run, or if it is idempotent. Once the caller has
    received a part of the answer, or the deadline has passed, it may not.
    """
    if dispatch_result.is_ok() or dispatch.progress.started:
        return False
    failure = dispatch_result.unwrap_err()
    if isinstance(failure, failures.TimedOut):
        return False
    if failure.ran is failures.Ran.no:
        return True
    return dispatch.call.idempotent
