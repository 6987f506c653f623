"""Base HTTP handler: authenticate, deliver and respond to callers."""

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
    readiness,
    refusals,
    request_body,
    validation,
)
from cranberryrill.keys import digests
from cranberryrill.membership import serving_lease
from cranberryrill.relay import deadlines, dispatcher, relay_pb2, timing

LOGGER = logging.getLogger(__name__)
REQUEST_ID_HEADER = 'X-Request-Id'
CLASS_HEADER = 'X-Request-Class'
FORWARDED_HEADERS = frozenset(('content-type', 'accept', 'accept-language'))
# The entry sets these for its own connection to the caller.
DROPPED_RESPONSE_HEADERS = frozenset(
    ('content-length', 'transfer-encoding', 'connection'),
)


class CallerHandler(request_body.BodyHandler):
    """Base handler that authenticates a caller and delivers its request.

    As the sink of the delivery, it writes the answer to the caller.
    """

    def initialize(
        self,
        shared_gateway: gateway.Gateway,
        holder: serving_lease.Holder,
        open_requests: set['CallerHandler'],
        entry: readiness.Readiness,
        limits: request_body.Limits,
    ) -> None:
        """Set the objects that all requests of this process share."""
        self.gateway = shared_gateway
        self.holder = holder
        self.open_requests = open_requests
        self.entry_readiness = entry
        self.limits = limits
        self.request_id = shared_gateway.request_ids.new_request_id()
        self.digest = b''
        self.organisation = ''
        self.idempotency_key = ''
        self.delivery: asyncio.Task[dispatcher.Outcome] | None = None
        self.interruption: failures.Failure | None = None
        self.started = False
        self.caller_left = False
        self.body_timer: asyncio.TimerHandle | None = None

    def prepare(self) -> None:
        """Authenticate and validate the request before its body is read."""
        self.entry_readiness.begin(self)
        self.set_header(REQUEST_ID_HEADER, self.request_id)
        if self.entry_readiness.unready:
            # Makes a caller with a persistent connection reconnect, through the
            # load balancer, to another entry.
            self.set_header('Connection', 'close')
        failure = self.authenticate(clock.monotonic_seconds())
        if failure is None:
            failure = validation.validate_request(self.request)
        if failure is not None:
            self.refuse(failure)
            return
        self.enforce_body_limits()

    def authenticate(self, now: float) -> failures.Failure | None:
        """Set the organisation of the caller's key.

        Return why the caller can't be served, or None if it can. `now` is in
        seconds on the monotonic clock.
        """
        if self.entry_readiness.stopping:
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
        organisation = self.holder.configuration.organisation_for_key(digest)
        if organisation is None:
            return failures.InvalidKey('the key is unknown or withdrawn')
        self.digest = digest
        self.organisation = organisation
        return None

    def on_finish(self) -> None:
        """Remove this request from the open ones."""
        self.cancel_body_timer()
        self.entry_readiness.end(self)

    async def deliver(self, call: relay_pb2.Call, timeout_ms: int) -> None:
        """Run the call and stream its answer to the caller.

        The timeout is `timeout_ms`, or the caller's own if that is shorter.
        """
        failure = self._validate_call(call)
        if failure is not None:
            self.refuse(failure)
            return
        timeout = validation.effective_timeout_ms(
            self.request.headers,
            timeout_ms,
        )
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
        call.traceparent = tracing.traceparent_of(span)
        self.delivery = asyncio.create_task(self._run_delivery(call, deadline))
        timeout_timer = asyncio.get_running_loop().call_later(
            timeout.ok_value / deadlines.MILLISECONDS_PER_SECOND
            + timing.DEADLINE_GRACE_SECONDS,
            self._time_out,
        )
        self.open_requests.add(self)
        try:
            dispatch_result = await self.delivery
        except asyncio.CancelledError:
            self._report_interruption()
            return
        except (iostream.StreamClosedError, dispatcher.CallerLeft):
            return
        finally:
            timeout_timer.cancel()
            self.open_requests.discard(self)
            span.end()
        if dispatch_result.is_ok():
            self.finish()
        else:
            self.fail(dispatch_result.unwrap_err())

    def fail(self, failure: failures.Failure) -> None:
        """Report a failure to the caller, also after the answer has begun."""
        LOGGER.info(
            'request failed',
            extra={
                'request_id': self.request_id,
                'code': failure.code,
                'ran': failure.ran.value,
            },
        )
        if not self._headers_written:
            self.clear_response()
            self.refuse(failure)
            return
        if self._is_event_stream():
            body = json.dumps(failures.error_body(failure, self.request_id))
            self.write(f'event: error\ndata: {body}\n\n')
            self.finish()
            return
        # An error can't follow a partial plain body: close the connection, so
        # that the caller detects the truncation.
        self.entry_readiness.end(self)
        self.detach().close()

    def interrupt(self, failure: failures.Failure) -> None:
        """End an open request with `failure`."""
        self.interruption = failure
        if self.delivery is not None:
            self.delivery.cancel()

    def on_connection_close(self) -> None:
        """Cancel the delivery when the caller disconnects."""
        super().on_connection_close()
        self.caller_left = True
        self.entry_readiness.end(self)
        if self.delivery is not None:
            self.delivery.cancel()

    async def start(self, head: relay_pb2.Head) -> None:
        """Set the upstream's status and headers for the response."""
        self.started = True
        self.set_status(head.status)
        for header in head.headers:
            if header.name.lower() not in DROPPED_RESPONSE_HEADERS:
                self.set_header(header.name, header.value)

    async def write_part(self, content: bytes) -> None:
        """Write a part of the body, at the rate at which the caller reads.

        Raise `CallerLeft` if the caller has disconnected.
        """
        self.write(content)
        try:
            await self.flush()
        except iostream.StreamClosedError as error:
            raise dispatcher.CallerLeft from error

    def forwarded_headers(self) -> list[relay_pb2.Header]:
        """Return the caller's headers that are forwarded to an upstream."""
        return [
            relay_pb2.Header(name=name, value=value)
            for name, value in self.request.headers.get_all()
            if name.lower() in FORWARDED_HEADERS
        ]

    def clear_response(self) -> None:
        """Reset the status and headers that came from the upstream."""
        self.clear()
        self.set_header(REQUEST_ID_HEADER, self.request_id)

    def write_error(self, status_code: int, **kwargs: typing.Any) -> None:
        """Respond to an unhandled error with a typed error body."""
        failure = failures.Failure(self._reason)
        if status_code == http.HTTPStatus.METHOD_NOT_ALLOWED:
            failure = refusals.MethodNotAllowed(self._reason)
        if self.delivery is not None:
            failure = failures.Failure(self._reason, failures.Ran.unknown)
        if not self._finished:
            self.finish(failures.error_body(failure, self.request_id))

    def _validate_call(self, call: relay_pb2.Call) -> failures.Failure | None:
        failure = validation.validate_request(self.request)
        if failure is not None:
            return failure
        parsed = validation.parse_idempotency_key(self.request.headers)
        if isinstance(parsed, result.Err):
            return parsed.err_value
        self.idempotency_key = parsed.ok_value
        forwarded_values = [header.value for header in call.headers]
        return validation.find_exposed_key(
            self.request,
            (*forwarded_values, self.idempotency_key),
            self.holder.configuration.organisation_for_key,
        )

    def _time_out(self) -> None:
        ran = failures.Ran.yes if self.started else failures.Ran.unknown
        self.interrupt(
            failures.TimedOut('the time for the request is over', ran),
        )

    async def _run_delivery(
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

    def _is_event_stream(self) -> bool:
        content_type = self._headers.get('Content-Type', '')
        return content_type.startswith('text/event-stream')

    def _report_interruption(self) -> None:
        if self.interruption is not None:
            self.fail(self.interruption)
