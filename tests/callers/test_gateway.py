"""Retry a request at another agent only if that is safe and in budget."""

import random
import typing

import pytest
import result

from cranberryrill import failures
from cranberryrill.callers import candidates, gateway
from cranberryrill.configuration import active
from cranberryrill.membership import membership_pb2
from cranberryrill.relay import deadlines, dispatcher, relay_pb2
from cranberryrill.routing import budget, routers

NO = failures.Ran.no
YES = failures.Ran.yes
UNKNOWN = failures.Ran.unknown


class Holder:
    """Holder of a directory with two agents."""

    def __init__(self) -> None:
        self.configuration = active.ActiveConfiguration()
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
    """Sink that counts the response heads."""

    def __init__(self) -> None:
        self.heads = 0

    async def start(self, head: relay_pb2.Head) -> None:
        self.heads += 1

    async def write_part(self, content: bytes) -> None:
        assert content


class ScriptedDispatch(dispatcher.Dispatch):
    """Dispatch that returns the listed results, one per dispatch."""

    results: typing.ClassVar[list[dispatcher.Outcome]]
    starts: typing.ClassVar[bool] = False

    async def run(self, sink: dispatcher.Sink) -> dispatcher.Outcome:
        if self.starts:
            self.progress.started = True
            await sink.start(relay_pb2.Head(status=200))
        return self.results.pop(0)


@pytest.mark.parametrize(
    ('failure', 'idempotent', 'started', 'attempts'),
    [
        (failures.Overloaded('full', NO), False, False, 2),
        (failures.AgentUnreachable('gone', NO), False, False, 2),
        (failures.UpstreamFailed('silent', YES), True, False, 2),
        (failures.OutcomeUnknown('lost', UNKNOWN), True, False, 2),
        # A request that is not idempotent runs once.
        (failures.UpstreamFailed('silent', YES), False, False, 1),
        (failures.OutcomeUnknown('lost', UNKNOWN), False, False, 1),
        # No time is left for a retry, whether the request ran or not.
        (failures.TimedOut('late', NO), True, False, 1),
        (failures.TimedOut('late', UNKNOWN), True, False, 1),
        # The caller has already received a part of the answer.
        (failures.UpstreamFailed('silent', YES), True, True, 1),
    ],
)
async def test_retries_by_failure(
    monkeypatch: pytest.MonkeyPatch,
    failure: failures.Failure,
    idempotent: bool,
    started: bool,
    attempts: int,
) -> None:
    results: list[dispatcher.Outcome] = [
        result.Err(failure),
        result.Ok(relay_pb2.Final()),
    ]
    monkeypatch.setattr(dispatcher, 'Dispatch', ScriptedDispatch)
    monkeypatch.setattr(ScriptedDispatch, 'results', results, raising=False)
    monkeypatch.setattr(ScriptedDispatch, 'starts', started)
    dialer: typing.Any = None
    holder: typing.Any = Holder()
    claims: typing.Any = None
    router = routers.LeastLoadedRouter('dc', random.Random(1))
    tested_gateway = gateway.Gateway(holder, dialer, router, claims)
    sink = Sink()
    call = relay_pb2.Call(target='wobble', idempotent=idempotent)
    await tested_gateway.deliver('req-1', call, sink, deadlines.Deadline())
    assert 2 - len(results) == attempts
    assert sink.heads <= 1


async def test_retries_stay_within_the_budget(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    unknown = failures.OutcomeUnknown('lost', UNKNOWN)
    results: list[dispatcher.Outcome] = [result.Err(unknown) for _ in range(99)]
    monkeypatch.setattr(dispatcher, 'Dispatch', ScriptedDispatch)
    monkeypatch.setattr(ScriptedDispatch, 'results', results, raising=False)
    dialer: typing.Any = None
    holder: typing.Any = Holder()
    claims: typing.Any = None
    router = routers.LeastLoadedRouter('dc', random.Random(1))
    tested_gateway = gateway.Gateway(holder, dialer, router, claims)
    call = relay_pb2.Call(target='wobble', idempotent=True)
    for _ in range(40):
        await tested_gateway.deliver(
            'req-1', call, Sink(), deadlines.Deadline()
        )
    earned = 40 * budget.RETRIES_PER_REQUEST
    assert 99 - len(results) <= 40 + budget.MAX_SAVED_RETRIES + earned


@pytest.mark.parametrize(
    'refusal',
    [
        failures.Overloaded('full', NO),
        failures.AgentLeaving('stops', NO),
        failures.UpstreamFailed('proved', NO),
        failures.TimedOut('late', NO),
    ],
)
async def test_refusal_of_a_retry_is_no_promise(
    monkeypatch: pytest.MonkeyPatch, refusal: failures.Failure
) -> None:
    # Guards against "not run" for a request that ran at an earlier agent.
    results: list[dispatcher.Outcome] = [
        result.Err(failures.UpstreamFailed('silent', YES)),
        result.Err(refusal),
    ]
    monkeypatch.setattr(dispatcher, 'Dispatch', ScriptedDispatch)
    monkeypatch.setattr(ScriptedDispatch, 'results', results, raising=False)
    monkeypatch.setattr(candidates, 'AGENT_WAIT_SECONDS', 0)
    unused: typing.Any = None
    holder: typing.Any = Holder()
    router = routers.LeastLoadedRouter('dc', random.Random(1))
    tested_gateway = gateway.Gateway(holder, unused, router, unused)
    call = relay_pb2.Call(target='wobble', idempotent=True)
    ended = await tested_gateway.deliver(
        'req-1', call, Sink(), deadlines.Deadline()
    )
    assert not results
    failure = ended.unwrap_err()
    assert failure.ran is UNKNOWN
    assert failure.status not in failures.NOT_RUN_STATUSES
