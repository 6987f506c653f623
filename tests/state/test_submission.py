"""A submitter knows all control members, and leaves those that don't commit."""

import asyncio
import random
import typing
from collections import abc

import pytest
from grpclib import server

from bench import web
from cranberryrill import clock, transport
from cranberryrill.state import commands_pb2, submission, submission_grpc
from cranberryrill.state import submission_pb2

SEED = transport.Address('10.0.0.1', 1)
ADDED = transport.Address('10.0.0.9', 1)
Verdict = submission_pb2.SubmitAnswer
COMMAND = commands_pb2.Command(noop=commands_pb2.Noop())
DEADLINE_SECONDS = 2.0
SLOW_SECONDS = 0.3


class Member(submission_grpc.SubmissionBase):
    """Control member that gives one verdict on every command."""

    def __init__(self, verdict: Verdict.Verdict, delay: float = 0) -> None:
        self.verdict = verdict
        self.delay = delay
        self.calls = 0
        self.cancelled = 0
        self.address = transport.Address('127.0.0.1', web.free_port())
        self.server: transport.GrpcServer | None = None

    async def start(self) -> None:
        self.server = await transport.listen([self], self.address, None)

    async def Submit(
        self,
        stream: server.Stream[
            commands_pb2.Command, submission_pb2.SubmitAnswer
        ],
    ) -> None:
        await stream.recv_message()
        self.calls += 1
        verdict, delay = self.verdict, self.delay
        try:
            await asyncio.sleep(delay)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        await stream.send_message(
            submission_pb2.SubmitAnswer(verdict=verdict, outcome=b'done')
        )


StartMembers = abc.Callable[
    ..., abc.Coroutine[typing.Any, typing.Any, submission.Submitter]
]


@pytest.fixture
async def start_members() -> abc.AsyncIterator[StartMembers]:
    """Provide a function that returns a submitter for members, in order."""
    submitters: list[submission.Submitter] = []
    started: list[Member] = []

    async def start(*members: Member) -> submission.Submitter:
        for member in members:
            await member.start()
            started.append(member)
        submitter = submission.Submitter(
            transport.Dialer(None), [], random.Random(1)
        )
        submitter.add_control_addresses(one.address for one in members)
        submitters.append(submitter)
        return submitter

    yield start
    for submitter in submitters:
        for channel in submitter.channels.values():
            channel.close()
    for member in started:
        if member.server is not None:
            member.server.close()


async def submit(submitter: submission.Submitter) -> submission.Submitted:
    return await submitter.submit(
        COMMAND, clock.monotonic_seconds() + DEADLINE_SECONDS
    )


def test_new_control_members_are_added_once() -> None:
    submitter = submission.Submitter(
        transport.Dialer(None),
        [SEED],
        random.Random(1),
    )
    submitter.add_control_addresses([SEED, ADDED])
    submitter.add_control_addresses([ADDED])
    assert submitter.control == [SEED, ADDED]


@pytest.mark.parametrize(
    'verdict', [Verdict.UNAVAILABLE, Verdict.OUTCOME_UNKNOWN]
)
async def test_member_that_does_not_commit_is_left(
    start_members: StartMembers, verdict: Verdict.Verdict
) -> None:
    # Guards against usage that stays with a member that refuses for good.
    refusing, committing = Member(verdict), Member(Verdict.COMMITTED)
    submitter = await start_members(refusing, committing)
    for _ in range(3):
        assert (await submit(submitter)).unwrap() == b'done'
    assert (refusing.calls, committing.calls) == (1, 3)


async def test_member_that_ends_is_left(start_members: StartMembers) -> None:
    ending, committing = (Member(Verdict.COMMITTED) for _ in range(2))
    submitter = await start_members(ending, committing)
    await submit(submitter)
    assert ending.server is not None
    ending.server.close()
    assert (await submit(submitter)).is_ok()
    assert committing.calls == 1


async def test_all_members_are_asked_in_turn_until_one_commits(
    start_members: StartMembers,
) -> None:
    members = [Member(Verdict.UNAVAILABLE) for _ in range(3)]
    submitter = await start_members(*members)
    submitting = asyncio.create_task(submit(submitter))
    async with asyncio.timeout(DEADLINE_SECONDS):
        while min(member.calls for member in members) < 2:
            await asyncio.sleep(0.01)
    # One connection to each, however often they refuse.
    assert len(submitter.channels) == 3
    members[1].verdict = Verdict.COMMITTED
    assert (await submitting).is_ok()


async def test_failure_names_the_last_member_and_its_answer(
    start_members: StartMembers,
) -> None:
    member = Member(Verdict.UNAVAILABLE)
    submitter = await start_members(member)
    failure = (
        await submitter.submit(COMMAND, clock.monotonic_seconds())
    ).unwrap_err()
    assert failure.proved_uncommitted
    assert failure.reason.endswith(
        f'last 127.0.0.1:{member.address.port}: unavailable'
    )


async def test_refusal_leaves_concurrent_commands_alone(
    start_members: StartMembers,
) -> None:
    member = Member(Verdict.COMMITTED, delay=SLOW_SECONDS)
    other = Member(Verdict.COMMITTED)
    submitter = await start_members(member, other)
    slow = asyncio.create_task(submit(submitter))
    async with asyncio.timeout(DEADLINE_SECONDS):
        while not member.calls:
            await asyncio.sleep(0.01)
    member.verdict = Verdict.UNAVAILABLE
    member.delay = 0
    assert (await submit(submitter)).is_ok()
    assert other.calls == 1
    assert (await slow).is_ok()
    assert (member.calls, member.cancelled) == (2, 0)
