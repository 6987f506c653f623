"""Bound bytes without end from an upstream in size and in time.

A scripted upstream sends until its connection is closed. The request ends with
a typed failure, the connection and the memory are released, and another request
of the same process is served meanwhile.
"""

import asyncio
import dataclasses
import gc
import tracemalloc
import typing
from collections import abc

import pytest

from cranberryrill import clock, failures
from cranberryrill.forwarding import (
    admission,
    attempts,
    caller_request,
    curl_multi,
    delivery,
    http_names,
    placement,
    reply,
    retry_budget,
)
from cranberryrill.limits import buffer_budget
from cranberryrill.settings import response_limits
from cranberryrill.traffic import document
from tests.forwarding import conftest

LIMITS = response_limits.ResponseLimits(
    head_bytes=20_000, body_bytes=1_000_000, event_bytes=100_000
)
HEAD = b'HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Upstream-Signature: s\r\n'
CHUNKED = b'%sTransfer-Encoding: chunked\r\n\r\n' % HEAD
UNFRAMED = b'%s\r\n' % HEAD
CONTENT = b'x' * 0x4000
CHUNK = b'4000\r\n%s\r\n' % CONTENT
ONE_BYTE_CHUNK = b'1\r\nx\r\n'
EVENT = b'id: 1\ndata: y\n\n'
EVENT_CHUNK = b'f\r\n%s\r\n' % EVENT
DEADLINE_SECONDS = 1.0
# The deadline, and the time that a busy machine may need beyond it.
LATEST_SECONDS = DEADLINE_SECONDS + 0.5
# What curl, asyncio and the limits may hold of one response.
MAX_GROWTH_BYTES = 4_000_000


class Upstream:
    """Upstream that sends a start, then a part again and again."""

    def __init__(self, start: bytes, part: bytes, pause: float = 0) -> None:
        self.start = start
        self.part = part
        self.pause = pause
        self.closed = asyncio.Event()
        self.port = 0

    async def listen(self) -> None:
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        try:
            writer.write(self.start)
            while self.part:
                writer.write(self.part)
                await writer.drain()
                await asyncio.sleep(self.pause)
        except ConnectionError:
            pass
        self.closed.set()
        writer.close()


class RecordingReply:
    """Reply that counts what the caller received, and its refusal.

    Each write takes `write_seconds`, while more content arrives.
    """

    def __init__(self, write_seconds: float) -> None:
        self.write_seconds = write_seconds
        self.started = False
        self.status = 0
        self.received_bytes = 0
        self.headers: typing.Any = ()
        self.refusal: failures.Failure | None = None

    async def start(self, status: int, headers: object, content: bytes) -> None:
        self.headers = headers
        self.started = True
        self.status = status
        self.received_bytes += len(content)

    async def write(self, content: bytes) -> None:
        self.received_bytes += len(content)
        await asyncio.sleep(self.write_seconds)

    async def send_full(
        self, status: int, headers: object, body: bytes
    ) -> None:
        self.headers = headers
        self.started = True
        self.status = status
        self.received_bytes += len(body)

    def finish(self) -> None:
        """Accept the end of the response."""

    async def refuse(self, failure: failures.Failure, request_id: str) -> None:
        self.refusal = failure


class OneUpstreamContext:
    """Delivery context that places every request on one upstream."""

    def __init__(
        self, port: int, buffers: buffer_budget.BufferBudget | None = None
    ) -> None:
        self.response_buffers = buffers or conftest.make_buffers()
        self.names = http_names.HttpNames()
        self.driver = curl_multi.Driver()
        self.crash_tracker = conftest.make_crash_tracker()
        self.data_centre = 'a'
        self.response_limits = LIMITS
        self.upstream = conftest.make_upstream('u')
        self.upstream.registration.host = '127.0.0.1'
        self.upstream.registration.port = port
        self.budget = retry_budget.RetryBudget(
            retry_budget.RetryLimits(1, 10, 10), 0
        )

    async def wait_in_queue(self, admitted: admission.Admitted) -> None:
        """Let every request pass."""

    def place(
        self, admitted: admission.Admitted, excluded: frozenset[str], now: float
    ) -> placement.Choice | None:
        if self.upstream.id in excluded:
            return None
        return placement.Choice(self.upstream, 0, 0, 1, has_affinity=False)

    def is_closed(self, admitted: admission.Admitted, now: float) -> bool:
        return False

    def retry_budget_for(
        self, service: str, now: float
    ) -> retry_budget.RetryBudget:
        return self.budget

    def entry_count(self) -> int:
        return 1

    def backoff(self, admitted: admission.Admitted, now: float) -> float:
        return 1

    def count_started_request(self, *started: object) -> None:
        """Count nothing."""

    def record_response_start(self, *started: object) -> None:
        """Record nothing."""

    def record_prefilled_prompt(self, *prefilled: object) -> None:
        """Record nothing."""


def make_admitted(*, streams: bool) -> admission.Admitted:
    now = clock.monotonic_seconds()
    request = caller_request.Request(
        'POST', '/x/1', (('Host', 'a.example'),), b'', now
    )
    route = dataclasses.replace(
        conftest.make_route(streams=streams), resumable=False
    )
    return admission.Admitted(
        request=request,
        metadata=caller_request.Metadata('a1', '', None),
        route=route,
        service=document.Service('model', '', 0),
        organisation='',
        rank=1,
        version=1,
        deadline=now + DEADLINE_SECONDS,
    )


