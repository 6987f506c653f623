"""Each request is sent once, and the end of its answer is classified."""

import asyncio
import contextlib
import io
import socket
import threading
import typing
from collections import abc

import pycurl
import pytest

from bench import web
from cranberryrill import clock
from cranberryrill.relay import answers, relay_pb2, upstream
from cranberryrill.settings import response_limits, schema

HOST = '127.0.0.1'
DEFAULT_LIMITS = response_limits.ResponseLimits()
CREATED = b'HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok'
# Number of requests that a connection answers before it is closed.
ANSWERED_REQUESTS = 1
RUN_SECONDS = 10


class ScriptedServer:
    """Server that sends scripted answers, then closes the connection.

    With `reads_one_more`, it first reads another request and sends no answer.
    """

    def __init__(
        self,
        answered_requests: int,
        script: bytes = CREATED,
        reads_one_more: bool = True,
    ) -> None:
        self.answered_requests = answered_requests
        self.script = script
        self.reads_one_more = reads_one_more
        self.received: list[bytes] = []
        self.listener = socket.create_server((HOST, 0))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.serve, daemon=True).start()

    def serve(self) -> None:
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self.serve_connection, args=(connection,)
            ).start()

    def serve_connection(self, connection: socket.socket) -> None:
        with connection:
            for number in range(self.answered_requests + self.reads_one_more):
                request = read_request(connection)
                if not request:
                    return
                self.received.append(request)
                if number < self.answered_requests:
                    connection.sendall(self.script)

    def close(self) -> None:
        self.listener.close()


def read_request(connection: socket.socket) -> bytes:
    content = b''
    while b'\r\n\r\n' not in content:
        part = connection.recv(65536)
        if not part:
            return content
        content += part
    head, _, body = content.partition(b'\r\n\r\n')
    for line in head.split(b'\r\n'):
        name, _, value = line.partition(b':')
        if name.lower() == b'content-length':
            while len(body) < int(value):
                part = connection.recv(65536)
                if not part:
                    return content
                body += part
    return b'\r\n\r\n'.join((head, body))


@pytest.fixture
def closing_server() -> abc.Iterator[ScriptedServer]:
    """Provide a server that answers only the first request of a connection."""
    server = ScriptedServer(ANSWERED_REQUESTS)
    yield server
    server.close()


def new_answer(call: relay_pb2.Call) -> answers.Answer:
    now = clock.monotonic_seconds()
    return answers.Answer('req-1', call, now)


async def run(
    script: bytes,
    **fields: typing.Any,
) -> tuple[answers.Answer, ScriptedServer]:
    server = ScriptedServer(ANSWERED_REQUESTS, script, reads_one_more=False)
    default_fields: dict[str, typing.Any] = {
        'method': 'POST',
        'path': '/orders',
    }
    call = relay_pb2.Call(**{**default_fields, **fields})
    answer = await send(server.port, call)
    server.close()
    return answer, server


async def send(
    port: int,
    call: relay_pb2.Call,
    limits: response_limits.ResponseLimits = DEFAULT_LIMITS,
) -> answers.Answer:
    settings = schema.UpstreamSettings(
        base_url=f'http://{HOST}:{port}',
        target='desk',
        responses=limits,
    )
    answer = new_answer(call)
    client = upstream.Upstream(settings)
    try:
        await asyncio.wait_for(
            client.run(call, answer, asyncio.Event()), RUN_SECONDS
        )
    finally:
        client.close()
    return answer


def test_plain_curl_resends_a_request(
    closing_server: ScriptedServer,
) -> None:
    # The reused connection closes without an answer to the second request.
    curl = pycurl.Curl()
    for _ in range(2):
        curl.setopt(pycurl.URL, f'http://{HOST}:{closing_server.port}/orders')
        curl.setopt(pycurl.POSTFIELDS, 'order')
        curl.setopt(pycurl.PROXY, '')
        curl.setopt(pycurl.WRITEDATA, io.BytesIO())
        curl.perform()
    curl.close()
    assert len(closing_server.received) == 3


async def test_upstream_sends_each_request_once(
    closing_server: ScriptedServer,
) -> None:
    settings = schema.UpstreamSettings(
        base_url=f'http://{HOST}:{closing_server.port}',
        target='desk',
    )
    client = upstream.Upstream(settings)
    call = relay_pb2.Call(method='POST', path='/orders', body=b'order')
    for _ in range(3):
        answer = new_answer(call)
        await client.run(call, answer, asyncio.Event())
        assert isinstance(answer.end, relay_pb2.Final)
    client.close()
    assert len(closing_server.received) == 3


async def test_request_without_an_answer_is_sent_once() -> None:
    server = ScriptedServer(answered_requests=0)
    call = relay_pb2.Call(method='POST', path='/orders', body=b'order')
    answer = await send(server.port, call)
    server.close()
    assert len(server.received) == 1
    assert isinstance(answer.end, relay_pb2.Failed)
    assert answer.end.ran == relay_pb2.Ran.UNKNOWN


async def test_refused_connection_means_not_run() -> None:
    call = relay_pb2.Call(method='POST', path='/orders')
    answer = await send(web.free_port(), call)
    assert isinstance(answer.end, relay_pb2.Failed)
    assert answer.end.ran == relay_pb2.Ran.NO


