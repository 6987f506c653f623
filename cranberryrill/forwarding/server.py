"""Take callers' requests from their connections."""

import asyncio
import http
import logging
import typing
import weakref

from tornado import http1connection, httpserver, httputil

from cranberryrill import clock, tasks
from cranberryrill.forwarding import caller_request, forwarder, reply
from cranberryrill.traffic import document

LOGGER = logging.getLogger(__name__)
MILLISECONDS_PER_SECOND = 1000
# Connections whose answer was awaited are looked at again after this time.
CLOSING_PERIOD = 0.02


class CallerServer(httputil.HTTPServerConnectionDelegate):
    """Start one task for each request."""

    def __init__(self, forwarding: forwarder.Forwarder) -> None:
        self.forwarder = forwarding
        self.group = tasks.TaskGroup()
        self.active_requests = 0
        self.idle = asyncio.Event()
        self.idle.set()
        # The requests that are awaited, coming in or being answered.
        # Whoever serves a connection holds its intake.
        self.readers: weakref.WeakSet[RequestReader] = weakref.WeakSet()

    def start_request(
        self,
        server_conn: object,
        request_conn: httputil.HTTPConnection,
    ) -> httputil.HTTPMessageDelegate:
        """Begin to take a request."""
        connection = typing.cast(
            http1connection.HTTP1Connection,
            request_conn,
        )
        intake = RequestReader(self, connection)
        self.readers.add(intake)
        return intake

    async def close(self, deadline: float) -> None:
        """Close every connection once it waits for no answer.

        A request whose head is in is answered first: it may have been read
        while the others were closed.
        """
        while self.open_readers() and clock.monotonic_seconds() < deadline:
            self.close_idle()
            await asyncio.sleep(CLOSING_PERIOD)

    def open_readers(self) -> list['RequestReader']:
        """Return the readers whose connections are open."""
        return [
            intake
            for intake in self.readers
            if not intake.connection.stream.closed()
        ]

    def close_idle(self) -> None:
        """Close each connection on which no request has begun to arrive."""
        for intake in self.open_readers():
            stream = intake.connection.stream
            # What was read may not have been looked at yet: the stream reads
            # no further until it has.
            if intake.line is None and stream.reading():
                stream.close()

    def begin(self) -> None:
        """Note a request that is being answered."""
        self.active_requests += 1
        self.idle.clear()

    def end(self) -> None:
        """Note that a request has its answer."""
        self.active_requests -= 1
        if not self.active_requests:
            self.idle.set()


class RequestReader(httputil.HTTPMessageDelegate):
    """Gather one request and have it answered."""

    def __init__(
        self,
        server: CallerServer,
        connection: http1connection.HTTP1Connection,
    ) -> None:
        self.server = server
        self.connection = connection
        self.line: httputil.RequestStartLine | None = None
        self.headers = httputil.HTTPHeaders()
        self.body = bytearray()
        self.task: asyncio.Task[None] | None = None

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Take the head."""
        self.line = typing.cast(httputil.RequestStartLine, start_line)
        self.headers = headers

    def data_received(self, chunk: bytes) -> None:
        """Take a part of the body."""
        self.body += chunk

    def finish(self) -> None:
        """Answer the request, which is whole now."""
        if self.connection.stream.closed():
            # Nobody would learn what became of it, so it isn't passed on.
            LOGGER.info('connection closed before its request was served')
            return
        self.connection.set_close_callback(self.on_connection_close)
        loop = asyncio.get_running_loop()
        self.task = loop.create_task(self._serve())

    def on_connection_close(self) -> None:
        """End all work for a caller that has left."""
        if self.task is not None:
            self.task.cancel()

    async def _serve(self) -> None:
        assert self.line is not None
        self.server.begin()
        answering = reply.Reply(self.connection)
        request = caller_request.Request(
            method=self.line.method,
            target=self.line.path,
            headers=tuple(self.headers.get_all()),
            body=bytes(self.body),
            received_at=clock.monotonic_seconds(),
        )
        try:
            await self.server.forwarder.serve(request, answering)
        except reply.CallerLeft:
            LOGGER.info('caller left before its refusal')
        except Exception:
            # A fault in one request takes no other one down.
            LOGGER.exception('request failed inside')
            answering.abort()
        finally:
            self.server.end()


def make_server(
    callers: CallerServer,
    limits: document.CallerLimits,
) -> httpserver.HTTPServer:
    """Return the HTTP server for callers."""
    return httpserver.HTTPServer(
        callers,
        max_body_size=limits.body_bytes,
        max_header_size=limits.header_bytes,
        idle_connection_timeout=limits.idle_timeout_ms
        / MILLISECONDS_PER_SECOND,
        body_timeout=limits.idle_timeout_ms / MILLISECONDS_PER_SECOND,
    )


def readiness_status(*, ready: bool) -> http.HTTPStatus:
    """Return what the balancer is told."""
    return http.HTTPStatus.OK if ready else http.HTTPStatus.SERVICE_UNAVAILABLE
