"""Answer callers over HTTP."""

import asyncio
import http
import json
import logging
import typing

import result
from tornado import iostream

from cranberryrill import clock, failures, tracing
from cranberryrill.callers import (
    gateway,
    validation,
    readiness,
    request_body,
    refusals,
)
from cranberryrill.keys import digests
from cranberryrill.membership import serving_lease
from cranberryrill.relay import deadlines, dispatcher, relay_pb2, timing

LOGGER = logging.getLogger(__name__)
REQUEST_ID_HEADER = 'X-Request-Id'
CLASS_HEADER = 'X-Request-Class'
PASSED_ON = frozenset(('content-type', 'accept', 'accept-language'))
HOP_HEADERS = frozenset(('content-length', 'transfer-encoding', 'connection'))


class CallerHandler(request_body.BodyHandler):
    """Authenticate a caller and deliver the answer to its request."""

    def initialize(
        self,
        shared_gateway: gateway.Gateway,
        holder: serving_lease.Holder,
        open_requests: set['CallerHandler'],
        entry: readiness.Readiness,
        limits: request_body.Limits,
    ) -> None:
        """Take what all requests of this process share."""
        self.gateway = shared_gateway
        self.holder = holder
        self.open_requests = open_requests
        self.entry = entry
        self.limits = limits
        self.request_id = shared_gateway.numbers.new_request_id()
        self.digest = b''
        self.organisation = ''
        self.idempotency_key = ''
        self.delivery: asyncio.Task[dispatcher.Outcome] | None = None
        self.interruption: failures.Failure | None = None
        self.started = False
        self.caller_left = False
        self.timer: asyncio.TimerHandle | None = None

    def prepare(self) -> None:
        """Refuse whoever has no valid key, before the body is read."""
        self.entry.begin(self)
        self.set_header(REQUEST_ID_HEADER, self.request_id)
        if self.entry.unready:
            # A caller that keeps its connection has to find another entry.
            self.set_header('Connection', 'close')
        failure = self.authenticate(clock.monotonic_seconds())
        if failure is None:
            failure = validation.find_fault(self.request)
        if failure is not None:
            self.refuse(failure)
            return
        self.expect_body()

    def authenticate(self, now: float) -> failures.Failure | None:
        """Find the organisation of the caller's key."""
        if self.entry.stopping:
            return refusals.Stopping(
                'this entry is about to stop',
                retry_after_seconds=1,
            )
        if not self.holder.may_serve(now):
            return failures.NotServing(
                'this entry has no current configuration',
                retry_after_seconds=1,
            )
        header = self.request.headers.get('Authorization', '')
        digest = digests.bearer_digest(header)
        if digest is None:
            return failures.MissingKey('a bearer token is needed')
        organisation = self.holder.serving.organisation_of(digest)
        if organisation is None:
            return failures.InvalidKey('the key is unknown or withdrawn')
        self.digest = digest
        self.organisation = organisation
        return None

    def on_finish(self) -> None:
        """Take note of the end of this request."""
        self.body_arrived()
        self.entry.end(self)

    async def deliver(self, call: relay_pb2.Call, timeout_ms: int) -> None:
        """Run the call and pass its answer to the caller in time."""
        fault = self._find_fault(call)
        if fault is not None:
            self.refuse(fault)
            return
        timeout = validation.shorter_timeout(self.request.headers, timeout_ms)
        if isinstance(timeout, result.Err):
            self.refuse(timeout.err_value)
            return
        deadline = deadlines.from_timeout(
            timeout.ok_value,
            clock.monotonic_seconds(),
        )
        span = tracing.start(
            'entry',
            self.request.headers.get('traceparent', ''),
            self.request_id,
        )
        call.traceparent = tracing.header_of(span)
        self.delivery = asyncio.create_task(self._delivering(call, deadline))
        overdue = asyncio.get_running_loop().call_later(
            timeout.ok_value / deadlines.MILLISECONDS_PER_SECOND
            + timing.DEADLINE_GRACE_SECONDS,
            self._time_out,
        )
        self.open_requests.add(self)
        try:
            ended = await self.delivery
        except asyncio.CancelledError:
            self._interrupted()
            return
        except (iostream.StreamClosedError, dispatcher.CallerLeft):
            return
        finally:
            overdue.cancel()
            self.open_requests.discard(self)
            span.end()
        if ended.is_ok():
            self.finish()
        else:
            self.fail(ended.unwrap_err())

    def fail(self, failure: failures.Failure) -> None:
        """Tell the caller of a failure, also in mid-stream."""
        LOGGER.info(
            'request failed',
            extra={
                'request_id': self.request_id,
                'code': failure.code,
                'ran': failure.ran.value,
            },
        )
        if not self._headers_written:
            self.clear_answer()
            self.refuse(failure)
            return
        if self._streams_events():
            body = json.dumps(failures.error_body(failure, self.request_id))
            self.write(f'event: error\ndata: {body}\n\n')
            self.finish()
            return
        # Nothing can follow a part of a plain body: break the connection off.
        self.entry.end(self)
        self.detach().close()

    def interrupt(self, failure: failures.Failure) -> None:
        """End an open request with `failure`."""
        self.interruption = failure
        if self.delivery is not None:
            self.delivery.cancel()

    def on_connection_close(self) -> None:
        """Stop the work for a caller who left."""
        super().on_connection_close()
        self.caller_left = True
        self.entry.end(self)
        if self.delivery is not None:
            self.delivery.cancel()

    async def start(self, head: relay_pb2.Head) -> None:
        """Take the upstream's status and headers."""
        self.started = True
        self.set_status(head.status)
        for header in head.headers:
            if header.name.lower() not in HOP_HEADERS:
                self.set_header(header.name, header.value)

    async def write_part(self, content: bytes) -> None:
        """Pass a part of the body on, as fast as the caller reads."""
        self.write(content)
        try:
            await self.flush()
        except iostream.StreamClosedError as error:
            raise dispatcher.CallerLeft from error

    def passed_headers(self) -> list[relay_pb2.Header]:
        """Return the caller's headers that an upstream may see."""
        return [
            relay_pb2.Header(name=name, value=value)
            for name, value in self.request.headers.get_all()
            if name.lower() in PASSED_ON
        ]

    def clear_answer(self) -> None:
        """Forget what the upstream's head has set."""
        self.clear()
        self.set_header(REQUEST_ID_HEADER, self.request_id)

    def write_error(self, status_code: int, **kwargs: typing.Any) -> None:
        """Answer an unforeseen error with a typed body."""
        failure = failures.Failure(self._reason)
        if status_code == http.HTTPStatus.METHOD_NOT_ALLOWED:
            failure = refusals.MethodNotAllowed(self._reason)
        if self.delivery is not None:
            failure = failures.Failure(self._reason, failures.Ran.unknown)
        if not self._finished:
            self.finish(failures.error_body(failure, self.request_id))

    def _find_fault(self, call: relay_pb2.Call) -> failures.Failure | None:
        fault = validation.find_fault(self.request)
        if fault is not None:
            return fault
        read = validation.idempotency_key(self.request.headers)
        if isinstance(read, result.Err):
            return read.err_value
        self.idempotency_key = read.ok_value
        passed = [header.value for header in call.headers]
        return validation.find_exposed_key(
            self.request,
            (*passed, self.idempotency_key),
            self.holder.serving.organisation_of,
        )

    def _time_out(self) -> None:
        ran = failures.Ran.yes if self.started else failures.Ran.unknown
        self.interrupt(
            failures.TimedOut('the time for the request is over', ran),
        )

    async def _delivering(
        self,
        call: relay_pb2.Call,
        deadline: deadlines.Deadline,
    ) -> dispatcher.Outcome:
        if self.idempotency_key:
            return await self.gateway.deliver_claimed(
                self.request_id,
                call,
                self.idempotency_key,
                self,
                deadline,
            )
        return await self.gateway.deliver(
            self.request_id,
            call,
            self,
            deadline,
        )

    def _streams_events(self) -> bool:
        kind = self._headers.get('Content-Type', '')
        return kind.startswith('text/event-stream')

    def _interrupted(self) -> None:
        if self.interruption is not None:
            self.fail(self.interruption)
