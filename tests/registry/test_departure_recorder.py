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

RESTARTED = registry_pb2.Registration(
    id='u1', service='model', host='10.0.0.1', port=80, started_unix_ms=9000
)
DRAIN_SECONDS = 2.0


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


def is_news(departure: registry_pb2.RecordDeparture, unix_ms: int) -> bool:
    return True


def make_recorder(
    *, has_leader: bool = True
) -> tuple[departure_recorder.DepartureRecorder, FakeProposer]:
    proposer = FakeProposer(has_leader=has_leader)
    recorder = departure_recorder.DepartureRecorder(
        table.RegistrationTable(),
        departures.DeparturesState(is_news),
        typing.cast(typing.Any, proposer),
        clock.SteadyUnixClock(
            clock.monotonic_seconds(), clock.unix_milliseconds()
        ),
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
    ending = asyncio.create_task(recorder.find_departure('u1', now))
    await asyncio.sleep(0.05)
    recorder.registry.merge(
        registry_pb2.Sighting(registration=REGISTRATION), now
    )
    assert (await ending).registration == REGISTRATION


async def test_end_of_an_unknown_upstream_covers_what_has_started() -> None:
    recorder, _ = make_recorder()
    now = clock.monotonic_seconds()
    arrived_ms = clock.unix_milliseconds()
    departure = await commit_end(recorder, now)
    covered_ms = departure.covered_until_unix_ms
    assert 0 < covered_ms - arrived_ms < DRAIN_SECONDS * 1000
    registry = recorder.registry
    assert not registry.record(REGISTRATION, now)
    restarted = registry_pb2.Registration(
        id='u1', started_unix_ms=covered_ms + 1
    )
    assert registry.record(restarted, now + DRAIN_SECONDS)


def record_end(
    recorder: departure_recorder.DepartureRecorder, ended_at: float
) -> None:
    """Record the end of an earlier incarnation, in the log, too."""
    covered_ms = REGISTRATION.started_unix_ms
    recorder.registry.record(
        REGISTRATION, ended_at, removed=True, covered_until_ms=covered_ms
    )
    recorder.recorded.by_id['u1'] = registry_pb2.RecordDeparture(
        registration=REGISTRATION,
        removed=True,
        covered_until_unix_ms=covered_ms,
    )


async def commit_end(
    recorder: departure_recorder.DepartureRecorder, now: float
) -> registry_pb2.RecordDeparture:
    """Deregister an upstream; return its departure."""
    departure = await recorder.find_departure('u1', now)
    recorder.registry.record(
        departure.registration,
        now,
        removed=True,
        covered_until_ms=departure.covered_until_unix_ms,
    )
    assert (await recorder.commit(departure, now)).is_ok()
    return departure


async def test_incarnation_after_one_that_has_ended_is_awaited() -> None:
    # Guards against an end that is acknowledged for an earlier incarnation, of
    # which alone this member knows.
    recorder, proposer = make_recorder()
    now = clock.monotonic_seconds()
    record_end(recorder, now - DRAIN_SECONDS)
    committing = asyncio.create_task(commit_end(recorder, now))
    await asyncio.sleep(0.05)
    recorder.registry.merge(registry_pb2.Sighting(registration=RESTARTED), now)
    assert (await committing).registration == RESTARTED
    assert len(proposer.commands) == 1


async def test_end_of_an_incarnation_that_registers_late_is_recorded() -> None:
    # Guards against a heartbeat that arrives after the end that it precedes.
    recorder, proposer = make_recorder()
    now = clock.monotonic_seconds()
    record_end(recorder, now - DRAIN_SECONDS)
    await commit_end(recorder, now)
    assert len(proposer.commands) == 1
    assert not recorder.registry.record(RESTARTED, now)


async def test_repeated_end_is_answered_at_once() -> None:
    recorder, proposer = make_recorder()
    now = clock.monotonic_seconds()
    record_end(recorder, now - DRAIN_SECONDS / 2)
    assert (await commit_end(recorder, now)).registration == REGISTRATION
    assert clock.monotonic_seconds() < now + 0.1
    assert not proposer.commands
