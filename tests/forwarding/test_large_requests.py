"""Large requests of many callers at once are held within a budget."""

import asyncio
import contextlib
import gc
import tracemalloc
import typing
from collections import abc

import pytest
from tornado import testing

from cranberryrill.forwarding import caller_request, forwarder, reply, server
from cranberryrill.limits import body_budget
from cranberryrill.traffic import document

BODY_BYTES = 1_000_000
CALLERS = 24
BUDGET_BYTES = 4 * BODY_BYTES
# One body is copied when it is complete; the sockets hold some.
MAX_GROWTH_BYTES = BUDGET_BYTES + 4 * BODY_BYTES
SMALL_REQUEST = b'GET /small HTTP/1.1\r\nHost: a\r\n\r\n'


class WorkingForwarder:
    """Forwarder that takes a while for each request, or for ever."""

    def __init__(self) -> None:
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self.served: list[str] = []
        self.refused = 0

    async def serve(
        self, request: caller_request.Request, caller_reply: reply.Reply
    ) -> None:
        self.served.append(request.path)
        if request.body:
            await asyncio.sleep(0.02)
            await self.may_answer.wait()
        await caller_reply.send_full(200, [], b'done')

    async def refuse_body(
        self, request: caller_request.Request, caller_reply: reply.Reply
    ) -> None:
        self.refused += 1
        await caller_reply.send_full(503, [], b'')


class Callers:
    """A server with its forwarder, and callers that send large bodies."""

    def __init__(self) -> None:
        self.work = WorkingForwarder()
        self.budget = body_budget.BodyBudget(BUDGET_BYTES)
        self.server = server.CallerServer(
            typing.cast(forwarder.Forwarder, self.work), self.budget
        )
        self.http_server = server.make_server(
            self.server, document.CallerLimits(body_bytes=BODY_BYTES)
        )
        bound = testing.bind_unused_port()
        self.port = bound[1]
        self.http_server.add_socket(bound[0])
        # One for all, so that the callers hold no memory of their own.
        self.content = b'x' * BODY_BYTES

    async def send(self, *, chunked: bool = False) -> int:
        """Send a large request; return its status, or 0 without an answer."""
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        try:
            writer.write(b'POST /large HTTP/1.1\r\nHost: a\r\n')
            if chunked:
                writer.write(b'Transfer-Encoding: chunked\r\n\r\n')
            else:
                writer.write(b'Content-Length: %d\r\n\r\n' % BODY_BYTES)
            await self.write_body(writer, chunked=chunked)
            head = await reader.readuntil(b'\r\n\r\n')
        except (ConnectionError, asyncio.IncompleteReadError):
            return 0
        finally:
            writer.close()
        return int(head.split()[1])

    async def write_body(
        self, writer: asyncio.StreamWriter, *, chunked: bool
    ) -> None:
        for start in range(0, BODY_BYTES, 50_000):
            part = self.content[start : start + 50_000]
            if chunked:
                part = b'%x\r\n%s\r\n' % (len(part), part)
            writer.write(part)
            await writer.drain()
        if chunked:
            writer.write(b'0\r\n\r\n')


@pytest.fixture
async def callers() -> abc.AsyncIterator[Callers]:
    running = Callers()
    yield running
    running.http_server.stop()


async def test_large_requests_at_once_are_all_answered(
    callers: Callers,
) -> None:
    # Failed when each body was bounded and all together were not: they took
    # the process over its memory, and small requests ended with it.
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    statuses = await asyncio.gather(*(callers.send() for _ in range(CALLERS)))
    peak = tracemalloc.get_traced_memory()[1] - before
    tracemalloc.stop()
    assert set(statuses) == {200}
    assert peak < MAX_GROWTH_BYTES
    assert not callers.budget.held_bytes


async def test_requests_without_room_are_refused_and_small_ones_served(
    callers: Callers,
) -> None:
    callers.work.may_answer.clear()
    sending = [asyncio.create_task(callers.send()) for _ in range(8)]
    await asyncio.sleep(0.2)
    reader, writer = await asyncio.open_connection('127.0.0.1', callers.port)
    writer.write(SMALL_REQUEST)
    assert (await reader.readuntil(b'done')).startswith(b'HTTP/1.1 200')
    writer.close()
    await asyncio.sleep(server.MAX_BODY_WAIT_SECONDS)
    callers.work.may_answer.set()
    statuses = await asyncio.gather(*sending)
    assert statuses.count(200) == 4
    assert callers.work.refused == 4
    assert callers.work.served.count('/large') == 4
    assert not callers.budget.held_bytes


async def test_bodies_of_unknown_length_are_held_too(callers: Callers) -> None:
    callers.work.may_answer.clear()
    sending = [
        asyncio.create_task(callers.send(chunked=True)) for _ in range(8)
    ]
    await asyncio.sleep(server.MAX_BODY_WAIT_SECONDS + 0.5)
    assert callers.budget.held_bytes <= BUDGET_BYTES
    callers.work.may_answer.set()
    statuses = await asyncio.gather(*sending)
    assert statuses.count(200) >= 1
    assert not callers.budget.held_bytes


async def test_caller_that_leaves_midway_releases_its_body(
    callers: Callers,
) -> None:
    _, writer = await asyncio.open_connection('127.0.0.1', callers.port)
    writer.write(b'POST /large HTTP/1.1\r\nHost: a\r\n')
    writer.write(b'Content-Length: %d\r\n\r\n' % BODY_BYTES)
    writer.write(b'x' * 100_000)
    await writer.drain()
    async with asyncio.timeout(2):
        while not callers.budget.held_bytes:
            await asyncio.sleep(0.01)
        writer.close()
        with contextlib.suppress(ConnectionError):
            await writer.wait_closed()
        while callers.budget.held_bytes:
            await asyncio.sleep(0.01)
