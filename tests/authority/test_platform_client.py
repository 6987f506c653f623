"""Each message is sent once, and only under the lease."""

import asyncio
import typing
from collections import abc

import pytest
import result

from cranberryrill.authority import holder, platform_client
from tests.authority import endless_server

HOST = '127.0.0.1'
TENURE = holder.Tenure(fencing=7, started_at=0)
MESSAGE = platform_client.Message(
    '/v1/upstreams/orders', 'order-1', b'{"number":1}'
)
ACCEPTED = b'HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n'
MOVED = (
    b'HTTP/1.1 302 Found\r\nLocation: /elsewhere\r\nContent-Length: 0\r\n\r\n'
)


class Receiver:
    """HTTP server that records requests and sends given answers.

    It closes the connection without an answer where the answer is None.
    """

    def __init__(self) -> None:
        self.answers: list[bytes | None] = []
        self.requests: list[bytes] = []
        self.connections = 0
        self.port = 0
        self.closed = asyncio.Event()

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Receive requests until the connection is closed."""
        self.connections += 1
        try:
            while content := await reader.read(65536):
                self.requests.append(content)
                answer = self.answers.pop(0)
                if answer is None:
                    break
                writer.write(answer)
        except ConnectionError:
            pass
        writer.close()
        self.closed.set()


@pytest.fixture
async def receiver() -> abc.AsyncIterator[Receiver]:
    """Run a receiver on a free port."""
    receiving = Receiver()
    server = await asyncio.start_server(receiving.serve, HOST, 0)
    receiving.port = server.sockets[0].getsockname()[1]
    yield receiving
    server.close()


class FakeAuthority:
    """Authority that permits a given number of sends."""

    def __init__(self, permissions: int) -> None:
        self.permissions = permissions

    def may_send(self, tenure: holder.Tenure, now: float) -> bool:
        """Use up one permission."""
        self.permissions -= 1
        return self.permissions >= 0


def make_client(
    receiver: Receiver, permissions: int = 9
) -> platform_client.PlatformClient:
    return platform_client.PlatformClient(
        f'http://{HOST}:{receiver.port}',
        'control-0',
        typing.cast(holder.Authority, FakeAuthority(permissions)),
    )


async def test_message_has_sender_and_fencing_headers(
    receiver: Receiver,
) -> None:
    receiver.answers = [ACCEPTED]
    assert await make_client(receiver).send(MESSAGE, TENURE) == result.Ok(202)
    request = receiver.requests[0]
    assert len(receiver.requests) == 1
    assert b'\r\nX-Sender: control-0\r\n' in request
    assert b'\r\nX-Fencing: 7\r\n' in request
    assert b'\r\nIdempotency-Key: order-1\r\n' in request
    assert b'expect:' not in request.lower()


async def test_lost_answer_is_not_resent(receiver: Receiver) -> None:
    # On a reused connection, libcurl would resend the request by itself.
    receiver.answers = [ACCEPTED, None, ACCEPTED]
    client = make_client(receiver)
    assert (await client.send(MESSAGE, TENURE)).is_ok()
    lost = await client.send(MESSAGE, TENURE)
    assert isinstance(lost.err(), platform_client.NoAnswer)
    assert len(receiver.requests) == 2
    assert receiver.connections == 2


async def test_redirect_is_not_followed(receiver: Receiver) -> None:
    receiver.answers = [MOVED]
    assert await make_client(receiver).send(MESSAGE, TENURE) == result.Ok(302)
    assert len(receiver.requests) == 1


async def test_proxy_from_environment_is_ignored(
    receiver: Receiver,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setenv('http_proxy', 'http://127.0.0.1:1')
    receiver.answers = [ACCEPTED]
    assert await make_client(receiver).send(MESSAGE, TENURE) == result.Ok(202)


async def test_missing_answer_times_out(receiver: Receiver) -> None:
    receiver.answers = [b'']
    lost = await make_client(receiver).send(MESSAGE, TENURE)
    assert isinstance(lost.err(), platform_client.NoAnswer)
    assert len(receiver.requests) == 1


async def test_lease_expired_before_connection_sends_nothing(
    receiver: Receiver,
) -> None:
    refused = await make_client(receiver, permissions=0).send(MESSAGE, TENURE)
    assert refused == result.Err(platform_client.NotInCharge())
    await asyncio.wait_for(receiver.closed.wait(), 5)
    assert receiver.connections == 1
    assert not receiver.requests


async def test_answer_without_end_is_not_collected(receiver: Receiver) -> None:
    # Failed when the whole body was kept until the timeout.
    server = endless_server.EndlessServer()
    await server.listen()
    receiver.port = server.port
    peak = await endless_server.peak_bytes(
        make_client(receiver).send(MESSAGE, TENURE)
    )
    assert peak < endless_server.MAX_GROWTH_BYTES
