"""Outcome of an exchange with an upstream that runs a script.

The outcome decides whether the upstream may have run the request.
"""

import asyncio
from collections import abc

import pytest

from cranberryrill.forwarding import (
    curl_multi,
    exchange,
    http_names,
    response_kind,
    upstream_request,
)
from cranberryrill.settings import response_limits
from tests.forwarding import conftest

NAMES = http_names.HttpNames()
SUCCESS = (
    b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n'
    b'X-Attempt-Id: a1\r\nX-Upstream-Signature: s\r\n\r\nok'
)
Script = abc.Callable[
    [asyncio.StreamReader, asyncio.StreamWriter],
    abc.Awaitable[None],
]


class ScriptedUpstream:
    """Upstream that runs one script per connection and records requests."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.requests: list[bytes] = []
        self.closed = asyncio.Event()

    async def start(self) -> int:
        server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        port: int = server.sockets[0].getsockname()[1]
        return port

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        head = await reader.readuntil(b'\r\n\r\n')
        self.requests.append(head)
        await self.script(reader, writer)
        self.closed.set()
        writer.close()


def responds_with(content: bytes) -> Script:
    async def script(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.write(content)
        await writer.drain()

    return script


async def exchange_with(
    script: Script,
    target: str = '/x/../y?q=%41',
    body: bytes = b'',
) -> tuple[exchange.Exchange, ScriptedUpstream]:
    upstream = ScriptedUpstream(script)
    port = await upstream.start()
    request = upstream_request.OutgoingRequest(
        '127.0.0.1',
        port,
        'POST' if body else 'GET',
        target,
        (('Host', 'a.example'), ('X-Attempt-Id', 'a1'), ('X-Empty', '')),
        body,
    )
    driver = curl_multi.Driver()
    call = exchange.Exchange(
        request,
        driver,
        response_limits.ResponseLimits(),
        conftest.make_buffers(),
    )
    call.start()
    async with asyncio.timeout(5):
        while call.ending is None:
            await call.wait(1)
    driver.close()
    return call, upstream


async def test_complete_response() -> None:
    call, upstream = await exchange_with(responds_with(SUCCESS))
    assert isinstance(call.ending, exchange.Complete)
    assert call.read_content() == b'ok'
    assert (
        response_kind.classify(call, 'a1', NAMES) is response_kind.Kind.success
    )
    head = upstream.requests[0].decode()
    assert head.startswith('GET /x/../y?q=%41 HTTP/1.1\r\n')
    assert 'host: a.example' in head.lower()
    assert 'user-agent' not in head.lower()


@pytest.mark.parametrize(
    'content',
    [
        b'this is no answer at all\r\n\r\n',
        b'',
        b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab',
    ],
)
async def test_malformed_response_may_mean_that_the_request_ran(
    content: bytes,
) -> None:
    call, upstream = await exchange_with(responds_with(content))
    assert isinstance(call.ending, exchange.Interrupted)
    assert len(upstream.requests) == 1


async def test_refused_connection_proves_that_nothing_was_sent() -> None:
    upstream = ScriptedUpstream(responds_with(SUCCESS))
    server = await asyncio.start_server(upstream.serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    server.close()
    await server.wait_closed()
    driver = curl_multi.Driver()
    request = upstream_request.OutgoingRequest(
        '127.0.0.1', port, 'GET', '/', (), b''
    )
    call = exchange.Exchange(
        request,
        driver,
        response_limits.ResponseLimits(),
        conftest.make_buffers(),
    )
    call.start()
    async with asyncio.timeout(5):
        while call.ending is None:
            await call.wait(1)
    assert isinstance(call.ending, exchange.Unsent)
    driver.close()


async def test_response_to_another_attempt_is_foreign() -> None:
    content = SUCCESS.replace(b'a1', b'zz')
    call, _ = await exchange_with(responds_with(content))
    assert (
        response_kind.classify(call, 'a1', NAMES) is response_kind.Kind.foreign
    )


async def test_success_without_signature_is_foreign() -> None:
    content = SUCCESS.replace(b'X-Upstream-Signature: s\r\n', b'')
    call, _ = await exchange_with(responds_with(content))
    assert (
        response_kind.classify(call, 'a1', NAMES) is response_kind.Kind.foreign
    )


async def test_response_before_the_body_is_sent_ends_the_exchange() -> None:
    refusal = (
        b'HTTP/1.1 503 Full\r\nContent-Length: 0\r\nX-Not-Executed: 1\r\n'
        b'X-Attempt-Id: a1\r\n\r\n'
    )
    call, _ = await exchange_with(responds_with(refusal), body=b'b' * 3_000_000)
    assert (
        response_kind.classify(call, 'a1', NAMES) is response_kind.Kind.rejected
    )


async def test_interim_responses_and_trailers_are_not_headers() -> None:
    content = (
        b'HTTP/1.1 100 Continue\r\nX-Not-Executed: 1\r\n\r\n'
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n'
        b'X-Upstream-Signature: s\r\n\r\n'
        b'2\r\nok\r\n0\r\nX-Not-Executed: 1\r\n\r\n'
    )
    call, _ = await exchange_with(responds_with(content))
    assert isinstance(call.ending, exchange.Complete)
    assert call.header('x-not-executed') is None
    assert call.read_content() == b'ok'


async def test_stop_closes_the_connection_at_once() -> None:
    disconnected = asyncio.Event()

    async def script(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await reader.read()
        disconnected.set()

    upstream = ScriptedUpstream(script)
    port = await upstream.start()
    driver = curl_multi.Driver()
    request = upstream_request.OutgoingRequest(
        '127.0.0.1', port, 'GET', '/', (), b''
    )
    call = exchange.Exchange(
        request,
        driver,
        response_limits.ResponseLimits(),
        conftest.make_buffers(),
    )
    call.start()
    await asyncio.sleep(0.1)
    call.stop()
    async with asyncio.timeout(0.5):
        await disconnected.wait()
    driver.close()


@pytest.mark.parametrize('host', ['\u00fc.example', 'odd host', 'a\x00b'])
async def test_address_that_curl_does_not_take_is_unsent(host: str) -> None:
    # Failed with an error in the delivery, which cut the caller's connection.
    call = exchange.Exchange(
        upstream_request.OutgoingRequest(host, 80, 'GET', '/', (), b''),
        curl_multi.Driver(),
        response_limits.ResponseLimits(),
        conftest.make_buffers(),
    )
    call.start()
    async with asyncio.timeout(5):
        while call.ending is None:
            await call.wait(1)
    assert isinstance(call.ending, exchange.Unsent)


async def test_header_that_cannot_be_encoded_is_unsent() -> None:
    call = exchange.Exchange(
        upstream_request.OutgoingRequest(
            '127.0.0.1', 80, 'GET', '/', (('X-Expected', '\u0416'),), b''
        ),
        curl_multi.Driver(),
        response_limits.ResponseLimits(),
        conftest.make_buffers(),
    )
    call.start()
    assert isinstance(call.ending, exchange.Unsent)
    call.stop()


# Numbers that curl takes for a status, and text that it takes for none.
READ_BY_CURL = (b'000', b'099', b'600', b'999', b'2000')
REFUSED_BY_CURL = (b'0', b'42', b'0200', b'-200', b'2OO', b'200x', b'\xb2', b'')


async def exchange_for_status(
    status: bytes, interim: bytes = b''
) -> exchange.Exchange:
    """Return an exchange whose response has this in place of its status."""
    call, _ = await exchange_with(
        responds_with(
            b'%sHTTP/1.1 %s OK\r\nContent-Length: 2\r\nX-Attempt-Id: a1\r\n'
            b'X-Upstream-Signature: s\r\n\r\nok' % (interim, status)
        )
    )
    return call


@pytest.mark.parametrize('status', READ_BY_CURL + REFUSED_BY_CURL)
@pytest.mark.parametrize('interim', [b'', b'HTTP/1.1 103 Hints\r\n\r\n'])
async def test_head_without_a_status_is_no_response(
    status: bytes, interim: bytes
) -> None:
    # Guards against a number that is no status and reaches callers as one.
    call = await exchange_for_status(status, interim)
    assert not call.has_head
    assert isinstance(call.ending, exchange.Interrupted)


@pytest.mark.parametrize('status', READ_BY_CURL)
async def test_head_without_a_status_is_no_sign_of_an_end(
    status: bytes,
) -> None:
    call = await exchange_for_status(status)
    assert isinstance(call.ending, exchange.Interrupted)
    assert call.ending.cause.startswith('no status in')
    assert not call.ending.connection_lost


@pytest.mark.parametrize('status', [200, 204, 299, 304, 418, 499, 500, 599])
async def test_statuses_to_599_are_passed_on(status: int) -> None:
    call, _ = await exchange_with(
        responds_with(b'HTTP/1.1 %d\r\nContent-Length: 0\r\n\r\n' % status)
    )
    assert isinstance(call.ending, exchange.Complete)
    assert call.status == status
