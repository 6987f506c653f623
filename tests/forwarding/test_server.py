"""Connections at the end of a planned stop."""

import asyncio
import typing

from tornado import httputil, testing

from cranberryrill import clock
from cranberryrill.forwarding import caller_request, forwarder, reply, server
from cranberryrill.traffic import document

REQUEST = b'GET /x HTTP/1.1\r\nHost: a\r\n\r\n'


class SlowForwarder:
    """Answer each request after a moment."""

    def __init__(self) -> None:
        self.taken = asyncio.Event()

    async def serve(
        self,
        request: caller_request.Request,
        answering: reply.Reply,
    ) -> None:
        self.taken.set()
        await asyncio.sleep(0.2)
        await answering.send_full(200, [], b'done')


async def test_request_that_was_read_is_answered_before_the_end() -> None:
    slow = SlowForwarder()
    callers = server.CallerServer(typing.cast(forwarder.Forwarder, slow))
    listening = server.make_server(callers, document.CallerLimits())
    bound, port = testing.bind_unused_port()
    listening.add_socket(bound)
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    idle_reader, idle_writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(REQUEST)
    await slow.taken.wait()
    # As in a stop: nobody is counted as waiting when the end begins.
    listening.stop()
    await callers.close(clock.monotonic_seconds() + 5)
    answer = await reader.read()
    assert answer.endswith(b'done')
    assert await idle_reader.read() == b''
    assert not callers.open_readers()
    writer.close()
    idle_writer.close()


class Stream:
    """Stand for a connection's bytes."""

    def __init__(self, *, reading: bool = True) -> None:
        self.reads = reading
        self.is_closed = False

    def reading(self) -> bool:
        return self.reads

    def closed(self) -> bool:
        return self.is_closed

    def close(self) -> None:
        self.is_closed = True


class Connection:
    """Stand for one connection."""

    def __init__(self, stream: Stream) -> None:
        self.stream = stream

    def set_close_callback(self, called: typing.Any) -> None:
        """Call nobody."""


def open_intake(
    callers: server.CallerServer,
    stream: Stream,
) -> httputil.HTTPMessageDelegate:
    """Return what takes the next request of a connection."""
    connection: typing.Any = Connection(stream)
    return callers.start_request(connection, connection)


async def test_connection_whose_request_was_just_read_is_not_idle() -> None:
    slow: typing.Any = SlowForwarder()
    callers = server.CallerServer(slow)
    read, idle = Stream(reading=False), Stream()
    held = [open_intake(callers, one) for one in (read, idle)]
    callers.close_idle()
    assert idle.closed()
    assert not read.closed()
    assert len(held) == 2


async def test_request_of_a_closed_connection_is_not_passed_on() -> None:
    slow = SlowForwarder()
    callers = server.CallerServer(typing.cast(forwarder.Forwarder, slow))
    stream = Stream()
    intake = open_intake(callers, stream)
    line = httputil.RequestStartLine('GET', '/x', 'HTTP/1.1')
    intake.headers_received(line, httputil.HTTPHeaders())
    stream.close()
    intake.finish()
    await asyncio.sleep(0.01)
    assert not slow.taken.is_set()
    assert not callers.active_requests
