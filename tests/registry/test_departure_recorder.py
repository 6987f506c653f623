"""A departure is acknowledged only once it is committed."""

import asyncio
import typing

import result

from cranberryrill import clock
from cranberryrill.registry import (
    departure_recorder,
    departures,
    registry_pb2,
    table,
)
from cranberryrill.replication import member

REGISTRATION = registry_pb2.Registration(
    id='u1', service='model', host='10.0.0.1', port=80, started_unix_ms=1000
)


class FakeProposer:
    """Proposer whose commands are committed, or wait for a leader forever."""

    def __init__(self, *, has_leader: bool) -> None:
        self.has_leader = has_leader
        self.commands: list[bytes] = []

    async def propose_until(
        self, command: bytes, deadline: float
    ) -> result.Result[bytes, member.ProposalFailure]:
        self.commands.append(command)
        if not self.has_leader:
            await asyncio.sleep(deadline)
        return result.Ok(b'')


def make_recorder(
    *, has_leader: bool = True
) -> tuple[departure_recorder.DepartureRecorder, FakeProposer]:
    proposer = FakeProposer(has_leader=has_leader)
    recorder = departure_recorder.DepartureRecorder(
        table.RegistrationTable(),
        departures.DeparturesState(lambda _: True),
        typing.cast(typing.Any, proposer),
    )
    return recorder, proposer


async def test_departure_without_a_leader_is_refused_in_time() -> None:
    # A replica calls the next member after a second without an answer.
    recorder, _ = make_recorder(has_leader=False)
    departure = registry_pb2.RecordDeparture(registration=REGISTRATION)
    started_at = clock.monotonic_seconds()
    outcome = await recorder.commit(departure, started_at)
    assert isinstance(outcome, result.Err)
    assert outcome.err_value.status == 503
    assert clock.monotonic_seconds() - started_at < 1


async def test_recorded_departure_is_not_committed_again() -> None:
    recorder, proposer = make_recorder()
    departure = registry_pb2.RecordDeparture(registration=REGISTRATION)
    recorder.recorded.by_id['u1'] = departure
    outcome = await recorder.commit(departure, clock.monotonic_seconds())
    assert isinstance(outcome, result.Ok)
    assert not proposer.commands


async def test_registration_at_another_member_is_awaited() -> None:
    # Failed when an unknown upstream's end was acknowledged and forgotten.
    recorder, _ = make_recorder()
    now = clock.monotonic_seconds()
    finding = asyncio.create_task(recorder.find('u1', now))
    await asyncio.sleep(0.05)
    recorder.registry.merge(
        registry_pb2.Sighting(registration=REGISTRATION), now
    )
    assert await finding == REGISTRATION


async def test_end_of_an_unknown_upstream_covers_what_has_started() -> None:
    recorder, _ = make_recorder()
    now = clock.monotonic_seconds()
    found = await recorder.find('u1', now)
    assert abs(found.started_unix_ms - clock.unix_milliseconds()) < 1000
    registry = recorder.registry
    assert registry.record(found, now, removed=True)
    assert not registry.record(REGISTRATION, now)
    restarted = registry_pb2.Registration(
        id='u1', started_unix_ms=found.started_unix_ms + 1
    )
    assert registry.record(restarted, now)
