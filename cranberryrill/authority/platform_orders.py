"""Place orders in the log and send them to the platform, while in charge."""

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
# Sent as it stands in an intent's end when the order was withdrawn unsent.
WITHDRAWN_STATUS = 0
ACTIONS = ('start', 'stop')
Orders = abc.Sequence[authority_pb2.Intent]


class Planner(typing.Protocol):
    """Decide which upstreams to start and stop."""

    def plan(self, now: float, unix_ms: int) -> Orders:
        """Return the orders to place now; `now` is monotonic seconds."""

    def is_still_needed(self, intent: authority_pb2.Intent) -> bool:
        """Say whether an order that was not sent yet should be."""


class Drainer(typing.Protocol):
    """Bring an upstream to rest before it is stopped."""

    def is_drained(self, upstream: str, now: float) -> bool:
        """Say whether an upstream takes no work and has none left."""

    async def drain(self, upstream: str, fencing: int, now: float) -> None:
        """Ask an agent that is not leaving yet to take no new work."""


def encode_order(intent: authority_pb2.Intent) -> bytes:
    """Return an order's content, the same bytes each time."""
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
    """Finish the orders that are open, then place those that are wanted."""

    def __init__(
        self,
        authority: holder.Authority,
        state: intents.AuthorityState,
        sender: platform_client.PlatformClient,
        planner: Planner,
        drainer: Drainer,
    ) -> None:
        self.authority = authority
        self.state = state
        self.sender = sender
        self.planner = planner
        self.drainer = drainer
        self.planned_at = float('-inf')
        self.backoff = backoff.Backoff()

    async def run(self) -> None:
        """Place and send orders until this member stops."""
        while not self.authority.stopping:
            await asyncio.sleep(timing.POLL_PERIOD_SECONDS)
            await self.step()

    async def step(self) -> None:
        """Send what is open; place new orders once nothing else is."""
        if self._tenure() is None:
            return
        unsent = False
        for intent in list(self.state.open.values()):
            if await self._needs_sending(intent):
                unsent = not await self._finish(intent) or unsent
        if unsent:
            await self.backoff.wait()
            return
        self.backoff.reset()
        now = clock.monotonic_seconds()
        tenure = self._tenure()
        if tenure is None or now < self.planned_at + timing.PLAN_PERIOD_SECONDS:
            return
        self.planned_at = now
        for wanted in self.planner.plan(now, clock.unix_milliseconds()):
            if not await self._place(wanted, tenure):
                return

    def _tenure(self) -> holder.Tenure | None:
        if self.authority.stopping:
            return None
        return self.authority.current(clock.monotonic_seconds())

    async def _needs_sending(self, intent: authority_pb2.Intent) -> bool:
        tenure = self._tenure()
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
        tenure = self._tenure()
        if tenure is None:
            return False
        message = platform_client.Message(
            path=PATH,
            key=f'order-{intent.number}',
            body=encode_order(intent),
        )
        sent = await self.sender.send(message, tenure)
        if isinstance(sent, result.Err) or _is_temporary(sent.ok_value):
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
        wanted: authority_pb2.Intent,
        tenure: holder.Tenure,
    ) -> bool:
        wanted.fencing = tenure.fencing
        placed = await self.authority.commit(
            commands_pb2.Command(
                place_intent=authority_pb2.PlaceIntent(intent=wanted),
            ),
        )
        return placed.is_ok()


def _is_temporary(status: int) -> bool:
    if status == http.HTTPStatus.TOO_MANY_REQUESTS:
        return True
    return status >= http.HTTPStatus.INTERNAL_SERVER_ERROR
