"""Dispatch of orders to the platform while this member holds authority.

Each order is committed to the log before it is sent, so that the next holder
can finish it under the same number.
"""

import asyncio
import http
import json
import logging
import typing
from collections import abc

import result

from cranberryrill import clock
from cranberryrill.authority import (
    authority_pb2,
    backoff,
    holder,
    intents,
    platform_client,
    timing,
)
from cranberryrill.state import commands_pb2

LOGGER = logging.getLogger(__name__)
PATH = '/v1/upstreams/orders'
# Status of an order that was withdrawn before it was sent.
WITHDRAWN_STATUS = 0
ACTIONS = ('start', 'stop')
Orders = abc.Sequence[authority_pb2.Intent]


class Planner(typing.Protocol):
    """Policy that decides which upstreams to start and stop."""

    def plan(self, now: float, unix_ms: int) -> Orders:
        """Return the orders to place at `now`, in monotonic seconds."""

    def is_still_needed(self, intent: authority_pb2.Intent) -> bool:
        """Return whether an open stop order should still be sent."""


class Drainer(typing.Protocol):
    """Removal of all work from an upstream before it is stopped."""

    def is_drained(self, upstream: str, now: float) -> bool:
        """Return whether an upstream accepts no requests and has none left."""

    async def drain(self, upstream: str, fencing: int, now: float) -> None:
        """Send a drain order to an upstream's agent unless it is leaving."""


def encode_order(intent: authority_pb2.Intent) -> bytes:
    """Return the JSON body of an order, the same bytes on every retry."""
    content = {
        'number': intent.number,
        'placed_under': intent.fencing,
        'action': ACTIONS[intent.kind],
        'target': intent.target,
        'data_centre': intent.data_centre,
        'upstream': intent.upstream,
    }
    return json.dumps(content, sort_keys=True, separators=(',', ':')).encode()


class OrderDispatcher:
    """Finish open orders first, then place newly planned ones.

    Open orders include those that a former holder of authority placed.
    """

    def __init__(
        self,
        authority: holder.Authority,
        state: intents.AuthorityState,
        client: platform_client.PlatformClient,
        planner: Planner,
        drainer: Drainer,
    ) -> None:
        self.authority = authority
        self.state = state
        self.client = client
        self.planner = planner
        self.drainer = drainer
        self.planned_at = float('-inf')
        self.backoff = backoff.Backoff()

    async def run(self) -> None:
        """Place and send orders until this member begins to stop."""
        while not self.authority.stopping:
            await asyncio.sleep(timing.POLL_PERIOD_SECONDS)
            await self.step()

    async def step(self) -> None:
        """Send open orders; place new ones when none of them failed.

        Do nothing when this member does not hold authority.
        """
        if self._current_tenure() is None:
            return
        failed = False
        for intent in list(self.state.open.values()):
            if await self._prepare_to_send(intent):
                failed = not await self._finish(intent) or failed
        if failed:
            await self.backoff.wait()
            return
        self.backoff.reset()
        now = clock.monotonic_seconds()
        tenure = self._current_tenure()
        if tenure is None or now < self.planned_at + timing.PLAN_PERIOD_SECONDS:
            return
        self.planned_at = now
        for planned in self.planner.plan(now, clock.unix_milliseconds()):
            if not await self._place(planned, tenure):
                return

    def _current_tenure(self) -> holder.Tenure | None:
        if self.authority.stopping:
            return None
        return self.authority.current(clock.monotonic_seconds())

    async def _prepare_to_send(self, intent: authority_pb2.Intent) -> bool:
        """Return whether to send an order now.

        A stop that is not needed any more is withdrawn instead, and the
        upstream of any other stop is drained first.
        """
        tenure = self._current_tenure()
        if tenure is None or intent.kind == authority_pb2.START_UPSTREAM:
            return True
        if not self.planner.is_still_needed(intent):
            await self._end(intent, WITHDRAWN_STATUS)
            return False
        now = clock.monotonic_seconds()
        if self.drainer.is_drained(intent.upstream, now):
            return True
        await self.drainer.drain(intent.upstream, tenure.fencing, now)
        return False

    async def _finish(self, intent: authority_pb2.Intent) -> bool:
        tenure = self._current_tenure()
        if tenure is None:
            return False
        message = platform_client.Message(
            path=PATH,
            key=f'order-{intent.number}',
            body=encode_order(intent),
        )
        sent = await self.client.send(message, tenure)
        if isinstance(sent, result.Err) or _is_retryable(sent.ok_value):
            LOGGER.warning(
                'order not answered',
                extra={'order': intent.number, 'outcome': str(sent)},
            )
            return False
        return await self._end(intent, sent.ok_value)

    async def _end(self, intent: authority_pb2.Intent, status: int) -> bool:
        ended = await self.authority.commit(
            commands_pb2.Command(
                end_intent=authority_pb2.EndIntent(
                    number=intent.number,
                    status=status,
                ),
            ),
        )
        return ended.is_ok()

    async def _place(
        self,
        intent: authority_pb2.Intent,
        tenure: holder.Tenure,
    ) -> bool:
        intent.fencing = tenure.fencing
        placed = await self.authority.commit(
            commands_pb2.Command(
                place_intent=authority_pb2.PlaceIntent(intent=intent),
            ),
        )
        return placed.is_ok()


def _is_retryable(status: int) -> bool:
    if status == http.HTTPStatus.TOO_MANY_REQUESTS:
        return True
    return status >= http.HTTPStatus.INTERNAL_SERVER_ERROR
