"""Send orders as callers do, and judge the answers by the desks' ledgers."""

import collections
import dataclasses
import enum
import http
import itertools
import json
import pathlib
import random
import threading
import time
from collections import abc as collection_types
from http import client as http_client

from bench import web
from standins import desk

# A caller sends an order again this often, until it knows the outcome.
MAX_ATTEMPTS = 4
RETRY_PAUSE_SECONDS = 0.2


class ReportedOutcome(enum.Enum):
    """Say what an answer told of an order."""

    yes = 'yes'
    no = 'no'
    unknown = 'unknown'
    # The connection to the entry broke.
    no_answer = 'nothing'


@dataclasses.dataclass
class Order:
    """Hold one order and what its caller was told."""

    name: str
    has_key: bool
    reported: list[ReportedOutcome] = dataclasses.field(default_factory=list)
    codes: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True)
class Verdict:
    """Count what the ledgers say of the answers."""

    orders: int
    doubled: list[str]
    false_no: list[str]
    false_yes: list[str]
    unknown: int
    unknown_keyed: int
    answered_yes: int
    ran: int

    def show(self) -> None:
        """Print the counts, a line for each."""
        for name, count in dataclasses.asdict(self).items():
            print(f'{name:14} {count}')


class Caller(threading.Thread):
    """Send orders one after another, through one entry after another."""

    def __init__(
        self,
        name: str,
        urls: collection_types.Sequence[str],
        key: str,
        seed: int,
    ) -> None:
        super().__init__(name=name)
        self.urls = urls
        self.key = key
        self.rng = random.Random(f'{seed}-{name}')
        self.orders: list[Order] = []
        self.stopping = threading.Event()

    def run(self) -> None:
        """Send orders until told to stop."""
        for number in itertools.count():
            if self.stopping.is_set():
                return
            order = Order(f'{self.name}-{number}', bool(self.rng.randrange(3)))
            self.orders.append(order)
            self._send_until_known(order)

    def _send_until_known(self, order: Order) -> None:
        for sending in range(MAX_ATTEMPTS if order.has_key else 1):
            url = self.urls[(sending + self.rng.randrange(2)) % len(self.urls)]
            outcome = self._send(order, url)
            order.reported.append(outcome)
            if outcome is ReportedOutcome.yes:
                return
            time.sleep(RETRY_PAUSE_SECONDS)

    def _send(self, order: Order, url: str) -> ReportedOutcome:
        # The same order has the same content, however often it is sent.
        body = {'order': order.name, 'delay_seconds': len(order.name) / 100}
        headers = {'Idempotency-Key': order.name} if order.has_key else {}
        try:
            reply = web.request(
                f'{url}/orders/feet',
                'POST',
                body,
                self.key,
                headers,
            )
        except (OSError, http_client.HTTPException):
            order.codes.append('connection')
            return ReportedOutcome.no_answer
        if reply.status < http.HTTPStatus.BAD_REQUEST:
            order.codes.append(str(reply.status))
            return ReportedOutcome.yes
        error = reply.json()['error']
        order.codes.append(error['code'])
        return ReportedOutcome(error['ran'])


def check_answers(
    orders: collection_types.Sequence[Order],
    ledgers: collection_types.Iterable[pathlib.Path],
) -> Verdict:
    """Compare what callers were told with what the desks wrote down."""
    ran = collections.Counter(
        json.loads(line.body)['order']
        for ledger in ledgers
        for line in desk.read_ledger(ledger)
    )
    unknown = [order for order in orders if _is_unresolved(order)]
    return Verdict(
        orders=len(orders),
        doubled=[name for name, count in ran.items() if count > 1],
        false_no=[
            order.name
            for order in orders
            if set(order.reported) == {ReportedOutcome.no} and ran[order.name]
        ],
        false_yes=[
            order.name
            for order in orders
            if ReportedOutcome.yes in order.reported and not ran[order.name]
        ],
        unknown=len(unknown),
        unknown_keyed=sum(order.has_key for order in unknown),
        answered_yes=sum(
            ReportedOutcome.yes in order.reported for order in orders
        ),
        ran=len(ran),
    )


def _is_unresolved(order: Order) -> bool:
    return ReportedOutcome.yes not in order.reported and set(
        order.reported
    ) != {ReportedOutcome.no}
