"""Send requests to the agent's upstream, by curl."""

import asyncio

from tornado import curl_httpclient, httpclient

from cranberryrill import clock
from cranberryrill.relay import answers, relay_pb2, timing, transfer
from cranberryrill.settings import schema

MAX_CONNECTIONS = 1000


class Upstream:
    """Speak to the one upstream that this agent stands before."""

    def __init__(self, settings: schema.UpstreamSettings) -> None:
        self.settings = settings
        self.client = curl_httpclient.CurlAsyncHTTPClient(
            max_clients=MAX_CONNECTIONS,
            force_instance=True,
        )

    async def run(
        self,
        call: relay_pb2.Call,
        answer: answers.Answer,
        preempted: asyncio.Event,
    ) -> None:
        """Send the call and collect its answer until it ends.

        A preempted answer has no end: run it again to go on with it.
        """
        exchange = transfer.Transfer(
            call,
            answer,
            preempted,
            clock.monotonic_seconds(),
        )
        request = self._request(call, exchange)
        answer.sent = True
        fetching = asyncio.ensure_future(
            self.client.fetch(request, raise_error=False),
        )
        try:
            await _watch(fetching, exchange)
            await fetching
        except (httpclient.HTTPError, OSError) as error:
            exchange.broke_off(error, clock.monotonic_seconds())
            return
        exchange.ended(clock.monotonic_seconds())

    def close(self) -> None:
        """Close all connections."""
        self.client.close()

    def _request(
        self,
        call: relay_pb2.Call,
        exchange: transfer.Transfer,
    ) -> httpclient.HTTPRequest:
        return httpclient.HTTPRequest(
            self.settings.base_url + call.path,
            method=call.method,
            headers=exchange.headers(clock.monotonic_seconds()),
            body=call.body or None,
            allow_nonstandard_methods=True,
            connect_timeout=timing.UPSTREAM_CONNECT_TIMEOUT_SECONDS,
            request_timeout=timing.ANSWER_TIMEOUT_SECONDS,
            follow_redirects=False,
            decompress_response=False,
            prepare_curl_callback=exchange.prepare,
        )


async def _watch(
    fetching: asyncio.Future[httpclient.HTTPResponse],
    exchange: transfer.Transfer,
) -> None:
    while not fetching.done():
        await asyncio.wait({fetching}, timeout=timing.UPSTREAM_CHECK_SECONDS)
        exchange.watch(clock.monotonic_seconds())
