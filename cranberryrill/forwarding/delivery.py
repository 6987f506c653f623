"""Deliver one admitted request to upstreams and relay the response."""

import asyncio

from cranberryrill import clock, failures
from cranberryrill.forwarding import (
    admission,
    attempts,
    decode_pool,
    events,
    exchange,
    placement,
    refusals,
    relaying,
    reply,
    response_head,
    response_kind,
    retry_policy,
    upstream_request,
)
from cranberryrill.shares import recording


class Delivery:
    """Delivery of one request, in one or more attempts.

    `outcome` is the value in logs and metrics: `answered`, `broken_off`,
    `caller_left`, `failed_upstream` or the code of a failure. It starts as
    `caller_left`, since a caller that disconnects cancels the delivery.
    """

    def __init__(
        self,
        admitted: admission.Admitted,
        caller_reply: reply.Reply,
        context: attempts.DeliveryContext,
        recorder: recording.Recorder = recording.NULL_RECORDER,
    ) -> None:
        self.admitted = admitted
        self.reply = caller_reply
        self.context = context
        self.recorder = recorder
        self.progress = retry_policy.Progress()
        self.tried_ids: frozenset[str] = frozenset()
        self.events = events.EventBuffer()
        self.media_type = ''
        self.start_counted = False
        self.attempt_count = 0
        self.upstream_id = ''
        # Whether an upstream was left out because of what it asked for.
        self.has_avoided = False
        # When the response of the latest attempt started; None before that.
        self.responding_since: float | None = None
        # Number of attempts whose connection the upstream closed or reset.
        self.lost_connections = 0
        self.outcome = 'caller_left'

    async def run(self) -> None:
        """Try upstreams until the caller has a final response or a refusal."""
        while True:
            choice = await self._next_choice()
            if choice is None:
                return
            failed = await self._attempt(choice, self._now())
            if failed is None:
                self.outcome = 'answered'
                return
            self._record_failure(failed, choice)
            if not self._may_retry(failed):
                await self._finish_failed(failed)
                return

    async def _next_choice(self) -> placement.Choice | None:
        """Return the upstream to try next, or None after a refusal."""
        while not await self._refuse_quarantined():
            # A retry doesn't wait: its caller has waited for the first attempt.
            refusal = None
            if not self.tried_ids:
                refusal = await self.context.wait_in_queue(self.admitted)
            if refusal is not None:
                await self._refuse(refusal)
                return None
            # The request may have been quarantined during the wait.
            if await self._refuse_quarantined():
                return None
            now = self._now()
            choice = self.context.place(self.admitted, self.tried_ids, now)
            if choice is not None:
                return choice
            if self.tried_ids or not self.context.is_closed(self.admitted, now):
                retry_after = self.context.backoff(self.admitted, now)
                await self._refuse(
                    refusals.no_upstream(self.progress.ran, retry_after)
                )
                return None
            # Another request was sent first and used up what was allowed.
        return None

    async def _refuse_quarantined(self) -> bool:
        """Refuse a request that crashes upstreams; return whether it does."""
        key = self.context.crash_tracker.quarantined_key(
            self.admitted, self._now()
        )
        if key is None:
            return False
        await self._refuse(refusals.quarantined(key, self.progress.ran))
        return True

    async def _attempt(
        self, choice: placement.Choice, now: float
    ) -> attempts.Failed | None:
        """Send the request to an upstream; return None once it is answered."""
        upstream = choice.upstream
        self.attempt_count += 1
        self.upstream_id = upstream.id
        self.has_avoided = self.has_avoided or choice.has_avoided
        self.responding_since = None
        call = exchange.Exchange(
            self._outgoing_request(choice, now),
            self.context.driver,
            self.context.response_limits,
            self.context.response_buffers,
        )
        is_decode_heavy = decode_pool.is_decode_heavy(self.admitted.metadata)
        upstream.record_sent(now)
        upstream.start_request(
            call, choice.missing_tokens, is_decode_heavy=is_decode_heavy
        )
        self.recorder.start(self.admitted, now)
        if choice.observer is not None:
            choice.observer.start(call, now)
        for part in self.admitted.metadata.parts:
            upstream.cache.record(part.id, part.tokens, is_ready=False)
        try:
            call.start()
            failed = await self._receive(call, choice, now)
            self._record_loss(call, choice, failed)
            return failed
        except (asyncio.CancelledError, reply.CallerLeft):
            self.context.crash_tracker.forget_start(call)
            raise
        finally:
            call.stop()
            upstream.end_request(call, is_decode_heavy=is_decode_heavy)
            self.recorder.end(self.admitted, self._now())

    async def _receive(
        self, call: exchange.Exchange, choice: placement.Choice, sent_at: float
    ) -> attempts.Failed | None:
        """Wait for the head, record its values, and relay the response."""
        upstream = choice.upstream
        relay = relaying.ResponseRelay(
            call,
            self.reply,
            self.events,
            self.admitted.deadline,
            choice.observer,
        )
        while not call.has_head and call.ending is None:
            if not await relay.wait():
                upstream.record_outcome(self._now(), failed=True)
                return attempts.timed_out()
        if not call.has_head:
            return attempts.failed_before_head(call, upstream, self._now())
        now = self._now()
        if choice.latencies is not None:
            place = upstream.registration.data_centre
            choice.latencies.record(place, call.connect_seconds(), now)
        kind = self._record_head(call, choice, now, now - sent_at)
        if kind is response_kind.Kind.rejected:
            return attempts.Failed(
                failures.Ran.no, f'rejected with {call.status}'
            )
        if kind is response_kind.Kind.foreign:
            return attempts.Failed(failures.Ran.unknown, 'not the answer to it')
        if self.reply.started and not self._continues_stream(call, kind):
            return attempts.Failed(
                failures.Ran.unknown, 'not the rest of the stream'
            )
        self._count_start(now)
        self.context.record_prefilled_prompt(choice, self.admitted)
        self.media_type = attempts.media_type(call)
        is_success = kind is response_kind.Kind.success
        if is_success:
            # An upstream may fail before it comes to what would crash it.
            self.context.crash_tracker.record_start(
                call, upstream, self.admitted, now
            )
        if is_success and self.admitted.route.streams:
            limit_bytes = self.context.response_limits.event_bytes
            return await relay.relay_events(limit_bytes)
        return await relay.relay_buffered(kind)

    def _record_head(
        self,
        call: exchange.Exchange,
        choice: placement.Choice,
        now: float,
        seconds: float,
    ) -> response_kind.Kind:
        """Record what the head of a response says; return the kind of it.

        `seconds` is the time that the upstream took to start the response.
        """
        upstream = choice.upstream
        self.responding_since = now
        self.context.record_response_start(
            self.admitted, choice, upstream.prefill_tokens.get(call, 0), seconds
        )
        upstream.start_response(call)
        return response_head.record(
            call,
            upstream,
            self.admitted.metadata.attempt_id,
            self.context.names,
            now,
        )

    async def _finish_failed(self, failed: attempts.Failed) -> None:
        if self.reply.started:
            # The forwarder closes the connection, so the truncation is visible.
            self.outcome = 'broken_off'
            return
        if failed.response is None:
            retry_after = self.context.backoff(self.admitted, self._now())
            await self._refuse(
                refusals.after_attempt(failed, self.progress.ran, retry_after)
            )
            return
        response = failed.response
        await self.reply.send_full(
            response.status, response.headers, response.body
        )
        self.outcome = 'failed_upstream'

    def _record_loss(
        self,
        call: exchange.Exchange,
        choice: placement.Choice,
        failed: attempts.Failed | None,
    ) -> None:
        """Record an end of the connection that may be one of the upstream.

        A response without framing that ends with its connection looks complete
        if the upstream ends between two events.
        """
        tracker = self.context.crash_tracker
        if failed is not None and failed.connection_lost:
            choice.upstream.record_lost_connection(self._now())
        if failed is not None and not failed.reached_upstream:
            tracker.record_unreachable(choice.upstream, self._now())
            return
        is_certain = failed is not None and (
            failed.connection_lost or failed.timed_out
        )
        # What isn't a success may be the last that the upstream has sent.
        may_be_last = (
            not call.has_framing
            if failed is None
            else failed.ran is not failures.Ran.no
        )
        if choice.upstream.avoidance.pause_seconds(self._now()):
            # It asks for a pause, which is no sign of an end.
            may_be_last = False
        if is_certain or may_be_last:
            tracker.record_loss(
                choice.upstream,
                self.admitted,
                self.responding_since,
                self._now(),
                is_certain=is_certain,
            )

    async def _refuse(self, failure: failures.Failure) -> None:
        if self.reply.started:
            self.outcome = 'broken_off'
            return
        self.outcome = failure.code
        await self.reply.refuse(failure, self.admitted.metadata.attempt_id)

    def _may_retry(self, failed: attempts.Failed) -> bool:
        now = self._now()
        if not retry_policy.may_retry(
            self.admitted.route, self.progress, self.admitted.deadline - now
        ):
            return False
        if self.reply.started and not self._can_resume():
            return False
        if not failed.reached_upstream:
            return True
        tracker = self.context.crash_tracker
        if failed.connection_lost:
            # A retry might crash the next upstream.
            if tracker.may_crash_upstreams(self.admitted):
                return False
        service = self.admitted.service.name
        budget = self.context.retry_budget_for(service, now)
        return budget.try_spend(now, self.context.entry_count())

    def _continues_stream(
        self, call: exchange.Exchange, kind: response_kind.Kind
    ) -> bool:
        """Return whether a response may follow what the caller has received."""
        if kind is not response_kind.Kind.success:
            return False
        head = (call.status, attempts.media_type(call))
        return head == (self.reply.status, self.media_type)

    def _can_resume(self) -> bool:
        return self.admitted.route.resumable and bool(self.events.last_id)

    def _record_failure(
        self, failed: attempts.Failed, choice: placement.Choice
    ) -> None:
        self.progress = self.progress.with_attempt(failed.ran)
        self.tried_ids |= {choice.upstream.id}
        self.lost_connections += failed.connection_lost
        attempts.log_failed(
            self.admitted,
            choice.upstream,
            failed,
            self.events.event_count,
            self._responding_ms(),
        )

    def _responding_ms(self) -> int | None:
        """Return how long the latest attempt's response has been running."""
        if self.responding_since is None:
            return None
        seconds = self._now() - self.responding_since
        return int(seconds * attempts.MILLISECONDS_PER_SECOND)

    def _outgoing_request(
        self, choice: placement.Choice, now: float
    ) -> upstream_request.OutgoingRequest:
        last_event_id = self.events.last_id if self.reply.started else ''
        return attempts.outgoing_request(
            self.admitted, choice, self.context.names, last_event_id, now
        )

    def _count_start(self, now: float) -> None:
        if not self.start_counted:
            self.start_counted = True
            self.context.count_started_request(self.admitted, now)

    def _now(self) -> float:
        return clock.monotonic_seconds()
