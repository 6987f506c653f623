"""HTTP server that receives callers' requests."""

import asyncio
import http
import logging
import typing
import weakref
from collections import abc

from tornado import http1connection, httpserver, httputil

from cranberryrill import clock, decimal_numbers, tasks
from cranberryrill.forwarding import caller_request, forwarder, reply
from cranberryrill.limits import body_budget
from cranberryrill.traffic import document

LOGGER = logging.getLogger(__name__)
MILLISECONDS_PER_SECOND = 1000
# How often a stopping server looks for connections that have become idle.
CLOSE_POLL_SECONDS = 0.02
# Smaller bodies are read without asking the budget.
UNBOUNDED_BODY_BYTES = 16_384
# A body of unknown length asks for so much at a time.
HOLD_STEP_BYTES = 65_536
# Callers give up a request that isn't read within a second.
MAX_BODY_WAIT_SECONDS = 0.8


class CallerServer(httputil.HTTPServerConnectionDelegate):
    """Tornado delegate that creates a request reader for each request.

    `active_requests` counts the requests being served, and `idle` is set while
    there are none.
    """

    def __init__(
        self,
        request_forwarder: forwarder.Forwarder,
        bodies: body_budget.BodyBudget,
    ) -> None:
        self.forwarder = request_forwarder
        self.bodies = bodies
        self.group = tasks.TaskGroup()
        self.active_requests = 0
        self.idle = asyncio.Event()
        self.idle.set()
        # Readers of requests that are awaited, being received or being served.
        # Weak references suffice, since Tornado keeps a connection's reader.
        self.readers: weakref.WeakSet[RequestReader] = weakref.WeakSet()

    def start_request(
        self,
        server_conn: object,
        request_conn: httputil.HTTPConnection,
    ) -> httputil.HTTPMessageDelegate:
        """Return the reader of a connection's next request."""
        connection = typing.cast(
            http1connection.HTTP1Connection,
            request_conn,
        )
        reader = RequestReader(self, connection)
        self.readers.add(reader)
        return reader

    async def close(self, deadline: float) -> None:
        """Close connections as they become idle, until the deadline.

        A request whose head has been received is answered first: it may have
        arrived while other connections were being closed.
        """
        while self.open_readers() and clock.monotonic_seconds() < deadline:
            self.close_idle()
            await asyncio.sleep(CLOSE_POLL_SECONDS)

    def open_readers(self) -> list['RequestReader']:
        """Return the readers whose connections are still open."""
        return [
            reader
            for reader in self.readers
            if not reader.connection.stream.closed()
        ]

    def close_idle(self) -> None:
        """Close each connection on which no request has been received."""
        for reader in self.open_readers():
            stream = reader.connection.stream
            # A stream that is not reading has received bytes that are not
            # parsed yet, so its connection is not idle.
            if reader.request_line is None and stream.reading():
                stream.close()

    def begin(self) -> None:
        """Record that a request is being served."""
        self.active_requests += 1
        self.idle.clear()

    def end(self) -> None:
        """Record that serving a request has ended."""
        self.active_requests -= 1
        if not self.active_requests:
            self.idle.set()


class RequestReader(httputil.HTTPMessageDelegate):
    """Tornado delegate that reads one request and serves it when complete."""

    def __init__(
        self,
        server: CallerServer,
        connection: http1connection.HTTP1Connection,
    ) -> None:
        self.server = server
        self.connection = connection
        self.request_line: httputil.RequestStartLine | None = None
        self.headers = httputil.HTTPHeaders()
        self.body = bytearray()
        # Bytes of the body that are held in the budget.
        self.held_bytes = 0
        self.task: asyncio.Task[None] | None = None

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> abc.Awaitable[None] | None:
        """Store the request line and headers; wait until the body fits."""
        self.request_line = typing.cast(httputil.RequestStartLine, start_line)
        self.headers = headers
        declared = headers.get('Content-Length', '')
        size = decimal_numbers.parse(declared) or 0
        return self._hold(size) if size > UNBOUNDED_BODY_BYTES else None

    def data_received(self, chunk: bytes) -> abc.Awaitable[None] | None:
        """Append a part of the body; wait until one of unknown length fits."""
        self.body += chunk
        missing = len(self.body) - max(self.held_bytes, UNBOUNDED_BODY_BYTES)
        return self._hold(HOLD_STEP_BYTES) if missing > 0 else None

    def finish(self) -> None:
        """Start a task that serves the complete request."""
        if self.connection.stream.closed():
            # No caller could receive the outcome, so the request is dropped.
            LOGGER.info('connection closed before its request was served')
            self._release()
            return
        self.connection.set_close_callback(self.on_connection_close)
        loop = asyncio.get_running_loop()
        self.task = loop.create_task(self._serve())

    def on_connection_close(self) -> None:
        """Cancel the request of a caller that has disconnected."""
        if self.task is None:
            self._release()
        else:
            self.task.cancel()

    async def _hold(self, size: int) -> None:
        """Hold bytes of the budget, or refuse the request unread."""
        if await self.server.bodies.hold(size, MAX_BODY_WAIT_SECONDS):
            self.held_bytes += size
            if self.connection.stream.closed():
                self._release()
            return
        caller_reply = reply.Reply(self.connection)
        caller_reply.close_connection = True
        request = self._make_request()
        self._release()
        try:
            await self.server.forwarder.refuse_body(request, caller_reply)
        except reply.CallerLeft:
            LOGGER.info('caller left before its refusal')
        # The rest of the body is not read.
        self.connection.stream.close()

    def _release(self) -> None:
        self.server.bodies.release(self.held_bytes)
        self.held_bytes = 0
        self.body = bytearray()

    def _make_request(self) -> caller_request.Request:
        assert self.request_line is not None
        request = caller_request.Request(
            method=self.request_line.method,
            target=self.request_line.path,
            headers=tuple(self.headers.get_all()),
            body=bytes(self.body),
            received_at=clock.monotonic_seconds(),
        )
        # Not kept twice while the request is served.
        self.body = bytearray()
        return request

    async def _serve(self) -> None:
        self.server.begin()
        caller_reply = reply.Reply(self.connection)
        request = self._make_request()
        try:
            await self.server.forwarder.serve(request, caller_reply)
        except reply.CallerLeft:
            LOGGER.info('caller left before its refusal')
        except Exception:
            # An error in one request must not affect the others.
            LOGGER.exception('request failed inside')
            caller_reply.abort()
        finally:
            self._release()
            self.server.end()


def make_server(
    callers: CallerServer,
    limits: document.CallerLimits,
) -> httpserver.HTTPServer:
    """Return the HTTP server for callers, with their size and time limits."""
    return httpserver.HTTPServer(
        callers,
        max_body_size=limits.body_bytes,
        max_header_size=limits.header_bytes,
        idle_connection_timeout=limits.idle_timeout_ms
        / MILLISECONDS_PER_SECOND,
        body_timeout=limits.idle_timeout_ms / MILLISECONDS_PER_SECOND,
    )


def readiness_status(*, ready: bool) -> http.HTTPStatus:
    """Return the status of a readiness probe: 200 or 503."""
    return http.HTTPStatus.OK if ready else http.HTTPStatus.SERVICE_UNAVAILABLE
