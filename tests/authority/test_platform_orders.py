"""Open orders are sent unchanged before new ones are placed."""

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


class FakeAuthority:
    """Authority that holds `tenure` and commits immediately."""

    def __init__(self, state: intents.AuthorityState) -> None:
        self.state = state
        self.stopping = False
        self.tenure: holder.Tenure | None = TENURE

    def current(self, now: float) -> holder.Tenure | None:
        """Return the tenure; None without authority."""
        return self.tenure

    async def commit(
        self,
        command: commands_pb2.Command,
    ) -> result.Result[bytes, typing.Any]:
        """Apply a command and return its outcome."""
        outcome = self.state.apply(command, 1, 1000)
        return result.Ok(outcome.SerializeToString())


class FakePlatform:
    """Platform client that records messages and returns given answers."""

    def __init__(self, answers: list[platform_client.SendResult]) -> None:
        self.answers = answers
        self.messages: list[platform_client.Message] = []

    async def send(
        self,
        message: platform_client.Message,
        tenure: holder.Tenure,
    ) -> platform_client.SendResult:
        """Record a message and return the next answer."""
        assert tenure is TENURE
        self.messages.append(message)
        return self.answers.pop(0)


class FakePlanner:
    """Planner that plans one start once; `stops_needed` applies to stops."""

    def __init__(self, stops_needed: bool = True) -> None:
        self.starts = [authority_pb2.Intent(target='new')]
        self.stops_needed = stops_needed

    def plan(
        self,
        now: float,
        unix_ms: int,
    ) -> abc.Sequence[authority_pb2.Intent]:
        """Return the start on the first call, then nothing."""
        planned = list(self.starts)
        self.starts.clear()
        return planned

    def is_still_needed(self, intent: authority_pb2.Intent) -> bool:
        """Return the value given for stops."""
        return self.stops_needed


class FakeDrainer:
    """Drainer whose upstream is drained once a drain was requested."""

    def __init__(self) -> None:
        self.drain_requests: list[tuple[str, int]] = []

    def is_drained(self, upstream: str, now: float) -> bool:
        """Return whether a drain was requested."""
        return bool(self.drain_requests)

    async def drain(self, upstream: str, fencing: int, now: float) -> None:
        """Record the request."""
        self.drain_requests.append((upstream, fencing))


class DispatcherHarness:
    """Dispatcher with one open order of a former holder."""

    def __init__(
        self,
        kind: authority_pb2.OrderKind,
        answers: list[platform_client.SendResult],
        stops_needed: bool = True,
    ) -> None:
        self.state = intents.AuthorityState()
        request = authority_pb2.PlaceIntent(
            intent=authority_pb2.Intent(
                kind=kind,
                fencing=OLD_FENCING,
                target='old',
                upstream='a',
            ),
        )
        self.state.apply(commands_pb2.Command(place_intent=request), 1, 1000)
        self.platform = FakePlatform(answers)
        self.drainer = FakeDrainer()
        self.authority = FakeAuthority(self.state)
        self.dispatcher = platform_orders.OrderDispatcher(
            typing.cast(holder.Authority, self.authority),
            self.state,
            typing.cast(platform_client.PlatformClient, self.platform),
            FakePlanner(stops_needed),
            self.drainer,
        )

    def sent(self) -> list[tuple[str, str]]:
        """Return the key and the target of each message."""
        return [
            (message.key, json.loads(message.body)['target'])
            for message in self.platform.messages
        ]


async def test_open_order_is_finished_before_new_one() -> None:
    lost: platform_client.SendResult = result.Err(
        platform_client.NoAnswer('lost')
    )
    answers = [lost, result.Ok(503), result.Ok(202), result.Ok(202)]
    harness = DispatcherHarness(authority_pb2.START_UPSTREAM, answers)
    for _ in range(4):
        await harness.dispatcher.step()
    old_order = ('order-1', 'old')
    assert harness.sent() == [
        old_order,
        old_order,
        old_order,
        ('order-2', 'new'),
    ]
    bodies = {message.body for message in harness.platform.messages[:3]}
    assert len(bodies) == 1
    assert json.loads(bodies.pop())['placed_under'] == OLD_FENCING
    assert not harness.state.open


async def test_no_backoff_without_authority() -> None:
    harness = DispatcherHarness(authority_pb2.START_UPSTREAM, [])
    harness.authority.tenure = None
    await harness.dispatcher.step()
    assert harness.dispatcher.backoff.delay == timing.MIN_RETRY_DELAY_SECONDS


async def test_refused_order_ends() -> None:
    harness = DispatcherHarness(authority_pb2.START_UPSTREAM, [result.Ok(409)])
    await harness.dispatcher.step()
    assert harness.state.ended[0].status == 409


async def test_stop_waits_until_upstream_is_drained() -> None:
    harness = DispatcherHarness(authority_pb2.STOP_UPSTREAM, [result.Ok(202)])
    harness.dispatcher.planned_at = float('inf')
    await harness.dispatcher.step()
    assert not harness.platform.messages
    assert harness.drainer.drain_requests == [('a', TENURE.fencing)]
    await harness.dispatcher.step()
    assert harness.sent() == [('order-1', 'old')]


async def test_unneeded_stop_is_not_sent() -> None:
    harness = DispatcherHarness(
        authority_pb2.STOP_UPSTREAM, [], stops_needed=False
    )
    harness.dispatcher.planned_at = float('inf')
    await harness.dispatcher.step()
    assert not harness.platform.messages
    assert harness.state.ended[0].status == platform_orders.WITHDRAWN_STATUS


def test_retry_delay_is_shorter_than_stop_timeout() -> None:
    assert timing.MAX_RETRY_DELAY_SECONDS < timing.STOP_TIMEOUT_SECONDS
