"""Closing of callers' connections, by the server's stop or by the caller."""

import asyncio
import typing

from tornado import httputil, testing

from cranberryrill import clock
from cranberryrill.forwarding import caller_request, forwarder, reply, server
from cranberryrill.limits import body_budget
from cranberryrill.traffic import document

REQUEST = b'GET /x HTTP/1.1\r\nHost: a\r\n\r\n'


class SlowForwarder:
    """Forwarder that answers each request after 0.2 seconds."""

    def __init__(self) -> None:
        self.received = asyncio.Event()

    async def serve(
        self,
        request: caller_request.Request,
        caller_reply: reply.Reply,
    ) -> None:
        self.received.set()
        await asyncio.sleep(0.2)
        await caller_reply.send_full(200, [], b'done')


async def test_request_received_during_a_stop_is_answered() -> None:
    slow = SlowForwarder()
    callers = server.CallerServer(
        typing.cast(forwarder.Forwarder, slow),
        body_budget.BodyBudget(1_000_000),
    )
    http_server = server.make_server(callers, document.CallerLimits())
    bound, port = testing.bind_unused_port()
    http_server.add_socket(bound)
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    idle_reader, idle_writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(REQUEST)
    await slow.received.wait()
    # The stop sequence of the router without its wait for active requests, so
    # that this request is still being served when the connections are closed.
    http_server.stop()
    await callers.close(clock.monotonic_seconds() + 5)
    response = await reader.read()
    assert response.endswith(b'done')
    assert await idle_reader.read() == b''
    assert not callers.open_readers()
    writer.close()
    idle_writer.close()


class FakeStream:
    """Fake of a connection's Tornado stream."""

    def __init__(self, *, reading: bool = True) -> None:
        self.reads = reading
        self.is_closed = False

    def reading(self) -> bool:
        return self.reads

    def closed(self) -> bool:
        return self.is_closed

    def close(self) -> None:
        self.is_closed = True


class FakeConnection:
    """Fake of a Tornado connection."""

    def __init__(self, stream: FakeStream) -> None:
        self.stream = stream

    def set_close_callback(self, callback: typing.Any) -> None:
        """Ignore the callback."""


def open_reader(
    callers: server.CallerServer,
    stream: FakeStream,
) -> httputil.HTTPMessageDelegate:
    """Return the reader of a connection's next request."""
    connection: typing.Any = FakeConnection(stream)
    return callers.start_request(connection, connection)


async def test_connection_with_a_just_received_request_is_not_idle() -> None:
    slow: typing.Any = SlowForwarder()
    callers = server.CallerServer(slow, body_budget.BodyBudget(1_000_000))
    received, idle = FakeStream(reading=False), FakeStream()
    readers = [open_reader(callers, stream) for stream in (received, idle)]
    callers.close_idle()
    assert idle.closed()
    assert not received.closed()
    assert len(readers) == 2


async def test_request_of_a_closed_connection_is_not_served() -> None:
    slow = SlowForwarder()
    callers = server.CallerServer(
        typing.cast(forwarder.Forwarder, slow),
        body_budget.BodyBudget(1_000_000),
    )
    stream = FakeStream()
    reader_delegate = open_reader(callers, stream)
    start_line = httputil.RequestStartLine('GET', '/x', 'HTTP/1.1')
    reader_delegate.headers_received(start_line, httputil.HTTPHeaders())
    stream.close()
    reader_delegate.finish()
    await asyncio.sleep(0.01)
    assert not slow.received.is_set()
    assert not callers.active_requests
