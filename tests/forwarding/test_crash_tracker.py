"""What counts as evidence that an upstream ended under a prompt."""

import asyncio
import socket

import pytest

from cranberryrill.forwarding import caller_request, crash_tracker, upstreams
from cranberryrill.registry import registry_pb2
from tests.forwarding import conftest

METADATA = caller_request.Metadata(
    'a1', '', None, parts=conftest.make_parts('s')
)
ADMITTED = conftest.make_admitted(METADATA)
SHARED_PARTS = {'system', 's'}
KEYS = SHARED_PARTS | {ADMITTED.full_key}


@pytest.fixture
def tracker() -> crash_tracker.CrashTracker:
    return conftest.make_crash_tracker()


def make_upstream(port: int, started_unix_ms: int = 1) -> upstreams.Upstream:
    return upstreams.Upstream(
        registry_pb2.Registration(
            id=f'u-{started_unix_ms}',
            service='model',
            host='127.0.0.1',
            port=port,
            started_unix_ms=started_unix_ms,
        )
    )


def unused_port() -> int:
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        port: int = probe.getsockname()[1]
        return port


async def finish_probes(tracker: crash_tracker.CrashTracker) -> None:
    async with asyncio.timeout(2):
        while tracker.probed:
            await asyncio.sleep(0.01)


async def test_lost_connection_to_an_ended_upstream_is_evidence(
    tracker: crash_tracker.CrashTracker,
) -> None:
    upstream = make_upstream(unused_port())
    tracker.record_loss(upstream, ADMITTED, None, 10)
    await finish_probes(tracker)
    assert set(tracker.evidence.records) == KEYS
    assert tracker.may_crash_upstreams(ADMITTED)


async def test_reset_by_an_upstream_that_runs_on_is_no_evidence(
    tracker: crash_tracker.CrashTracker,
) -> None:
    server = await asyncio.start_server(
        lambda reader, writer: writer.close(), '127.0.0.1', 0
    )
    upstream = make_upstream(server.sockets[0].getsockname()[1])
    tracker.record_loss(upstream, ADMITTED, None, 10)
    await finish_probes(tracker)
    assert not tracker.evidence.records
    # A restart at once is seen by its registration.
    replacement = make_upstream(upstream.registration.port, 2)
    tracker.confirm_replaced([replacement], 11)
    assert set(tracker.evidence.records) == KEYS


async def test_loss_is_forgotten_unless_confirmed(
    tracker: crash_tracker.CrashTracker,
) -> None:
    upstream = make_upstream(1)
    forgotten_at = 10 + crash_tracker.CONFIRMATION_SECONDS
    tracker.losses[upstream] = [
        crash_tracker.Loss(('old',), 'request:a:a', 10),
        crash_tracker.Loss(('new',), 'request:b:b', forgotten_at - 1),
    ]
    tracker.examine(forgotten_at)
    tracker.confirm_replaced([make_upstream(1, 2)], forgotten_at)
    assert set(tracker.evidence.records) == {'new', 'request:b:b'}


async def test_request_that_has_been_responded_to_for_long_is_innocent(
    tracker: crash_tracker.CrashTracker,
) -> None:
    upstream = make_upstream(unused_port())
    long_ago = 10 - crash_tracker.SURVIVAL_SECONDS
    tracker.record_loss(upstream, ADMITTED, long_ago, 10)
    assert not tracker.probed
    tracker.record_loss(upstream, ADMITTED, long_ago + 0.01, 10)
    await finish_probes(tracker)
    assert tracker.evidence.records


async def test_survived_response_clears_its_parts(
    tracker: crash_tracker.CrashTracker,
) -> None:
    ended, alive = make_upstream(unused_port()), make_upstream(1, 2)
    tracker.record_start(object(), alive, ADMITTED, 10)
    tracker.record_loss(ended, ADMITTED, None, 10.1)
    await finish_probes(tracker)
    assert tracker.may_crash_upstreams(ADMITTED)
    tracker.examine(10 + crash_tracker.SURVIVAL_SECONDS)
    assert not tracker.may_crash_upstreams(ADMITTED)


async def test_response_of_an_upstream_that_ended_clears_nothing(
    tracker: crash_tracker.CrashTracker,
) -> None:
    upstream = make_upstream(unused_port())
    tracker.record_start(object(), upstream, ADMITTED, 10)
    tracker.record_loss(upstream, ADMITTED, 10, 10.1)
    await finish_probes(tracker)
    tracker.examine(10 + crash_tracker.SURVIVAL_SECONDS)
    assert not tracker.completed_parts.at
    assert tracker.may_crash_upstreams(ADMITTED)


