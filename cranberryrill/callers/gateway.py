"""Carry callers' requests to agents."""

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

# An agent that refuses is in good health.
REFUSALS = (failures.Overloaded, failures.AgentLeaving)


class Gateway:
    """Choose an agent for each request and deliver its answer."""

    def __init__(
        self,
        holder: serving_lease.Holder,
        dialer: transport.Dialer,
        router: routers.Router,
        claimer: claim_client.ClaimClient,
    ) -> None:
        self.holder = holder
        self.connections = connections.ConnectionPool(dialer)
        self.router = router
        self.claimer = claimer
        self.retries = budget.RetryBudget()
        self.limiter = rate_limiter.RateLimiter(lambda: holder.serving)
        self.numbers = request_ids.RequestIdGenerator()

    async def deliver(
        self,
        request_id: str,
        call: relay_pb2.Call,
        sink: dispatcher.Sink,
        deadline: deadlines.Deadline,
    ) -> dispatcher.Outcome:
        """Run the call at an agent that takes it, within all limits."""
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
        """Run the call under its key, or give the key's earlier answer."""
        delivery = claimed_delivery.ClaimedDelivery(
            self.holder,
            self.connections,
            self.claimer,
            call,
            self._candidates(call),
            deadline,
        )
        own = claim_client.new_claim(call, idempotency_key, request_id)
        return await self._within_limits(
            call,
            lambda: delivery.run(own, sink),
        )

    async def _within_limits(
        self,
        call: relay_pb2.Call,
        deliver: abc.Callable[[], abc.Awaitable[dispatcher.Outcome]],
    ) -> dispatcher.Outcome:
        entries = self._count_entries()
        admitted = self.limiter.admit(
            call.organisation,
            entries,
            clock.monotonic_seconds(),
        )
        if isinstance(admitted, result.Err):
            return result.Err(admitted.err_value)
        ended = await deliver()
        if isinstance(ended, result.Ok):
            final = ended.ok_value
            self.limiter.charge(
                call.organisation,
                final.prompt_tokens + final.output_tokens,
                entries,
                clock.monotonic_seconds(),
            )
        return ended

    async def _run(
        self,
        request_id: str,
        call: relay_pb2.Call,
        sink: dispatcher.Sink,
        deadline: deadlines.Deadline,
    ) -> dispatcher.Outcome:
        ended: dispatcher.Outcome = result.Err(
            failures.NoUpstream(
                f'no upstream offers {call.target}',
                retry_after_seconds=1,
            ),
        )
        self.retries.earn()
        pool = self._candidates(call)
        agent = pool.take()
        asked = 0
        while agent is not None:
            if not asked or self._may_ask(agent, call, ended):
                asked += 1
                dispatch = dispatcher.Dispatch(
                    self.connections,
                    agent,
                    request_id,
                    call,
                    deadline,
                )
                ended = await self._ask(dispatch, sink)
                if not _may_go_on(dispatch, ended):
                    break
            agent = await pool.take_after(ended.unwrap_err())
        return ended

    async def _ask(
        self,
        dispatch: dispatcher.Dispatch,
        sink: dispatcher.Sink,
    ) -> dispatcher.Outcome:
        health = self.router.health(dispatch.agent)
        health.record_dispatch(clock.monotonic_seconds())
        ended = await dispatch.run(sink)
        if ended.is_ok():
            health.record_success()
        elif not isinstance(ended.unwrap_err(), REFUSALS):
            health.record_failure(clock.monotonic_seconds())
        return ended

    def _candidates(self, call: relay_pb2.Call) -> candidates.Candidates:
        return candidates.Candidates(
            self.holder,
            lambda: self._agents(call),
            clock.monotonic_seconds(),
        )

    def _agents(
        self,
        call: relay_pb2.Call,
    ) -> list[membership_pb2.Announcement]:
        return self.router.order(
            call,
            self.holder.agents_for(call.target),
            clock.monotonic_seconds(),
        )

    def _may_ask(
        self,
        agent: membership_pb2.Announcement,
        call: relay_pb2.Call,
        ended: dispatcher.Outcome,
    ) -> bool:
        """Say whether asking one more agent can't add to an overload.

        An agent that says it has room, or lower tiers to send away, takes
        a refused request in place of other work. A leaving agent's requests
        are no retries. All else is paid from the budget, and so is each
        request that may have run before.
        """
        failure = ended.unwrap_err()
        if failure.ran is failures.Ran.no:
            if scoring.has_capacity(agent, call.tier):
                return True
            if isinstance(failure, candidates.PASSING):
                return True
        return self.retries.spend()

    def _count_entries(self) -> int:
        return sum(
            one.role == membership_pb2.Role.ENTRY and not one.leaving
            for one in self.holder.processes.values()
        )


def _may_go_on(
    dispatch: dispatcher.Dispatch,
    ended: dispatcher.Outcome,
) -> bool:
    """Say whether another agent may be asked.

    It may if nothing ran. What may be repeated is run again as long as the
    caller has been given nothing. After the deadline nothing is sent any more.
    """
    if ended.is_ok() or dispatch.progress.started:
        return False
    failure = ended.unwrap_err()
    if isinstance(failure, failures.TimedOut):
        return False
    if failure.ran is failures.Ran.no:
        return True
    return dispatch.call.idempotent
