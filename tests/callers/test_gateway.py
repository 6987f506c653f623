"""Ask another agent only when that can do no harm."""

import random
import typing

import pytest
import result

from cranberryrill import failures
from cranberryrill.callers import gateway
from cranberryrill.configuration import serving
from cranberryrill.membership import membership_pb2
from cranberryrill.relay import deadlines, dispatcher, relay_pb2
from cranberryrill.routing import budget, routers

NO = failures.Ran.no
YES = failures.Ran.yes
UNKNOWN = failures.Ran.unknown


class Holder:
    """Know two agents."""

    def __init__(self) -> None:
        self.serving = serving.Serving()
        self.processes: dict[str, membership_pb2.Announcement] = {}

    def agents_for(self, target: str) -> list[membership_pb2.Announcement]:
        return [
            membership_pb2.Announcement(
                process=f'agent-{number}',
                incarnation='one',
                offer=membership_pb2.Offer(target=target, slots=1),
            )
            for number in range(2)
        ]


class Sink:
    """Count what is delivered."""

    def __init__(self) -> None:
        self.heads = 0

    async def start(self, head: relay_pb2.Head) -> None:
        self.heads += 1

    async def write_part(self, content: bytes) -> None:
        assert content


class Scripted(dispatcher.Dispatch):
    """End as the script says, one dispatch after the other."""

    ended: typing.ClassVar[list[dispatcher.Outcome]]
    begins: typing.ClassVar[bool] = False

    async def run(self, sink: dispatcher.Sink) -> dispatcher.Outcome:
        if self.begins:
            self.progress.started = True
            await sink.start(relay_pb2.Head(status=200))
        return self.ended.pop(0)


@pytest.mark.parametrize(
    ('failure', 'idempotent', 'started', 'asked'),
    [
        (failures.Overloaded('full', NO), False, False, 2),
        (failures.AgentUnreachable('gone', NO), False, False, 2),
        (failures.UpstreamFailed('silent', YES), True, False, 2),
        (failures.OutcomeUnknown('lost', UNKNOWN), True, False, 2),
        # What may not be repeated runs once.
        (failures.UpstreamFailed('silent', YES), False, False, 1),
        (failures.OutcomeUnknown('lost', UNKNOWN), False, False, 1),
        # No time is left, whether it ran or not.
        (failures.TimedOut('late', NO), True, False, 1),
        (failures.TimedOut('late', UNKNOWN), True, False, 1),
        # The caller has a part of the answer already.
        (failures.UpstreamFailed('silent', YES), True, True, 1),
    ],
)
async def test_agents_asked(
    monkeypatch: pytest.MonkeyPatch,
    failure: failures.Failure,
    idempotent: bool,
    started: bool,
    asked: int,
) -> None:
    ended: list[dispatcher.Outcome] = [
        result.Err(failure),
        result.Ok(relay_pb2.Final()),
    ]
    monkeypatch.setattr(dispatcher, 'Dispatch', Scripted)
    monkeypatch.setattr(Scripted, 'ended', ended, raising=False)
    monkeypatch.setattr(Scripted, 'begins', started)
    dialer: typing.Any = None
    holder: typing.Any = Holder()
    claimer: typing.Any = None
    router = routers.LeastLoadedRouter('dc', random.Random(1))
    asking = gateway.Gateway(holder, dialer, router, claimer)
    sink = Sink()
    call = relay_pb2.Call(target='wobble', idempotent=idempotent)
    await asking.deliver('req-1', call, sink, deadlines.Deadline())
    assert 2 - len(ended) == asked
    assert sink.heads <= 1


async def test_spent_budget_allows_no_retry(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    unknown = failures.OutcomeUnknown('lost', UNKNOWN)
    ended: list[dispatcher.Outcome] = [result.Err(unknown) for _ in range(99)]
    monkeypatch.setattr(dispatcher, 'Dispatch', Scripted)
    monkeypatch.setattr(Scripted, 'ended', ended, raising=False)
    dialer: typing.Any = None
    holder: typing.Any = Holder()
    claimer: typing.Any = None
    router = routers.LeastLoadedRouter('dc', random.Random(1))
    asking = gateway.Gateway(holder, dialer, router, claimer)
    call = relay_pb2.Call(target='wobble', idempotent=True)
    for _ in range(40):
        await asking.deliver('req-1', call, Sink(), deadlines.Deadline())
    earned = 40 * budget.RETRIES_PER_REQUEST
    assert 99 - len(ended) <= 40 + budget.MAX_SAVED_RETRIES + earned