async def deliver(
    upstream: Upstream, *, streams: bool, write_seconds: float = 0
) -> tuple[delivery.Delivery, RecordingReply]:
    await upstream.listen()
    context = OneUpstreamContext(upstream.port)
    caller_reply = RecordingReply(write_seconds)
    request_delivery = delivery.Delivery(
        make_admitted(streams=streams),
        typing.cast(reply.Reply, caller_reply),
        typing.cast(attempts.DeliveryContext, context),
    )
    try:
        async with asyncio.timeout(LATEST_SECONDS):
            await request_delivery.run()
    finally:
        context.driver.close()
    async with asyncio.timeout(1):
        await upstream.closed.wait()
    return request_delivery, caller_reply


def failure_causes(caplog: pytest.LogCaptureFixture) -> list[str]:
    """Return the causes of the failed attempts that were logged."""
    return [
        record.__dict__['cause']
        for record in caplog.records
        if record.message == 'attempt failed'
    ]


def grown_bytes(before: int) -> int:
    gc.collect()
    return tracemalloc.get_traced_memory()[0] - before


@pytest.fixture(autouse=True)
def memory_before() -> abc.Iterator[int]:
    gc.collect()
    tracemalloc.start()
    yield tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()


HEADS_WITHOUT_END = [
    pytest.param(HEAD, b'X-More: z\r\n', 'a head of over', id='headers'),
    pytest.param(HEAD, b'X' * 4096, 'curl error', id='a line'),
    pytest.param(
        b'',
        b'HTTP/1.1 100 Continue\r\n\r\n',
        'a head of over',
        id='interim responses',
    ),
    pytest.param(b'', b'no answer ' * 400, 'HTTP/0.9', id='no HTTP'),
]


@pytest.mark.parametrize('streams', [False, True])
@pytest.mark.parametrize(('start', 'part', 'cause'), HEADS_WITHOUT_END)
async def test_head_without_end_fails_the_request(
    start: bytes,
    part: bytes,
    cause: str,
    *,
    streams: bool,
    memory_before: int,
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level('INFO')
    ended, caller_reply = await deliver(Upstream(start, part), streams=streams)
    assert isinstance(caller_reply.refusal, failures.UpstreamFailed)
    assert ended.outcome == failures.UpstreamFailed.code
    assert ended.progress.runs == 1
    logged = failure_causes(caplog)
    assert len(logged) == 1
    assert cause in logged[0]
    peak = tracemalloc.get_traced_memory()[1] - memory_before
    assert peak < MAX_GROWTH_BYTES
    assert grown_bytes(memory_before) < MAX_GROWTH_BYTES / 4


async def test_head_that_trickles_ends_at_the_deadline() -> None:
    upstream = Upstream(HEAD, b'X-More: z\r\n', pause=0.01)
    ended, caller_reply = await deliver(upstream, streams=True)
    assert isinstance(caller_reply.refusal, failures.TimedOut)
    assert ended.outcome == failures.TimedOut.code


BODIES_WITHOUT_END = [
    pytest.param(UNFRAMED, CONTENT, id='no length'),
    pytest.param(CHUNKED, CHUNK, id='chunked'),
    pytest.param(
        b'%sContent-Length: 999999999999\r\n\r\n' % HEAD,
        CONTENT,
        id='with a length',
    ),
]


@pytest.mark.parametrize(('start', 'part'), BODIES_WITHOUT_END)
async def test_body_without_end_is_visibly_truncated(
    start: bytes,
    part: bytes,
    memory_before: int,
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level('INFO')
    ended, caller_reply = await deliver(Upstream(start, part), streams=False)
    assert ended.outcome == 'broken_off'
    assert caller_reply.received_bytes <= LIMITS.body_bytes
    assert failure_causes(caplog) == ['a body of over 1000000 bytes']
    peak = tracemalloc.get_traced_memory()[1] - memory_before
    assert peak < MAX_GROWTH_BYTES
    assert grown_bytes(memory_before) < MAX_GROWTH_BYTES / 4


async def test_body_that_trickles_ends_at_the_deadline() -> None:
    upstream = Upstream(CHUNKED, ONE_BYTE_CHUNK, pause=0.001)
    ended, caller_reply = await deliver(upstream, streams=False)
    assert isinstance(caller_reply.refusal, failures.TimedOut)
    assert ended.outcome == failures.TimedOut.code


@pytest.mark.parametrize('part', [CHUNK, ONE_BYTE_CHUNK])
async def test_event_without_end_fails_the_stream(
    part: bytes, memory_before: int
) -> None:
    upstream = Upstream(b'%s%s' % (CHUNKED, EVENT_CHUNK), part)
    ended, caller_reply = await deliver(upstream, streams=True)
    assert ended.outcome == 'broken_off'
    assert caller_reply.received_bytes == len(EVENT)
    assert not ended.events.partial
    peak = tracemalloc.get_traced_memory()[1] - memory_before
    assert peak < MAX_GROWTH_BYTES


async def test_events_without_end_are_cut_off_at_the_deadline() -> None:
    # During each write more events arrive, so that none is waited for.
    upstream = Upstream(CHUNKED, EVENT_CHUNK * 4, pause=0.005)
    ended, caller_reply = await deliver(
        upstream, streams=True, write_seconds=0.02
    )
    assert ended.outcome == 'broken_off'
    assert caller_reply.received_bytes % len(EVENT) == 0


async def test_other_requests_are_served_during_an_endless_response() -> None:
    sound = Upstream(b'%sContent-Length: 2\r\n\r\nok' % HEAD, b'')
    endless = Upstream(UNFRAMED, CONTENT)
    broken, answered = await asyncio.gather(
        deliver(endless, streams=False), deliver(sound, streams=False)
    )
    assert broken[0].outcome == 'broken_off'
    assert answered[0].outcome == 'answered'
    assert answered[1].received_bytes == 2
