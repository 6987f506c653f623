"""What callers get of answers that break off, or that aren't the upstream's."""

import asyncio
import dataclasses
import typing
from collections import abc

import pytest

from cranberryrill import clock, failures
from cranberryrill.forwarding import (
    admission,
    attempts,
    delivery,
    placement,
    relaying,
)
from tests.forwarding import conftest
from tests.forwarding import test_endless_responses as scripted

STREAM_HEAD = b'%sContent-Type: text/event-stream\r\n' % scripted.HEAD
CHUNKED_STREAM = b'%sTransfer-Encoding: chunked\r\n\r\n' % STREAM_HEAD
FIRST_EVENT = b'id: 1\ndata: y\n\n'
PLAIN = b'%sContent-Length: 2\r\n\r\nok' % scripted.HEAD
ERROR = (
    b'HTTP/1.1 500 Internal Server Error\r\nX-Attempt-Id: a1\r\n'
    b'X-Upstream-Signature: s\r\nContent-Type: text/plain\r\n'
    b'Content-Length: %d\r\n\r\n%s'
)
LARGE = b'e' * (2 * relaying.MAX_BUFFERED_BYTES)
# More than is buffered; the rest of an answer is sent a little later.
FIRST_BYTES = relaying.MAX_BUFFERED_BYTES + 1000
PAUSE_SECONDS = 0.05


class Upstream:
    """Upstream that sends a script, and closes the connection."""

    def __init__(self, script: bytes) -> None:
        self.script = script
        self.requests = 0
        self.port = 0

    async def listen(self) -> None:
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await reader.readuntil(b'\r\n\r\n')
        except asyncio.IncompleteReadError:
            # A probe, which sends nothing.
            writer.close()
            return
        self.requests += 1
        writer.write(self.script[:FIRST_BYTES])
        await writer.drain()
        if len(self.script) > FIRST_BYTES:
            await asyncio.sleep(PAUSE_SECONDS)
            writer.write(self.script[FIRST_BYTES:])
            await writer.drain()
        writer.close()


class Listener(typing.Protocol):
    """Upstream that listens at a port."""

    port: int


class Reply(scripted.RecordingReply):
    """Reply that keeps the body, and whether it ended as complete."""

    def __init__(self) -> None:
        super().__init__(0)
        self.body = b''
        self.finished = False

    async def start(self, status: int, headers: object, content: bytes) -> None:
        await super().start(status, headers, content)
        self.body += content

    async def write(self, content: bytes) -> None:
        self.body += content

    async def send_full(
        self, status: int, headers: object, body: bytes
    ) -> None:
        await super().send_full(status, headers, body)
        self.body += body
        self.finished = True

    def finish(self) -> None:
        self.finished = True


class Context(scripted.OneUpstreamContext):
    """Delivery context with several upstreams, which are tried in order."""

    def __init__(self, upstreams: abc.Sequence[Listener]) -> None:
        super().__init__(upstreams[0].port)
        self.upstreams = []
        for number, scripted_upstream in enumerate(upstreams):
            upstream = conftest.make_upstream(f'u{number}')
            upstream.registration.host = '127.0.0.1'
            upstream.registration.port = scripted_upstream.port
            self.upstreams.append(upstream)

    def place(
        self, admitted: admission.Admitted, excluded: frozenset[str], now: float
    ) -> placement.Choice | None:
        for upstream in self.upstreams:
            if upstream.id not in excluded:
                return placement.Choice(upstream, 0, 0, 1, has_affinity=False)
        return None


async def deliver(
    *scripts: bytes, streams: bool = False, repeatable: bool = True
) -> tuple[delivery.Delivery, Reply, list[Upstream]]:
    """Deliver a request to upstreams with these scripts, in order."""
    upstreams = [Upstream(script) for script in scripts]
    for upstream in upstreams:
        await upstream.listen()
    ended, caller_reply = await deliver_to(
        upstreams, streams=streams, repeatable=repeatable
    )
    return ended, caller_reply, upstreams


async def deliver_to(
    upstreams: abc.Sequence[Listener],
    *,
    streams: bool,
    repeatable: bool,
    body: bytes = b'',
) -> tuple[delivery.Delivery, Reply]:
    """Deliver a request to listening upstreams, in order."""
    admitted = scripted.make_admitted(streams=streams)
    admitted = dataclasses.replace(
        admitted,
        request=dataclasses.replace(admitted.request, body=body),
        route=conftest.make_route(
            streams=streams, repeatable=repeatable, max_attempts=len(upstreams)
        ),
        deadline=clock.monotonic_seconds() + 5,
    )
    caller_reply = Reply()
    request_delivery = delivery.Delivery(
        admitted,
        typing.cast(typing.Any, caller_reply),
        typing.cast(attempts.DeliveryContext, Context(upstreams)),
    )
    await request_delivery.run()
    return request_delivery, caller_reply


