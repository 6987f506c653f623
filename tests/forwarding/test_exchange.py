"""What an exchange proves about a request, against a scripted upstream."""

import asyncio
from collections import abc

import pytest

from cranberryrill.forwarding import exchange, http_names, multi, response_kind

NAMES = http_names.HttpNames()
GOOD = (
    b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n'
    b'X-Attempt-Id: a1\r\nX-Upstream-Signature: s\r\n\r\nok'
)
Script = abc.Callable[
    [asyncio.StreamReader, asyncio.StreamWriter],
    abc.Awaitable[None],
]


class Scripted:
    """Answer each connection by one script and count what arrives."""

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


def saying(content: bytes) -> Script:
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
) -> tuple[exchange.Exchange, Scripted]:
    scripted = Scripted(script)
    port = await scripted.start()
    call = exchange.OutgoingRequest(
        '127.0.0.1',
        port,
        'POST' if body else 'GET',
        target,
        (('Host', 'a.example'), ('X-Attempt-Id', 'a1'), ('X-Empty', '')),
        body,
    )
    driver = multi.Driver()
    sent = exchange.Exchange(call, driver)
    sent.start()
    async with asyncio.timeout(5):
        while sent.ending is None:
            await sent.wait(1)
    driver.close()
    return sent, scripted


async def test_whole_answer() -> None:
    sent, scripted = await exchange_with(saying(GOOD))
    assert isinstance(sent.ending, exchange.Complete)
    assert sent.read_content() == b'ok'
    assert (
        response_kind.classify(sent, 'a1', NAMES) is response_kind.Kind.success
    )
    head = scripted.requests[0].decode()
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
async def test_garbled_answers_leave_open_whether_it_ran(
    content: bytes,
) -> None:
    sent, scripted = await exchange_with(saying(content))
    assert isinstance(sent.ending, exchange.Interrupted)
    assert len(scripted.requests) == 1


async def test_refused_connection_proves_that_nothing_was_sent() -> None:
    scripted = Scripted(saying(GOOD))
    server = await asyncio.start_server(scripted.serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    server.close()
    await server.wait_closed()
    driver = multi.Driver()
    call = exchange.OutgoingRequest('127.0.0.1', port, 'GET', '/', (), b'')
    sent = exchange.Exchange(call, driver)
    sent.start()
    async with asyncio.timeout(5):
        while sent.ending is None:
            await sent.wait(1)
    assert isinstance(sent.ending, exchange.Unsent)
    driver.close()


async def test_answer_of_another_request_is_foreign() -> None:
    content = GOOD.replace(b'a1', b'zz')
    sent, _ = await exchange_with(saying(content))
    assert (
        response_kind.classify(sent, 'a1', NAMES) is response_kind.Kind.foreign
    )


async def test_success_without_signature_is_foreign() -> None:
    content = GOOD.replace(b'X-Upstream-Signature: s\r\n', b'')
    sent, _ = await exchange_with(saying(content))
    assert (
        response_kind.classify(sent, 'a1', NAMES) is response_kind.Kind.foreign
    )


async def test_early_answer_ends_the_exchange() -> None:
    refusal = (
        b'HTTP/1.1 503 Full\r\nContent-Length: 0\r\nX-Not-Executed: 1\r\n\r\n'
    )
    sent, _ = await exchange_with(saying(refusal), body=b'b' * 3_000_000)
    assert (
        response_kind.classify(sent, 'a1', NAMES) is response_kind.Kind.rejected
    )


async def test_interim_answers_and_trailers_are_no_headers() -> None:
    content = (
        b'HTTP/1.1 100 Continue\r\nX-Not-Executed: 1\r\n\r\n'
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n'
        b'X-Upstream-Signature: s\r\n\r\n'
        b'2\r\nok\r\n0\r\nX-Not-Executed: 1\r\n\r\n'
    )
    sent, _ = await exchange_with(saying(content))
    assert isinstance(sent.ending, exchange.Complete)
    assert sent.header('x-not-executed') is None
    assert sent.read_content() == b'ok'


async def test_stopping_closes_the_connection_at_once() -> None:
    gone = asyncio.Event()

    async def script(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await reader.read()
        gone.set()

    scripted = Scripted(script)
    port = await scripted.start()
    driver = multi.Driver()
    call = exchange.OutgoingRequest('127.0.0.1', port, 'GET', '/', (), b'')
    sent = exchange.Exchange(call, driver)
    sent.start()
    await asyncio.sleep(0.1)
    sent.stop()
    async with asyncio.timeout(0.5):
        await gone.wait()
    driver.close()
