"""Pass orders to the engine, from the agent that stands before it."""

import asyncio
import json
import logging
import typing

import pycurl
import result
from grpclib import server
from tornado import curl_httpclient, httpclient

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
    """Take no new work once it is leaving."""

    leaving: bool


class OrderService(authority_grpc.OrdersBase):
    """Pass one order after the other, each checked in the line before."""

    def __init__(
        self,
        known: fencing_gate.Gate,
        base_url: str,
        served: Drainable,
    ) -> None:
        self.gate = known
        self.base_url = base_url
        self.served = served
        # An order that is on its way ends before a newer one is sent.
        self.passing = asyncio.Lock()
        self.client = curl_httpclient.CurlAsyncHTTPClient(force_instance=True)

    async def Pass(self, stream: OrderStream) -> None:
        """Pass an order to the engine, or refuse it."""
        order = await stream.recv_message()
        if order is None:
            return
        async with self.passing:
            answer = await self._pass(order)
        await stream.send_message(answer)

    async def _pass(
        self,
        order: authority_pb2.EngineOrder,
    ) -> authority_pb2.EngineOrderAnswer:
        checked = self.gate.check(order.fencing)
        if isinstance(checked, result.Err):
            return self._refused(order, checked.err_value)
        if order.kind == authority_pb2.DRAIN:
            self.served.leaving = True
            return self._answer(Verdict.PASSED)
        return await self._send(order)

    async def _send(
        self,
        order: authority_pb2.EngineOrder,
    ) -> authority_pb2.EngineOrderAnswer:
        transfer = FencingGuard(self.gate, order.fencing)
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
            prepare_curl_callback=transfer.prepare,
        )
        try:
            answer = await self.client.fetch(request, raise_error=False)
        except (httpclient.HTTPError, OSError) as error:
            LOGGER.warning('order not answered', extra={'cause': str(error)})
            return self._broken(transfer)
        return self._answer(Verdict.PASSED, answer.code)

    def _broken(
        self, transfer: 'FencingGuard'
    ) -> authority_pb2.EngineOrderAnswer:
        if transfer.refused:
            return self._answer(Verdict.OLD_FENCING)
        return self._answer(Verdict.OUTCOME_UNKNOWN)

    def _refused(
        self,
        order: authority_pb2.EngineOrder,
        closed: fencing_gate.Refusal,
    ) -> authority_pb2.EngineOrderAnswer:
        LOGGER.warning(
            'order refused',
            extra={'sender': order.sender, 'cause': str(closed)},
        )
        if isinstance(closed, fencing_gate.OldFencing):
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
    """Guard one exchange by the gate."""

    def __init__(self, known: fencing_gate.Gate, fencing: int) -> None:
        self.gate = known
        self.fencing = fencing
        self.refused = False

    def prepare(self, curl: typing.Any) -> None:
        """Set curl up so that it sends at most once, past the gate."""
        platform_client.disable_resending(curl)
        curl.setopt(pycurl.PREREQFUNCTION, self._may_send)

    def _may_send(self, *addresses: typing.Any) -> int:
        self.refused = self.gate.check(self.fencing).is_err()
        if self.refused:
            return int(pycurl.PREREQFUNC_ABORT)
        return int(pycurl.PREREQFUNC_OK)


def encode_order(order: authority_pb2.EngineOrder) -> bytes:
    """Return what the engine is told."""
    content = {
        'kind': authority_pb2.EngineOrderKind.Name(order.kind).lower(),
        'name': order.name,
    }
    return json.dumps(content, sort_keys=True).encode()
