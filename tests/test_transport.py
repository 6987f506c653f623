"""A server that has ended answers nobody, also on connections that are kept."""

import asyncio

import pytest
from grpclib import client, const, server

from bench import web
from cranberryrill import transport
from cranberryrill.replication import replication_pb2

METHOD = '/test.Test/Found'
CALL_SECONDS = 2.0


class Service:
    """Service that answers with its own name."""

    def __init__(self, name: str) -> None:
        self.name = name

    def __mapping__(self) -> dict[str, const.Handler]:
        return {
            METHOD: const.Handler(
                self.found,
                const.Cardinality.UNARY_UNARY,
                replication_pb2.FoundRequest,
                replication_pb2.FoundAnswer,
            ),
        }

    async def found(
        self,
        stream: server.Stream[
            replication_pb2.FoundRequest, replication_pb2.FoundAnswer
        ],
    ) -> None:
        await stream.recv_message()
        await stream.send_message(
            replication_pb2.FoundAnswer(identity=self.name)
        )


async def ask(channel: client.Channel) -> str:
    """Return the name of the service that answers on a channel."""
    method = client.UnaryUnaryMethod(
        channel,
        METHOD,
        replication_pb2.FoundRequest,
        replication_pb2.FoundAnswer,
    )
    answer = await method(replication_pb2.FoundRequest(), timeout=CALL_SECONDS)
    return answer.identity


async def ask_until_answered(channel: client.Channel) -> str:
    async with asyncio.timeout(CALL_SECONDS):
        while True:
            try:
                return await ask(channel)
            except transport.CALL_ERRORS:
                await asyncio.sleep(0.01)


async def test_kept_connection_reaches_the_next_server_of_the_process() -> None:
    # Guards against answers of a member that ended as its disk was full, while
    # its process went on with another one.
    address = transport.Address('127.0.0.1', web.free_port())
    first = await transport.listen([Service('first')], address, None)
    channel = transport.Dialer(None).dial(address)
    assert await ask(channel) == 'first'
    first.close()
    await first.wait_closed()
    second = await transport.listen([Service('second')], address, None)
    assert await ask_until_answered(channel) == 'second'
    channel.close()
    second.close()


async def test_closed_server_answers_no_kept_connection() -> None:
    address = transport.Address('127.0.0.1', web.free_port())
    ended = await transport.listen([Service('ended')], address, None)
    channel = transport.Dialer(None).dial(address)
    await ask(channel)
    ended.close()
    await ended.wait_closed()
    with pytest.raises(transport.CALL_ERRORS):
        await ask(channel)
    channel.close()


async def test_connection_without_a_call_is_closed() -> None:
    address = transport.Address('127.0.0.1', web.free_port())
    ended = await transport.listen([Service('ended')], address, None)
    reader, writer = await asyncio.open_connection(address.host, address.port)
    await asyncio.sleep(0)
    ended.close()
    async with asyncio.timeout(CALL_SECONDS):
        await reader.read()
    writer.close()
