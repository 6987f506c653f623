"""Answer callers' requests with the help of upstreams."""

import logging

import result

from cranberryrill import clock, failures, identifiers, tasks
from cranberryrill.forwarding import (
    admission,
    caller_request,
    delivery,
    dispatcher,
    instruments,
    reply,
)

LOGGER = logging.getLogger(__name__)
MILLISECONDS_PER_SECOND = 1000


class Forwarder:
    """Take requests, have them delivered, and record how they ended."""

    def __init__(
        self,
        shared: dispatcher.Dispatcher,
        measured: instruments.Instruments,
    ) -> None:
        self.dispatcher = shared
        self.holder = shared.holder
        self.measured = measured
        self.started_at = clock.monotonic_seconds()
        self.stop: admission.Shutdown | None = None
        # How many requests wait for the first proof.
        self.awaiting = 0

    async def run_updates(self) -> None:
        """Follow the configuration and the registry."""
        async with self.holder.updated:
            while True:
                self.dispatcher.update()
                await self.holder.updated.wait()

    async def serve(
        self,
        request: caller_request.Request,
        answering: reply.Reply,
    ) -> None:
        """Answer one request."""
        answering.close_connection = self.stop is not None
        if not self.holder.first_proof.is_set():
            await self._await_first_proof(request)
        if not self.holder.may_serve(clock.monotonic_seconds()):
            refused: failures.Failure = admission.not_serving(
                'the configuration may be out of date',
            )
            await self._refuse(request, answering, refused)
            return
        admitted = admission.admit(
            request,
            self.dispatcher.names,
            self.dispatcher.table,
            self.dispatcher.rng.random(),
        )
        if isinstance(admitted, result.Err):
            await self._refuse(request, answering, admitted.err_value)
            return
        now = clock.monotonic_seconds()
        if admission.can_finish(admitted.ok_value, self.stop, now):
            await self._deliver(admitted.ok_value, answering)
        else:
            await self._refuse(request, answering, admission.stopping())

    async def _await_first_proof(self, request: caller_request.Request) -> None:
        """Wait for the first proof after a start, if that helps the caller."""
        asked = caller_request.read_metadata(request, self.dispatcher.names)
        time_left = float('inf')
        if asked.deadline_ms is not None:
            time_left = asked.deadline_ms / MILLISECONDS_PER_SECOND
        wait = admission.first_proof_wait(
            request.received_at - self.started_at,
            time_left,
            self.awaiting,
        )
        if not wait:
            return
        self.awaiting += 1
        try:
            proved = await tasks.is_set(self.holder.first_proof, wait)
        finally:
            self.awaiting -= 1
        waited = clock.monotonic_seconds() - request.received_at
        LOGGER.info(
            'first proof awaited',
            extra={
                'request_id': asked.attempt_id,
                'waited_ms': int(waited * MILLISECONDS_PER_SECOND),
                'proved': proved,
            },
        )

    async def _deliver(
        self,
        admitted: admission.Admitted,
        answering: reply.Reply,
    ) -> None:
        now = clock.monotonic_seconds()
        self.dispatcher.budget_for(admitted.service.name, now).record_request(
            now
        )
        one = delivery.Delivery(admitted, answering, self.dispatcher)
        try:
            await one.run()
        except reply.CallerLeft:
            one.outcome = 'caller_left'
        finally:
            if one.outcome == 'broken_off':
                answering.abort()
            self._record(one)

    async def _refuse(
        self,
        request: caller_request.Request,
        answering: reply.Reply,
        failure: failures.Failure,
    ) -> None:
        request_id = request.first(self.dispatcher.names.attempt)
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
        self.measured.count('', failure.code, 0)
        await answering.refuse(failure, request_id)

    def _record(self, one: delivery.Delivery) -> None:
        admitted = one.admitted
        now = clock.monotonic_seconds()
        seconds = now - admitted.request.received_at
        self.measured.count(admitted.route.name, one.outcome, seconds)
        LOGGER.info(
            'request ended',
            extra={
                'request_id': admitted.metadata.attempt_id,
                'route': admitted.route.name,
                'organisation': admitted.organisation,
                'outcome': one.outcome,
                'status': one.reply.status,
                'upstream': one.upstream,
                'attempts': one.attempts,
                'ran': _ran(one),
                'events': one.events.event_count,
                'elapsed_ms': int(seconds * MILLISECONDS_PER_SECOND),
            },
        )


def _ran(one: delivery.Delivery) -> str:
    """Say whether a request began to run anywhere."""
    return failures.Ran.yes.value if one.counted else one.progress.ran.value