@pytest.mark.parametrize('streams', [False, True])
@pytest.mark.parametrize(
    'answer',
    [PLAIN, CHUNKED_STREAM, b'%s\r\n' % scripted.HEAD],
    ids=['length', 'chunks', 'no length'],
)
async def test_head_that_stops_midway_is_a_lost_connection(
    answer: bytes, streams: bool
) -> None:
    head_bytes = answer.index(b'\r\n\r\n') + len(b'\r\n\r\n')
    for sent in range(head_bytes):
        ended, caller_reply, _ = await deliver(answer[:sent], streams=streams)
        assert caller_reply.status == 0, answer[:sent]
        refusal = caller_reply.refusal
        assert isinstance(refusal, failures.UpstreamFailed)
        assert refusal.ran is failures.Ran.unknown
        assert ended.lost_connections == 1, answer[:sent]


@pytest.mark.parametrize(
    'next_answer',
    [
        pytest.param(ERROR % (2, b'no'), id='error'),
        pytest.param(ERROR % (len(LARGE), LARGE), id='large error'),
        pytest.param(PLAIN, id='answer without events'),
        pytest.param(
            b'%sContent-Length: 0\r\n\r\n' % scripted.HEAD, id='empty answer'
        ),
        pytest.param(
            b'%sContent-Length: %d\r\n\r\n%s'
            % (scripted.HEAD, len(LARGE), LARGE),
            id='large answer without events',
        ),
        pytest.param(
            b'%sContent-Length: 15\r\n\r\nid: 2\ndata: z\n\n'
            % STREAM_HEAD.replace(b'200 OK', b'206 Partial Content'),
            id='another status',
        ),
        pytest.param(
            b'%sContent-Length: 15\r\n\r\nid: 1\ndata: y\n\n' % STREAM_HEAD,
            id='stream that begins anew',
        ),
        pytest.param(b'HTTP/1.1 200 OK\r\nX-', id='head that stops midway'),
    ],
)
async def test_only_later_events_follow_a_stream_that_has_begun(
    next_answer: bytes,
) -> None:
    begun = b'%sf\r\n%s\r\n' % (CHUNKED_STREAM, FIRST_EVENT)
    ended, caller_reply, upstreams = await deliver(
        begun, next_answer, streams=True
    )
    assert [upstream.requests for upstream in upstreams] == [1, 1]
    assert caller_reply.body == FIRST_EVENT
    assert not caller_reply.finished
    assert ended.outcome == 'broken_off'


async def test_stream_goes_on_with_later_events() -> None:
    begun = b'%sf\r\n%s\r\n' % (CHUNKED_STREAM, FIRST_EVENT)
    later = b'id: 2\ndata: z\n\n'
    rest = b'%sContent-Length: %d\r\n\r\n%s' % (STREAM_HEAD, len(later), later)
    ended, caller_reply, _ = await deliver(begun, rest, streams=True)
    assert caller_reply.body == FIRST_EVENT + later
    assert caller_reply.finished
    assert ended.outcome == 'answered'


@pytest.mark.parametrize(
    'refusal',
    [
        pytest.param(b'503 Service Unavailable\r\nX-Not-Executed: 1', id='503'),
        pytest.param(b'421 Misdirected Request', id='421'),
    ],
)
@pytest.mark.parametrize('attempt_id', [b'', b'X-Attempt-Id: earlier\r\n'])
async def test_refusal_that_may_be_of_another_request_proves_nothing(
    refusal: bytes, attempt_id: bytes
) -> None:
    answer = b'HTTP/1.1 %s\r\n%sContent-Length: 0\r\n\r\n' % (
        refusal,
        attempt_id,
    )
    ended, caller_reply, upstreams = await deliver(
        answer, PLAIN, repeatable=False
    )
    assert upstreams[1].requests == 0
    assert isinstance(caller_reply.refusal, failures.UpstreamFailed)
    assert caller_reply.refusal.ran is failures.Ran.unknown
    assert not ended.start_counted


@pytest.mark.parametrize(
    ('answer', 'starts'), [(PLAIN, 1), (ERROR % (2, b'no'), 0)]
)
async def test_failure_does_not_show_that_an_upstream_survives_a_request(
    answer: bytes, starts: int
) -> None:
    ended, _, _ = await deliver(answer)
    tracker = ended.context.crash_tracker
    assert len(tracker.responses) == starts
