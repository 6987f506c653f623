"""Send requests to the upstream of this agent with curl."""

import asyncio
import functools

from tornado import curl_httpclient, httpclient

from cranberryrill import clock
from cranberryrill.limits import buffer_budget
from cranberryrill.relay import (
    answers,
    relay_pb2,
    requested_absence,
    timing,
    transfer,
)
from cranberryrill.settings import schema

MAX_CONNECTIONS = 1000


class Upstream:
    """HTTP client for the one upstream of this agent."""

    def __init__(self, settings: schema.UpstreamSettings) -> None:
        self.settings = settings
        self.client = curl_httpclient.CurlAsyncHTTPClient(
            max_clients=MAX_CONNECTIONS,
            force_instance=True,
        )
        self.absence = requested_absence.RequestedAbsence(
            settings.target, settings.slots
        )
        self.buffers = buffer_budget.BufferBudget(
            settings.responses.total_bytes
        )

    async def run(
        self,
        call: relay_pb2.Call,
        answer: answers.Answer,
        preempted: asyncio.Event,
    ) -> None:
        """Send the call and collect its answer until the exchange is over.

        A preempted answer has no end yet; call `run` again to resume it.
        """
        exchange = transfer.Transfer(
            call,
            answer,
            preempted,
            self.settings.responses,
            self.buffers,
            clock.monotonic_seconds(),
        )
        exchange.on_head = functools.partial(self._record_head, exchange)
        request = self._request(call, exchange)
        self.absence.record_sent(clock.monotonic_seconds())
        answer.sent = True
        fetch = asyncio.ensure_future(
            self.client.fetch(request, raise_error=False),
        )
        try:
            await _check_until_done(fetch, exchange)
            await fetch
        except (httpclient.HTTPError, OSError) as error:
            exchange.fail(error, clock.monotonic_seconds())
            return
        finally:
            self.buffers.release(exchange)
        exchange.finish(clock.monotonic_seconds())

    def _record_head(self, exchange: transfer.Transfer) -> None:
        self.absence.record_head(exchange.head, clock.monotonic_seconds())

    def close(self) -> None:
        """Close the client and its connections."""
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


async def _check_until_done(
    fetch: asyncio.Future[httpclient.HTTPResponse],
    exchange: transfer.Transfer,
) -> None:
    while not fetch.done():
        await asyncio.wait({fetch}, timeout=timing.UPSTREAM_CHECK_SECONDS)
        exchange.check(clock.monotonic_seconds())
