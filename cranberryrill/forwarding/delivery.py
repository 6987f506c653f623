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
    verdicts,
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
        shared: attempts.Surroundings,
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
    ) -> attempts.Tried | None:
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
    ) -> attempts.Tried | None:
        upstream = choice.upstream
        while not sent.has_head and sent.ending is None:
            if not await self._wait(sent):
                upstream.record_outcome(self._now(), failed=True)
                return attempts.timed_out()
        if not sent.has_head:
            return attempts.broken_before_head(sent, upstream, self._now())
        now = self._now()
        self.shared.note_answer(
            self.admitted,
            choice,
            upstream.prefill_tokens.get(sent, 0),
            now - sent_at,
        )
        upstream.start_answer(sent)
        upstream.record_load(sent.first(self.shared.names.load) or '', now)
        verdict = verdicts.judge(
            sent,
            self.admitted.metadata.attempt_id,
            self.shared.names,
        )
        if verdict is verdicts.Verdict.rejected:
            if sent.status == http.HTTPStatus.MISDIRECTED_REQUEST:
                upstream.mark_replaced(now)
            return attempts.Tried(
                failures.Ran.no, f'rejected with {sent.status}'
            )
        upstream.record_outcome(
            now,
            failed=verdict is not verdicts.Verdict.success,
        )
        if verdict is verdicts.Verdict.foreign:
            return attempts.Tried(failures.Ran.unknown, 'not the answer to it')
        self._count_start(now)
        self.shared.note_read(upstream, self.admitted)
        if verdict is verdicts.Verdict.success and self.admitted.route.streams:
            return await self._relay_events(sent)
        return await self._relay_whole(sent, verdict)

    async def _relay_whole(
        self,
        sent: exchange.Exchange,
        verdict: verdicts.Verdict,
    ) -> attempts.Tried | None:
        body = bytearray()
        while sent.ending is None:
            body += sent.take_content()
            if len(body) > HELD_BYTES:
                return await self._relay_bytes(sent, bytes(body))
            if not await self._wait(sent):
                return attempts.timed_out()
        body += sent.take_content()
        if not isinstance(sent.ending, exchange.Complete):
            return attempts.Tried(failures.Ran.unknown, attempts.cause_of(sent))
        answer = attempts.Answer(
            sent.status,
            tuple(headers.for_caller(sent.headers)),
            bytes(body),
        )
        if verdict is verdicts.Verdict.failure:
            return attempts.Tried(
                failures.Ran.yes, 'failed there', answer=answer
            )
        await self._send(answer)
        return None

    async def _relay_bytes(
        self,
        sent: exchange.Exchange,
        body: bytes,
    ) -> attempts.Tried | None:
        """Pass on an answer that is too large to hold."""
        await self._start(sent, body)
        while sent.ending is None or sent.content:
            content = sent.take_content()
            if content:
                await self.reply.extend(content)
            elif not await self._wait(sent):
                return attempts.timed_out()
        if not isinstance(sent.ending, exchange.Complete):
            return attempts.Tried(failures.Ran.unknown, attempts.cause_of(sent))
        self._finish()
        return None

    async def _relay_events(
        self, sent: exchange.Exchange
    ) -> attempts.Tried | None:
        while True:
            content = sent.take_content()
            whole = self.events.feed(content) if content else b''
            if whole:
                await self._pass_on(sent, whole)
            elif sent.ending is not None and not sent.content:
                break
            elif not await self._wait(sent):
                self.events.drop_partial()
                return attempts.timed_out()
        return await self._end_events(sent)

    async def _end_events(
        self, sent: exchange.Exchange
    ) -> attempts.Tried | None:
        partial = self.events.partial
        self.events.drop_partial()
        if not isinstance(sent.ending, exchange.Complete):
            return attempts.Tried(failures.Ran.unknown, attempts.cause_of(sent))
        if partial and not attempts.is_framed(sent):
            return attempts.Tried(failures.Ran.unknown, 'ended within an event')
        if partial or not self.reply.started:
            await self._pass_on(sent, partial)
        self._finish()
        return None

    async def _pass_on(self, sent: exchange.Exchange, content: bytes) -> None:
        if self.reply.started:
            await self.reply.extend(content)
        else:
            await self._start(sent, content)

    async def _start(self, sent: exchange.Exchange, content: bytes) -> None:
        await self.reply.start(
            sent.status,
            headers.for_caller(sent.headers),
            content,
        )

    async def _send(self, answer: attempts.Answer) -> None:
        self.outcome = 'answered'
        await self.reply.send_whole(
            answer.status,
            answer.headers,
            answer.body,
        )

    def _finish(self) -> None:
        self.outcome = 'answered'
        self.reply.finish()

    async def _give_up(self, tried: attempts.Tried) -> None:
        if self.reply.started:
            # It must not look whole.
            self.outcome = 'broken_off'
            return
        if tried.answer is None:
            await self._refuse(self._failure_of(tried))
            return
        await self._send(tried.answer)
        self.outcome = 'failed_upstream'

    def _failure_of(self, tried: attempts.Tried) -> failures.Failure:
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
                retry_after_seconds=self.shared.retry_after(self.admitted, now),
            )
        return failures.UpstreamFailed(
            'no other upstream is known',
            failures.Ran.unknown,
        )

    def _no_place(self, tried: attempts.Tried) -> failures.Failure:
        return failures.NoPlace(
            tried.cause,
            retry_after_seconds=self.shared.retry_after(
                self.admitted,
                self._now(),
            ),
        )

    def _may_try_again(self, tried: attempts.Tried) -> bool:
        now = self._now()
        if not retry_policy.may_retry(
            self.admitted.route,
            self.progress,
            self.admitted.deadline - now,
        ):
            return False
        if self.reply.started and not self._can_resume():
            return False
        if not tried.arrived:
            return True
        service = self.admitted.service.name
        held = self.shared.budget_of(service, now)
        return held.try_spend(now, self.shared.processes())

    def _can_resume(self) -> bool:
        return self.admitted.route.resumable and bool(self.events.last_id)

    def _note(self, tried: attempts.Tried, choice: placement.Choice) -> None:
        self.progress = self.progress.with_attempt(tried.ran)
        self.tried |= {choice.upstream.id}
        LOGGER.info(
            'attempt failed',
            extra={
                'request_id': self.admitted.metadata.attempt_id,
                'upstream': choice.upstream.id,
                'cause': tried.cause,
                'ran': tried.ran.value,
                'events': self.events.events,
            },
        )

    def _call(self, choice: placement.Choice, now: float) -> exchange.Call:
        upstream = choice.upstream
        admitted = self.admitted
        left = (admitted.deadline - now) * MILLISECONDS_PER_SECOND
        priority = None
        if admitted.service.engine is not None:
            priority = min(admitted.rank, LOWEST_PRIORITY)
        dispatch = headers.Dispatch(
            expected_upstream=upstream.id,
            deadline_ms=max(int(left), 1),
            organisation=admitted.organisation,
            priority=priority,
            fetch_from=attempts.address_of(choice.fetch_from),
            last_event_id=self.events.last_id if self.reply.started else '',
        )
        return exchange.Call(
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
            self.shared.count_start(self.admitted, now)

    async def _wait(self, sent: exchange.Exchange) -> bool:
        return await sent.wait(self.admitted.deadline - self._now())

    def _now(self) -> float:
        return clock.monotonic_seconds()
