"""Send orders as callers do, and check the answers against the ledgers."""

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

# Limit for an order with an idempotency key, which is sent until an answer is
# yes. Others are sent once.
MAX_ATTEMPTS = 4
RETRY_PAUSE_SECONDS = 0.2


class Answer(enum.Enum):
    """Whether an order ran, by the answer to its caller."""

    yes = 'yes'
    no = 'no'
    unknown = 'unknown'
    # The connection to the entry failed before an answer.
    missing = 'nothing'


@dataclasses.dataclass
class Order:
    """One order, with the outcome and error code of each attempt."""

    name: str
    has_key: bool
    answers: list[Answer] = dataclasses.field(default_factory=list)
    codes: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True)
class Verdict:
    """Comparison of the answers with the orders that ran.

    The lists name orders that ran twice, that ran although every answer was
    no, and that did not run although an answer was yes.
    """

    orders: int
    doubled: list[str]
    false_no: list[str]
    false_yes: list[str]
    unknown: int
    unknown_keyed: int
    answered_yes: int
    ran: int

    def show(self) -> None:
        """Print each field on a line."""
        for name, count in dataclasses.asdict(self).items():
            print(f'{name:14} {count}')


class Caller(threading.Thread):
    """Thread that sends orders one after another, to varying entries."""

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
        """Send orders until `stopping` is set."""
        for number in itertools.count():
            if self.stopping.is_set():
                return
            order = Order(f'{self.name}-{number}', bool(self.rng.randrange(3)))
            self.orders.append(order)
            self._send_until_answered(order)

    def _send_until_answered(self, order: Order) -> None:
        for attempt in range(MAX_ATTEMPTS if order.has_key else 1):
            url = self.urls[(attempt + self.rng.randrange(2)) % len(self.urls)]
            outcome = self._send(order, url)
            order.answers.append(outcome)
            if outcome is Answer.yes:
                return
            time.sleep(RETRY_PAUSE_SECONDS)

    def _send(self, order: Order, url: str) -> Answer:
        # The content is the same for each attempt: an idempotency key is
        # refused with another content.
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
            return Answer.missing
        if reply.status < http.HTTPStatus.BAD_REQUEST:
            order.codes.append(str(reply.status))
            return Answer.yes
        error = reply.json()['error']
        order.codes.append(error['code'])
        return Answer(error['ran'])


def check_answers(
    orders: collection_types.Sequence[Order],
    ledgers: collection_types.Iterable[pathlib.Path],
) -> Verdict:
    """Compare the answers to callers with the ledgers of the desks."""
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
            if set(order.answers) == {Answer.no} and ran[order.name]
        ],
        false_yes=[
            order.name
            for order in orders
            if Answer.yes in order.answers and not ran[order.name]
        ],
        unknown=len(unknown),
        unknown_keyed=sum(order.has_key for order in unknown),
        answered_yes=sum(Answer.yes in order.answers for order in orders),
        ran=len(ran),
    )


def _is_unresolved(order: Order) -> bool:
    return Answer.yes not in order.answers and set(order.answers) != {Answer.no}