async def test_earlier_response_counts_for_evidence_of_others(
    tracker: crash_tracker.CrashTracker,
) -> None:
    tracker.record_start(object(), make_upstream(1), ADMITTED, 10)
    tracker.examine(12)
    other = conftest.make_crash_tracker()
    other.record_loss(make_upstream(unused_port()), ADMITTED, None, 13)
    await finish_probes(other)
    tracker.evidence.merge(other.evidence.changes_since(0, 14), 14)
    tracker.examine(14)
    assert tracker.evidence.records['s'].completed_at == 12


async def test_plain_request_leaves_evidence_on_its_repeats(
    tracker: crash_tracker.CrashTracker,
) -> None:
    first, repeat, other = (
        conftest.make_admitted(
            caller_request.Metadata(attempt_id, '', None), body
        )
        for attempt_id, body in (('a1', b'x'), ('a2', b'x'), ('a3', b'y'))
    )
    tracker.record_loss(make_upstream(unused_port()), first, None, 10)
    await finish_probes(tracker)
    assert tracker.may_crash_upstreams(repeat)
    assert not tracker.may_crash_upstreams(other)
    tracker.record_start('call', make_upstream(1, 2), repeat, 11)
    tracker.examine(13)
    assert not tracker.may_crash_upstreams(first)


async def test_large_body_is_hashed_only_for_evidence_on_the_same_head(
    tracker: crash_tracker.CrashTracker,
) -> None:
    body = bytes(crash_tracker.MAX_HASHED_BYTES + 1)
    admitted = conftest.make_admitted(METADATA, body)
    tracker.record_start('call', make_upstream(1), admitted, 10)
    assert tracker.quarantined_key(admitted, 10) is None
    other = conftest.make_admitted(METADATA, body, '/x/other')
    tracker.record_loss(make_upstream(unused_port(), 2), other, None, 10)
    await finish_probes(tracker)
    assert tracker.quarantined_key(admitted, 11) is None
    assert 'full_key' not in admitted.__dict__


async def test_earlier_response_speaks_for_a_plain_request(
    tracker: crash_tracker.CrashTracker,
) -> None:
    plain = conftest.make_admitted(caller_request.Metadata('a', '', None))
    tracker.record_start('call', make_upstream(1), plain, 10)
    tracker.examine(12)
    tracker.record_loss(make_upstream(unused_port()), plain, None, 13)
    await finish_probes(tracker)
    assert not tracker.may_crash_upstreams(plain)


async def test_parts_of_one_request_are_bounded(
    tracker: crash_tracker.CrashTracker,
) -> None:
    parts = tuple(
        caller_request.PromptPart(f'p{number}', 1) for number in range(900)
    )
    metadata = caller_request.Metadata('a1', '', None, parts=parts)
    admitted = conftest.make_admitted(metadata)
    tracker.record_loss(make_upstream(unused_port()), admitted, None, 10)
    await finish_probes(tracker)
    recorded = len(tracker.evidence.records)
    assert recorded == crash_tracker.MAX_PARTS_PER_REQUEST + 1


async def test_unframed_response_is_evidence_once_connections_are_refused(
    tracker: crash_tracker.CrashTracker,
) -> None:
    upstream = make_upstream(unused_port())
    tracker.record_start(object(), upstream, ADMITTED, 9.9)
    tracker.record_loss(upstream, ADMITTED, 9.9, 10, is_certain=False)
    assert not tracker.probed
    tracker.record_unreachable(upstream, 10.2)
    assert set(tracker.evidence.records) == KEYS
    # Its response, which looked complete, doesn't prove the parts sound.
    tracker.examine(12)
    assert tracker.may_crash_upstreams(ADMITTED)


async def test_unframed_responses_of_an_upstream_that_runs_on_clear_parts(
    tracker: crash_tracker.CrashTracker,
) -> None:
    upstream = make_upstream(1)
    tracker.record_start(object(), upstream, ADMITTED, 9.9)
    tracker.record_loss(upstream, ADMITTED, 9.9, 10, is_certain=False)
    tracker.examine(11)
    assert set(tracker.completed_parts.at) == SHARED_PARTS
    assert set(tracker.completed_requests.at) == {ADMITTED.full_key}


async def test_response_that_its_caller_left_clears_nothing(
    tracker: crash_tracker.CrashTracker,
) -> None:
    tracker.record_start('call', make_upstream(1), ADMITTED, 10)
    tracker.forget_start('call')
    tracker.examine(12)
    assert not tracker.completed_parts.at


async def test_response_of_an_upstream_that_others_saw_end_clears_nothing(
    tracker: crash_tracker.CrashTracker,
) -> None:
    upstream = make_upstream(unused_port())
    other = conftest.make_crash_tracker()
    other.record_loss(upstream, ADMITTED, None, 10)
    await finish_probes(other)
    tracker.record_start('call', make_upstream(1), ADMITTED, 9.9)
    tracker.evidence.merge(other.evidence.changes_since(0, 10.5), 10.5)
    tracker.examine(12)
    assert not tracker.completed_parts.at
