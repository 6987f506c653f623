"""Connection time of an exchange, from which the latency is taken."""

import asyncio

from cranberryrill.forwarding import curl_multi, exchange, upstream_request
from cranberryrill.settings import response_limits
from tests.forwarding import conftest, test_exchange


async def test_connection_time_is_known_while_the_response_is_received() -> (
    None
):
    # Guards against an error of curl, or a time of nothing, in its place.
    rest_may_follow = asyncio.Event()

    async def script(
        _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(test_exchange.SUCCESS[:-1])
        await rest_may_follow.wait()
        writer.write(test_exchange.SUCCESS[-1:])

    port = await test_exchange.ScriptedUpstream(script).start()
    driver = curl_multi.Driver()
    call = exchange.Exchange(
        upstream_request.OutgoingRequest(
            '127.0.0.1', port, 'GET', '/', (), b''
        ),
        driver,
        response_limits.ResponseLimits(),
        conftest.make_buffers(),
    )
    assert call.connect_seconds() == 0
    call.start()
    async with asyncio.timeout(5):
        while not call.has_head:
            await call.wait(1)
    assert 0 < call.connect_seconds() < 1
    rest_may_follow.set()
    async with asyncio.timeout(5):
        while call.ending is None:
            await call.wait(1)
    assert call.connect_seconds() == 0
    driver.close()
