"""Finish open orders as they were placed, before placing new ones."""

import json
import typing
from collections import abc

import result

from cranberryrill.authority import (
    authority_pb2,
    holder,
    intents,
    platform_client,
    platform_orders,
    timing,
)
from cranberryrill.state import commands_pb2

OLD_FENCING = 3
TENURE = holder.Tenure(fencing=5, started_at=0)


class InCharge:
    """Hold authority, and commit at once."""

    def __init__(self, state: intents.AuthorityState) -> None:
        self.state = state
        self.stopping = False
        self.tenure: holder.Tenure | None = TENURE

    def current(self, now: float) -> holder.Tenure | None:
        """Return the tenure."""
        return self.tenure

    async def commit(
        self,
        command: commands_pb2.Command,
    ) -> result.Result[bytes, typing.Any]:
        """Apply a command."""
        outcome = self.state.apply(command, 1, 1000)
        return result.Ok(outcome.SerializeToString())


class Platform:
    """Write down each message, and answer as told."""

    def __init__(self, answers: list[platform_client.SendResult]) -> None:
        self.answers = answers
        self.messages: list[platform_client.Message] = []

    async def send(
        self,
        message: platform_client.Message,
        tenure: holder.Tenure,
    ) -> platform_client.SendResult:
        """Take a message under the present tenure."""
        assert tenure is TENURE
        self.messages.append(message)
        return self.answers.pop(0)


class Plan:
    """Plan one start, once; stops are wanted or not."""

    def __init__(self, stops_wanted: bool = True) -> None:
        self.starts = [authority_pb2.Intent(target='new')]
        self.stops_wanted = stops_wanted

    def plan(
        self,
        now: float,
        unix_ms: int,
    ) -> abc.Sequence[authority_pb2.Intent]:
        """Return what was not planned yet."""
        planned = list(self.starts)
        self.starts.clear()
        return planned

    def is_still_needed(self, intent: authority_pb2.Intent) -> bool:
        """Say what was set."""
        return self.stops_wanted


class Rest:
    """Let an upstream come to rest once it was asked to drain."""

    def __init__(self) -> None:
        self.asked: list[tuple[str, int]] = []

    def is_drained(self, upstream: str, now: float) -> bool:
        """Say whether the upstream was asked."""
        return bool(self.asked)

    async def drain(self, upstream: str, fencing: int, now: float) -> None:
        """Write down who was asked."""
        self.asked.append((upstream, fencing))


class Bench:
    """Put the parts together, with one order of the former holder."""

    def __init__(
        self,
        kind: authority_pb2.OrderKind,
        answers: list[platform_client.SendResult],
        stops_wanted: bool = True,
    ) -> None:
        self.state = intents.AuthorityState()
        placing = authority_pb2.PlaceIntent(
            intent=authority_pb2.Intent(
                kind=kind,
                fencing=OLD_FENCING,
                target='old',
                upstream='a',
            ),
        )
        self.state.apply(commands_pb2.Command(place_intent=placing), 1, 1000)
        self.platform = Platform(answers)
        self.rest = Rest()
        self.in_charge = InCharge(self.state)
        self.ordering = platform_orders.OrderDispatcher(
            typing.cast(holder.Authority, self.in_charge),
            self.state,
            typing.cast(platform_client.PlatformClient, self.platform),
            Plan(stops_wanted),
            self.rest,
        )

    def sent(self) -> list[tuple[str, str]]:
        """Return the key and the target of each message."""
        return [
            (message.key, json.loads(message.body)['target'])
            for message in self.platform.messages
        ]


async def test_an_old_order_is_finished_first() -> None:
    lost: platform_client.SendResult = result.Err(
        platform_client.NoAnswer('lost')
    )
    answers = [lost, result.Ok(503), result.Ok(202), result.Ok(202)]
    bench = Bench(authority_pb2.START_UPSTREAM, answers)
    for _ in range(4):
        await bench.ordering.step()
    old = ('order-1', 'old')
    assert bench.sent() == [old, old, old, ('order-2', 'new')]
    bodies = {message.body for message in bench.platform.messages[:3]}
    assert len(bodies) == 1
    assert json.loads(bodies.pop())['placed_under'] == OLD_FENCING
    assert not bench.state.open


async def test_who_is_not_in_charge_does_not_back_off() -> None:
    bench = Bench(authority_pb2.START_UPSTREAM, [])
    bench.in_charge.tenure = None
    await bench.ordering.step()
    assert bench.ordering.backoff.delay == timing.MIN_RETRY_DELAY_SECONDS


async def test_a_refused_order_ends() -> None:
    bench = Bench(authority_pb2.START_UPSTREAM, [result.Ok(409)])
    await bench.ordering.step()
    assert bench.state.ended[0].status == 409


async def test_a_stop_waits_for_rest() -> None:
    bench = Bench(authority_pb2.STOP_UPSTREAM, [result.Ok(202)])
    bench.ordering.planned_at = float('inf')
    await bench.ordering.step()
    assert not bench.platform.messages
    assert bench.rest.asked == [('a', TENURE.fencing)]
    await bench.ordering.step()
    assert bench.sent() == [('order-1', 'old')]


async def test_an_unwanted_stop_is_never_sent() -> None:
    bench = Bench(authority_pb2.STOP_UPSTREAM, [], stops_wanted=False)
    bench.ordering.planned_at = float('inf')
    await bench.ordering.step()
    assert not bench.platform.messages
    assert bench.state.ended[0].status == platform_orders.WITHDRAWN_STATUS


def test_pauses_stay_below_the_time_of_a_planned_stop() -> None:
    assert timing.MAX_RETRY_DELAY_SECONDS < timing.STOP_TIMEOUT_SECONDS
