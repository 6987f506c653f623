"""Service of an agent that forwards control orders to its engine."""

import asyncio
import json
import logging
import typing

import pycurl
import result
from grpclib import server
from tornado import curl_httpclient, httpclient

from cranberryrill import response_syntax, strict_fetch
from cranberryrill.authority import (
    authority_grpc,
    authority_pb2,
    fencing_gate,
    platform_client,
    timing,
)

LOGGER = logging.getLogger(__name__)
PATH = '/v1/engine/orders'
Verdict = authority_pb2.EngineOrderAnswer
OrderStream = server.Stream[
    authority_pb2.EngineOrder, authority_pb2.EngineOrderAnswer
]


class Drainable(typing.Protocol):
    """Part of an agent that rejects new requests while `leaving` is set."""

    leaving: bool


class OrderService(authority_grpc.OrdersBase):
    """Forward orders one at a time, each checked by the fencing gate."""

    def __init__(
        self,
        gate: fencing_gate.Gate,
        base_url: str,
        drainable: Drainable,
    ) -> None:
        self.gate = gate
        self.base_url = base_url
        self.drainable = drainable
        # An order in flight ends before a newer one is sent.
        self.order_lock = asyncio.Lock()
        self.client = curl_httpclient.CurlAsyncHTTPClient(force_instance=True)

    async def Pass(self, stream: OrderStream) -> None:
        """Forward an order to the engine, or refuse it.

        A drain order is for the agent: it is not forwarded.
        """
        order = await stream.recv_message()
        if order is None:
            return
        async with self.order_lock:
            answer = await self._check_and_forward(order)
        await stream.send_message(answer)

    async def _check_and_forward(
        self,
        order: authority_pb2.EngineOrder,
    ) -> authority_pb2.EngineOrderAnswer:
        checked = self.gate.check(order.fencing)
        if isinstance(checked, result.Err):
            return self._refuse(order, checked.err_value)
        if order.kind == authority_pb2.DRAIN:
            self.drainable.leaving = True
            return self._answer(Verdict.PASSED)
        return await self._forward(order)

    async def _forward(
        self,
        order: authority_pb2.EngineOrder,
    ) -> authority_pb2.EngineOrderAnswer:
        guard = FencingGuard(self.gate, order.fencing)
        request = httpclient.HTTPRequest(
            self.base_url + PATH,
            method='POST',
            body=encode_order(order),
            headers={
                'Content-Type': 'application/json',
                platform_client.SENDER_HEADER: order.sender,
                platform_client.FENCING_HEADER: str(order.fencing),
            },
            connect_timeout=timing.ENGINE_ORDER_TIMEOUT_SECONDS,
            request_timeout=timing.ENGINE_ORDER_TIMEOUT_SECONDS,
            follow_redirects=False,
            prepare_curl_callback=guard.prepare,
        )
        try:
            head = await strict_fetch.fetch(self.client, request)
        except (
            response_syntax.MalformedResponse,
            httpclient.HTTPError,
            OSError,
        ) as error:
            LOGGER.warning('order not answered', extra={'cause': str(error)})
            return self._failure_answer(guard)
        return self._answer(Verdict.PASSED, head.status)

    def _failure_answer(
        self, guard: 'FencingGuard'
    ) -> authority_pb2.EngineOrderAnswer:
        if guard.refused:
            return self._answer(Verdict.OLD_FENCING)
        return self._answer(Verdict.OUTCOME_UNKNOWN)

    def _refuse(
        self,
        order: authority_pb2.EngineOrder,
        refusal: fencing_gate.Refusal,
    ) -> authority_pb2.EngineOrderAnswer:
        LOGGER.warning(
            'order refused',
            extra={'sender': order.sender, 'cause': str(refusal)},
        )
        if isinstance(refusal, fencing_gate.OldFencing):
            return self._answer(Verdict.OLD_FENCING)
        return self._answer(Verdict.NOT_PROVED)

    def _answer(
        self,
        verdict: Verdict.Verdict,
        status: int = 0,
    ) -> authority_pb2.EngineOrderAnswer:
        return authority_pb2.EngineOrderAnswer(
            verdict=verdict,
            highest_fencing=self.gate.highest,
            status=status,
        )


class FencingGuard:
    """Check the fencing number of one request again just before the send."""

    def __init__(self, gate: fencing_gate.Gate, fencing: int) -> None:
        self.gate = gate
        self.fencing = fencing
        self.refused = False

    def prepare(self, curl: typing.Any) -> None:
        """Make curl check the gate before the send, and send at most once."""
        platform_client.disable_resending(curl)
        curl.setopt(pycurl.PREREQFUNCTION, self._may_send)

    def _may_send(self, *addresses: typing.Any) -> int:
        self.refused = self.gate.check(self.fencing).is_err()
        if self.refused:
            return int(pycurl.PREREQFUNC_ABORT)
        return int(pycurl.PREREQFUNC_OK)


def encode_order(order: authority_pb2.EngineOrder) -> bytes:
    """Return the JSON body of an order to the engine."""
    content = {
        'kind': authority_pb2.EngineOrderKind.Name(order.kind).lower(),
        'name': order.name,
    }
    return json.dumps(content, sort_keys=True).encode()
