"""Bring one request to upstreams and its answer back to the caller."""

import http
import logging

from cranberryrill import clock, failures
from cranberryrill.forwarding import (
    admission,
    attempts,
    decode_pool,
    events,
    exchange,
    headers,
    placement,
    reply,
    retry_policy,
    response_kind,
)

LOGGER = logging.getLogger(__name__)
MILLISECONDS_PER_SECOND = 1000
# More of an answer than this is passed on before it is whole.
HELD_BYTES = 262_144
LOWEST_PRIORITY = 9


class Delivery:
    """Follow one request to its final answer."""

    def __init__(
        self,
        admitted: admission.Admitted,
        answering: reply.Reply,
        shared: attempts.DeliveryContext,
    ) -> None:
        self.admitted = admitted
        self.reply = answering
        self.shared = shared
        self.progress = retry_policy.Progress()
        self.tried: frozenset[str] = frozenset()
        self.events = events.EventBuffer()
        self.counted = False
        self.attempts = 0
        self.upstream = ''
        self.outcome = 'caller_left'

    async def run(self) -> None:
        """Try upstreams until there is a final answer."""
        refused = await self.shared.wait_turn(self.admitted)
        if refused is not None:
            await self._refuse(refused)
            return
        while True:
            now = clock.monotonic_seconds()
            choice = self.shared.place(self.admitted, self.tried, now)
            if choice is None:
                await self._refuse(self._no_upstream(now))
                return
            tried = await self._attempt(choice, now)
            if tried is None:
                return
            self._note(tried, choice)
            if not self._may_try_again(tried):
                await self._give_up(tried)
                return

    async def _attempt(
        self,
        choice: placement.Choice,
        now: float,
    ) -> attempts.FailedAttempt | None:
        """Send the request once; return nothing once the answer is final."""
        upstream = choice.upstream
        self.attempts += 1
        self.upstream = upstream.id
        sent = exchange.Exchange(self._call(choice, now), self.shared.driver)
        is_long = decode_pool.is_decode_heavy(self.admitted.metadata)
        upstream.start_request(sent, choice.missing_tokens, is_long=is_long)
        for part in self.admitted.metadata.parts:
            upstream.cache.record(part.id, part.tokens, is_ready=False)
        try:
            sent.start()
            return await self._follow(sent, choice, now)
        finally:
            sent.stop()
            upstream.end_request(sent, is_long=is_long)

    async def _follow(
        self,
        sent: exchange.Exchange,
        choice: placement.Choice,
        sent_at: float,
    ) -> attempts.FailedAttempt | None:
        upstream = choice.upstream
        while not sent.has_head and sent.ending is None:
            if not await self._wait(sent):
                upstream.record_outcome(self._now(), failed=True)
                return attempts.timed_out_attempt()
        if not sent.has_head:
            return attempts.failed_before_head(sent, upstream, self._now())
        now = self._now()
        self.shared.record_response_start(
            self.admitted,
            choice,
            upstream.prefill_tokens.get(sent, 0),
            now - sent_at,
        )
        upstream.start_answer(sent)
        upstream.record_load(
            sent.first_header(self.shared.names.load) or '', now
        )
        verdict = response_kind.classify(
            sent,
            self.admitted.metadata.attempt_id,
            self.shared.names,
        )
        if verdict is response_kind.ResponseKind.rejected:
            if sent.status == http.HTTPStatus.MISDIRECTED_REQUEST:
                upstream.mark_replaced(now)
            return attempts.FailedAttempt(
                failures.Ran.no, f'rejected with {sent.status}'
            )
        upstream.record_outcome(
            now,
            failed=verdict is not response_kind.ResponseKind.success,
        )
        if verdict is response_kind.ResponseKind.foreign:
            return attempts.FailedAttempt(
                failures.Ran.unknown, 'not the answer to it'
            )
        self._count_start(now)
        self.shared.record_prompt_read(upstream, self.admitted)
        if (
            verdict is response_kind.ResponseKind.success
            and self.admitted.route.streams
        ):
            return await self._relay_events(sent)
        return await self._relay_whole(sent, verdict)

    async def _relay_whole(
        self,
        sent: exchange.Exchange,
        verdict: response_kind.ResponseKind,
    ) -> attempts.FailedAttempt | None:
        body = bytearray()
        while sent.ending is None:
            body += sent.read_content()
            if len(body) > HELD_BYTES:
                return await self._relay_bytes(sent, bytes(body))
            if not await self._wait(sent):
                return attempts.timed_out_attempt()
        body += sent.read_content()
        if not isinstance(sent.ending, exchange.Complete):
            return attempts.FailedAttempt(
                failures.Ran.unknown, attempts.failure_cause(sent)
            )
        answer = attempts.Response(
            sent.status,
            tuple(headers.for_caller(sent.headers)),
            bytes(body),
        )
        if verdict is response_kind.ResponseKind.failure:
            return attempts.FailedAttempt(
                failures.Ran.yes, 'failed there', response=answer
            )
        await self._send(answer)
        return None

    async def _relay_bytes(
        self,
        sent: exchange.Exchange,
        body: bytes,
    ) -> attempts.FailedAttempt | None:
        """Pass on an answer that is too large to hold."""
        await self._start(sent, body)
        while sent.ending is None or sent.content:
            content = sent.read_content()
            if content:
                await self.reply.write(content)
            elif not await self._wait(sent):
                return attempts.timed_out_attempt()
        if not isinstance(sent.ending, exchange.Complete):
            return attempts.FailedAttempt(
                failures.Ran.unknown, attempts.failure_cause(sent)
            )
        self._finish()
        return None

    async def _relay_events(
        self, sent: exchange.Exchange
    ) -> attempts.FailedAttempt | None:
        while True:
            content = sent.read_content()
            whole = self.events.feed(content) if content else b''
            if whole:
                await self._pass_on(sent, whole)
            elif sent.ending is not None and not sent.content:
                break
            elif not await self._wait(sent):
                self.events.drop_partial()
                return attempts.timed_out_attempt()
        return await self._end_events(sent)

    async def _end_events(
        self, sent: exchange.Exchange
    ) -> attempts.FailedAttempt | None:
        partial = self.events.partial
        self.events.drop_partial()
        if not isinstance(sent.ending, exchange.Complete):
            return attempts.FailedAttempt(
                failures.Ran.unknown, attempts.failure_cause(sent)
            )
        if partial and not attempts.has_framing(sent):
            return attempts.FailedAttempt(
                failures.Ran.unknown, 'ended within an event'
            )
        if partial or not self.reply.started:
            await self._pass_on(sent, partial)
        self._finish()
        return None

    async def _pass_on(self, sent: exchange.Exchange, content: bytes) -> None:
        if self.reply.started:
            await self.reply.write(content)
        else:
            await self._start(sent, content)

    async def _start(self, sent: exchange.Exchange, content: bytes) -> None:
        await self.reply.start(
            sent.status,
            headers.for_caller(sent.headers),
            content,
        )

    async def _send(self, answer: attempts.Response) -> None:
        self.outcome = 'answered'
        await self.reply.send_full(
            answer.status,
            answer.headers,
            answer.body,
        )

    def _finish(self) -> None:
        self.outcome = 'answered'
        self.reply.finish()

    async def _give_up(self, tried: attempts.FailedAttempt) -> None:
        if self.reply.started:
            # It must not look whole.
            self.outcome = 'broken_off'
            return
        if tried.response is None:
            await self._refuse(self._failure_of(tried))
            return
        await self._send(tried.response)
        self.outcome = 'failed_upstream'

    def _failure_of(self, tried: attempts.FailedAttempt) -> failures.Failure:
        if self.progress.ran is failures.Ran.no:
            return self._no_place(tried)
        if tried.timed_out:
            return failures.TimedOut(tried.cause, failures.Ran.unknown)
        return failures.UpstreamFailed(tried.cause, failures.Ran.unknown)

    async def _refuse(self, failure: failures.Failure) -> None:
        if self.reply.started:
            self.outcome = 'broken_off'
            return
        self.outcome = failure.code
        await self.reply.refuse(failure, self.admitted.metadata.attempt_id)

    def _no_upstream(self, now: float) -> failures.Failure:
        if self.progress.ran is failures.Ran.no:
            return failures.NoUpstream(
                'no upstream of the service is known',
                retry_after_seconds=self.shared.retry_after_seconds(
                    self.admitted, now
                ),
            )
        return failures.UpstreamFailed(
            'no other upstream is known',
            failures.Ran.unknown,
        )

    def _no_place(self, tried: attempts.FailedAttempt) -> failures.Failure:
        return failures.NoPlace(
            tried.cause,
            retry_after_seconds=self.shared.retry_after_seconds(
                self.admitted,
                self._now(),
            ),
        )

    def _may_try_again(self, tried: attempts.FailedAttempt) -> bool:
        now = self._now()
        if not retry_policy.may_retry(
            self.admitted.route,
            self.progress,
            self.admitted.deadline - now,
        ):
            return False
        if self.reply.started and not self._can_resume():
            return False
        if not tried.reached_upstream:
            return True
        service = self.admitted.service.name
        held = self.shared.budget_for(service, now)
        return held.try_spend(now, self.shared.entry_count())

    def _can_resume(self) -> bool:
        return self.admitted.route.resumable and bool(self.events.last_id)

    def _note(
        self, tried: attempts.FailedAttempt, choice: placement.Choice
    ) -> None:
        self.progress = self.progress.with_attempt(tried.ran)
        self.tried |= {choice.upstream.id}
        LOGGER.info(
            'attempt failed',
            extra={
                'request_id': self.admitted.metadata.attempt_id,
                'upstream': choice.upstream.id,
                'cause': tried.cause,
                'ran': tried.ran.value,
                'events': self.events.event_count,
            },
        )

    def _call(
        self, choice: placement.Choice, now: float
    ) -> exchange.OutgoingRequest:
        upstream = choice.upstream
        admitted = self.admitted
        left = (admitted.deadline - now) * MILLISECONDS_PER_SECOND
        priority = None
        if admitted.service.engine is not None:
            priority = min(admitted.rank, LOWEST_PRIORITY)
        dispatch = headers.AddedHeaders(
            expected_upstream=upstream.id,
            deadline_ms=max(int(left), 1),
            organisation=admitted.organisation,
            priority=priority,
            fetch_from=attempts.address_of(choice.fetch_from),
            last_event_id=self.events.last_id if self.reply.started else '',
        )
        return exchange.OutgoingRequest(
            upstream.registration.host,
            upstream.registration.port,
            admitted.request.method,
            admitted.request.target,
            tuple(
                headers.for_upstream(
                    admitted.request,
                    self.shared.names,
                    dispatch,
                ),
            ),
            admitted.request.body,
        )

    def _count_start(self, now: float) -> None:
        if not self.counted:
            self.counted = True
            self.shared.count_started_request(self.admitted, now)

    async def _wait(self, sent: exchange.Exchange) -> bool:
        return await sent.wait(self.admitted.deadline - self._now())

    def _now(self) -> float:
        return clock.monotonic_seconds()
