"""Serve callers' requests by forwarding them to upstreams."""

import asyncio
import logging

import result

from cranberryrill import clock, failures, identifiers, tasks
from cranberryrill.forwarding import (
    admission,
    caller_request,
    delivery,
    dispatcher,
    instruments,
    refusals,
    reply,
    retry_policy,
)

LOGGER = logging.getLogger(__name__)
MILLISECONDS_PER_SECOND = 1000
# How often upstreams are closed while a data centre is being evacuated.
WITHDRAWAL_PERIOD_SECONDS = 0.05


class Forwarder:
    """Request handler of one process: admits, delivers and records requests."""

    def __init__(
        self,
        request_dispatcher: dispatcher.Dispatcher,
        metrics: instruments.Instruments,
    ) -> None:
        self.dispatcher = request_dispatcher
        self.holder = request_dispatcher.holder
        self.metrics = metrics
        self.started_at = clock.monotonic_seconds()
        self.shutdown: admission.Shutdown | None = None
        # Number of requests waiting for the first proof that this process has
        # the configuration that is in force.
        self.awaiting_proof = 0

    async def run_updates(self) -> None:
        """Apply configuration and registry updates until cancelled."""
        async with self.holder.updated:
            while True:
                self.dispatcher.update()
                await self.holder.updated.wait()

    async def run_withdrawals(self) -> None:
        """Close the upstreams of evacuated data centres until cancelled."""
        while True:
            async with self.holder.updated:
                await self.holder.updated.wait()
            while self.dispatcher.close_evacuated(clock.monotonic_seconds()):
                await asyncio.sleep(WITHDRAWAL_PERIOD_SECONDS)

    async def serve(
        self,
        request: caller_request.Request,
        caller_reply: reply.Reply,
    ) -> None:
        """Serve one request, or refuse it."""
        caller_reply.close_connection = self.shutdown is not None
        if not self.holder.first_proof.is_set():
            await self._await_first_proof(request)
        if not self.holder.may_serve(clock.monotonic_seconds()):
            refusal: failures.Failure = admission.not_serving_refusal(
                'the configuration may be out of date',
            )
            await self._refuse(request, caller_reply, refusal)
            return
        admitted = admission.admit(
            request,
            self.dispatcher.names,
            self.dispatcher.table,
            self.dispatcher.rng.random(),
        )
        if isinstance(admitted, result.Err):
            await self._refuse(request, caller_reply, admitted.err_value)
            return
        now = clock.monotonic_seconds()
        if admission.can_finish(admitted.ok_value, self.shutdown, now):
            await self._deliver(admitted.ok_value, caller_reply)
        else:
            await self._refuse(
                request, caller_reply, admission.stopping_refusal()
            )

    async def refuse_body(
        self, request: caller_request.Request, caller_reply: reply.Reply
    ) -> None:
        """Refuse a request whose body can't be held; it is not read."""
        failure = refusals.NoMemory(
            'too many large requests are open',
            retry_after_seconds=retry_policy.backoff_seconds(
                self.dispatcher.rng.random()
            ),
        )
        await self._refuse(request, caller_reply, failure)

    async def _await_first_proof(self, request: caller_request.Request) -> None:
        """Wait for the first proof after a start, if the caller can wait."""
        metadata = caller_request.read_metadata(request, self.dispatcher.names)
        seconds_left = float('inf')
        if metadata.deadline_ms is not None:
            seconds_left = metadata.deadline_ms / MILLISECONDS_PER_SECOND
        wait = admission.first_proof_wait(
            request.received_at - self.started_at,
            seconds_left,
            self.awaiting_proof,
        )
        if not wait:
            return
        self.awaiting_proof += 1
        try:
            proved = await tasks.wait_for_event(self.holder.first_proof, wait)
        finally:
            self.awaiting_proof -= 1
        waited = clock.monotonic_seconds() - request.received_at
        LOGGER.info(
            'first proof awaited',
            extra={
                'request_id': metadata.attempt_id,
                'waited_ms': int(waited * MILLISECONDS_PER_SECOND),
                'proved': proved,
            },
        )

    async def _deliver(
        self,
        admitted: admission.Admitted,
        caller_reply: reply.Reply,
    ) -> None:
        now = clock.monotonic_seconds()
        self.dispatcher.retry_budget_for(
            admitted.service.name, now
        ).record_request(now)
        request_delivery = delivery.Delivery(
            admitted, caller_reply, self.dispatcher, self.dispatcher.recorder
        )
        try:
            await request_delivery.run()
        except reply.CallerLeft:
            request_delivery.outcome = 'caller_left'
        finally:
            if request_delivery.outcome == 'broken_off':
                caller_reply.abort()
            self._record(request_delivery)

    async def _refuse(
        self,
        request: caller_request.Request,
        caller_reply: reply.Reply,
        failure: failures.Failure,
    ) -> None:
        request_id = request.header(self.dispatcher.names.attempt)
        if request_id is None:
            request_id = identifiers.new_identifier('request')
        LOGGER.info(
            'request refused',
            extra={
                'request_id': request_id,
                'code': failure.code,
                'status': failure.status,
                'cause': failure.message,
                'version': self.dispatcher.table.document.version,
            },
        )
        self.metrics.count('', failure.code, 0)
        await caller_reply.refuse(failure, request_id)

    def _record(self, ended: delivery.Delivery) -> None:
        admitted = ended.admitted
        now = clock.monotonic_seconds()
        seconds = now - admitted.request.received_at
        self.metrics.count(admitted.route.name, ended.outcome, seconds)
        self.metrics.lost_connections.labels(admitted.service.name).inc(
            ended.lost_connections
        )
        if ended.has_avoided:
            self.metrics.turned_elsewhere.labels(admitted.service.name).inc()
        LOGGER.info(
            'request ended',
            extra={
                'request_id': admitted.metadata.attempt_id,
                'route': admitted.route.name,
                'organisation': admitted.organisation,
                'outcome': ended.outcome,
                'status': ended.reply.status,
                'upstream': ended.upstream_id,
                'attempts': ended.attempt_count,
                'ran': _ran(ended),
                'events': ended.events.event_count,
                'elapsed_ms': int(seconds * MILLISECONDS_PER_SECOND),
            },
        )


def _ran(ended: delivery.Delivery) -> str:
    """Return whether a request ran at any upstream, as a log value."""
    return (
        failures.Ran.yes.value
        if ended.start_counted
        else ended.progress.ran.value
    )