async def test_proxy_settings_of_the_environment_are_ignored(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    for name in ('http_proxy', 'all_proxy', 'ALL_PROXY'):
        monkeypatch.setenv(name, f'http://{HOST}:1')
    answer, _ = await run(CREATED)
    assert isinstance(answer.end, relay_pb2.Final)


async def test_redirect_is_returned_to_the_caller() -> None:
    redirect = (
        b'HTTP/1.1 307 Go\r\nLocation: /other\r\nContent-Length: 0\r\n\r\n'
    )
    answer, server = await run(redirect, body=b'order')
    assert answer.head is not None
    assert answer.head.status == 307
    assert len(server.received) == 1


async def test_head_and_path_reach_the_upstream_unchanged() -> None:
    _, server = await run(CREATED, body=b'x' * 2000, path='/orders/../feet?a=/')
    head = server.received[0].partition(b'\r\n\r\n')[0].lower()
    assert head.startswith(b'post /orders/../feet?a=/ http/1.1\r\n')
    assert b'expect:' not in head


@pytest.mark.parametrize(
    ('script', 'status'),
    [
        (b'HTTP/1.1 100 Continue\r\n\r\n%b' % CREATED, 201),
        (b'HTTP/1.1 103 Hints\r\nLink: x\r\n\r\n%b' % CREATED, 201),
        (b'HTTP/1.1 204 No Content\r\n\r\n', 204),
        (b'HTTP/1.1 500 Error\r\nContent-Length: 4\r\n\r\nbusy', 500),
        (
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'2\r\nok\r\n0\r\n\r\n',
            200,
        ),
    ],
)
async def test_complete_answer_succeeds(script: bytes, status: int) -> None:
    answer, _ = await run(script)
    assert isinstance(answer.end, relay_pb2.Final)
    assert answer.head is not None
    assert answer.head.status == status


class EndlessServer:
    """Server that sends a start, then a part until the connection closes."""

    def __init__(self, start: bytes, part: bytes) -> None:
        self.start = start
        self.part = part
        self.closed = threading.Event()
        self.listener = socket.create_server((HOST, 0))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.serve, daemon=True).start()

    def serve(self) -> None:
        connection, _ = self.listener.accept()
        with connection, contextlib.suppress(OSError):
            read_request(connection)
            connection.sendall(self.start)
            while True:
                connection.sendall(self.part)
        self.closed.set()


EVENT_STREAM = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: x\n\n'
)


@pytest.mark.parametrize(
    ('start', 'part', 'cause', 'ran'),
    [
        (
            b'HTTP/1.1 200 OK\r\n',
            b'X-More: z\r\n',
            'a head of over',
            relay_pb2.Ran.YES,
        ),
        (
            b'',
            b'HTTP/1.1 103 Hints\r\n\r\n',
            'a head of over',
            relay_pb2.Ran.UNKNOWN,
        ),
        (b'', b'no answer ' * 99, 'HTTP', relay_pb2.Ran.UNKNOWN),
        (
            b'HTTP/1.1 200 OK\r\n\r\n',
            b'x' * 4096,
            'a body of over',
            relay_pb2.Ran.YES,
        ),
        (EVENT_STREAM, b'x' * 4096, 'an event of over', relay_pb2.Ran.YES),
    ],
)
async def test_answer_without_end_fails(
    start: bytes, part: bytes, cause: str, ran: relay_pb2.Ran
) -> None:
    server = EndlessServer(start, part)
    limits = response_limits.ResponseLimits(20_000, 600_000, 100_000)
    call = relay_pb2.Call(method='POST', path='/x', streamed=True)
    answer = await send(server.port, call, limits)
    server.listener.close()
    assert isinstance(answer.end, relay_pb2.Failed)
    assert answer.end.code == 'upstream_failed'
    assert cause in answer.end.message
    assert answer.end.ran == ran
    assert answer.length() <= 600_000
    assert server.closed.wait(RUN_SECONDS)


async def test_answer_to_head_has_no_body() -> None:
    script = b'HTTP/1.1 200 OK\r\nContent-Length: 4000\r\n\r\n'
    answer, _ = await run(script, method='HEAD')
    assert answer.end == relay_pb2.Final(length=0)


@pytest.mark.parametrize(
    'script',
    [
        b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n',
        # Without a length, a truncated body looks complete.
        b'HTTP/1.0 200 OK\r\n\r\nshort',
        b'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nshort',
    ],
)
async def test_truncated_answer_fails(script: bytes) -> None:
    answer, _ = await run(script)
    assert isinstance(answer.end, relay_pb2.Failed)
    assert answer.end.ran == relay_pb2.Ran.YES


async def test_run_is_unknown_after_only_an_interim_answer() -> None:
    answer, _ = await run(b'HTTP/1.1 100 Continue\r\n\r\n')
    assert isinstance(answer.end, relay_pb2.Failed)
    assert answer.end.ran == relay_pb2.Ran.UNKNOWN


async def test_usage_of_an_unstreamed_answer_is_read() -> None:
    body = b'{"usage": {"prompt_tokens": 3, "completion_tokens": 5}}'
    head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n'
    answer, _ = await run(head.encode() + body, is_model=True)
    assert (answer.usage.prompt_tokens, answer.usage.output_tokens) == (3, 5)
    assert answer.end == relay_pb2.Final(
        length=len(body),
        prompt_tokens=3,
        output_tokens=5,
    )


@pytest.mark.parametrize(
    'answer',
    [CREATED, b'HTTP/1.1 204 No Content\r\n\r\n'],
    ids=['length', 'no body'],
)
async def test_head_that_stops_midway_is_no_answer(answer: bytes) -> None:
    head_bytes = answer.index(b'\r\n\r\n') + len(b'\r\n\r\n')
    for sent in range(head_bytes):
        received, _ = await run(answer[:sent])
        assert isinstance(received.end, relay_pb2.Failed), answer[:sent]
        assert received.end.ran != relay_pb2.Ran.NO
        assert received.head is None
