"""Upstreams are avoided as their responses ask, by each entry for itself."""

import random

import pytest

from cranberryrill.forwarding import (
    placement,
    upstream_pool,
    upstreams,
)
from cranberryrill.limits import avoidance
from cranberryrill.registry import registry_pb2

DRAIN_SECONDS = 2.0
SERVICE = 'model'
START = 100.0
REQUESTS_PER_SECOND = 50
EARLY_SECONDS = 0.25
PERIOD = 1 / REQUESTS_PER_SECOND


def make_registration(
    number: int, *, started: int = 1, leaving: bool = False
) -> registry_pb2.Registration:
    return registry_pb2.Registration(
        id=f'u{number}',
        service=SERVICE,
        host=f'10.0.0.{number}',
        port=80,
        slots=8,
        started_unix_ms=started,
        leaving=leaving,
    )


class Entry:
    """Pool and selector of one entry, with the requests that it has placed."""

    def __init__(self, count: int, seed: int = 1) -> None:
        self.rng = random.Random(seed)
        self.selector = placement.UpstreamSelector(self.rng)
        self.pool = upstream_pool.Pool(DRAIN_SECONDS)
        self.known = {
            f'u{number}': make_registration(number) for number in range(count)
        }
        self.update()

    def update(self) -> None:
        self.pool.update(self.known, {})

    def upstream(self, number: int) -> upstreams.Upstream:
        return self.pool.by_id[f'u{number}']

    def place(self, now: float, received_at: float | None = None) -> str | None:
        """Place a request; return the id of its upstream."""
        request = placement.PlacementRequest(
            (),
            '',
            'a',
            is_engine=bool(self.rng.getrandbits(1)),
            received_at=now if received_at is None else received_at,
        )
        choice = self.selector.choose(
            request, self.pool.for_service(SERVICE), (), now
        )
        return choice.upstream.id if choice else None

    def place_many(self, since: float, seconds: float) -> list[str | None]:
        """Place requests at a fixed rate."""
        return [
            self.place(since + number * PERIOD)
            for number in range(int(seconds * REQUESTS_PER_SECOND))
        ]


@pytest.mark.parametrize('leaving_count', [1, 3, 5])
def test_others_are_preferred_at_once(leaving_count: int) -> None:
    entry = Entry(6)
    avoided = {f'u{number}' for number in range(leaving_count)}
    for name in avoided:
        entry.pool.by_id[name].record_leaving(START)
    placed = entry.place_many(START, 4)
    assert None not in placed
    assert not avoided & set(placed)


def test_only_upstream_takes_requests_until_it_has_drained() -> None:
    entry = Entry(1)
    entry.upstream(0).record_leaving(START)
    placed = entry.place_many(START, 4)
    taken = int(DRAIN_SECONDS * REQUESTS_PER_SECOND) + 1
    assert set(placed[:taken]) == {'u0'}
    assert set(placed[taken:]) == {None}


def test_request_received_in_time_may_be_sent_later() -> None:
    entry = Entry(1)
    entry.upstream(0).record_leaving(START)
    assert entry.place(START + 3, received_at=START + 1.9) == 'u0'
    assert entry.place(START + 3, received_at=START + 2.1) is None


def test_later_responses_do_not_prolong_the_time() -> None:
    entry = Entry(1)
    for tenth in range(30):
        entry.upstream(0).record_leaving(START + tenth / 10)
    assert entry.place(START + 2.5) is None


def test_upstream_stays_avoided_through_updates_that_call_it_ready() -> None:
    entry = Entry(2)
    entry.upstream(0).record_leaving(START)
    entry.known['u0'].sequence += 1
    entry.update()
    assert set(entry.place_many(START, 1)) == {'u1'}
    # Missing for a while, as after a restart of control members.
    registration = entry.known.pop('u0')
    entry.update()
    entry.known['u0'] = registration
    entry.update()
    assert set(entry.place_many(START + 5, 1)) == {'u1'}


def test_next_start_under_the_same_id_is_served() -> None:
    entry = Entry(1)
    entry.upstream(0).record_leaving(START)
    assert entry.place(START + 5) is None
    entry.known['u0'] = make_registration(0, started=2)
    entry.update()
    assert entry.place(START + 5) == 'u0'
    # An older start of the id, from a late update, is still avoided.
    entry.known['u0'] = make_registration(0, started=1)
    entry.update()
    assert entry.place(START + 5) is None


def test_former_avoidances_are_bounded() -> None:
    entry = Entry(0)
    for number in range(upstream_pool.MAX_FORMER_AVOIDANCES + 20):
        entry.known = {'u0': make_registration(0, started=number + 1)}
        entry.update()
        entry.upstream(0).record_leaving(START)
    kept = len(entry.pool.former_avoidances)
    assert kept == upstream_pool.MAX_FORMER_AVOIDANCES


def test_unreachable_upstream_is_no_better_than_a_leaving_one() -> None:
    entry = Entry(2)
    entry.upstream(0).record_leaving(START)
    entry.upstream(1).mark_unreachable(START)
    assert entry.place(START + 1) == 'u0'


def test_queued_request_counts_as_used_up_only_for_what_accepts_it() -> None:
    pool = Entry(2).pool
    pool.by_id['u0'].record_leaving(START)
    pool.by_id['u1'].record_limit(0.25, START)
    assert not pool.is_closed(SERVICE, START + 1, START + 1)
    assert pool.is_closed(SERVICE, START + 3, START + 3)


def test_pause_ends_after_the_time_that_was_asked_for() -> None:
    asked = avoidance.Avoidance(sample=float)
    assert asked.record_pause(0.25, START)
    assert asked.wait_seconds(START + 0.2, 8) == pytest.approx(0.05)
    assert not asked.wait_seconds(START + 0.25, 8)
    assert asked.record_sent(START + 0.25) is not None


def test_responses_to_requests_on_their_way_may_only_prolong_a_pause() -> None:
    asked = avoidance.Avoidance(sample=float)
    assert asked.record_pause(2, START)
    assert not asked.record_pause(0.5, START + 0.1)
    assert asked.pause_seconds(START + 0.1) == pytest.approx(1.9)
    assert not asked.record_pause(3, START + 0.2)
    assert asked.pause_seconds(START + 0.2) == pytest.approx(3)
    # The line that tells of its end has its whole age.
    ended = asked.record_sent(START + 4)
    assert ended is not None and ended.began_at == pytest.approx(START)


def test_requests_come_back_by_degrees() -> None:
    asked = avoidance.Avoidance(sample=float)
    asked.record_pause(2, START)
    sent_at: list[float] = []
    for millisecond in range(3000):
        now = START + 2 + millisecond / 1000
        if not asked.wait_seconds(now, 8):
            asked.record_sent(now)
            sent_at.append(now - START - 2)
    in_ramp = [at for at in sent_at if at < avoidance.MAX_RAMP_SECONDS]
    assert len(in_ramp) == pytest.approx(8, abs=1)
    early = [at for at in sent_at if at < EARLY_SECONDS]
    assert len(early) <= 3
    assert asked.pause is None
    assert not asked.has_been_asked


def test_pause_outlasts_a_missing_registration() -> None:
    entry = Entry(2)
    entry.upstream(0).record_pause(5, START)
    registration = entry.known.pop('u0')
    entry.update()
    entry.known['u0'] = registration
    entry.update()
    assert set(entry.place_many(START, 4.5)) == {'u1'}


def test_unreachable_others_do_not_end_a_pause() -> None:
    entry = Entry(2)
    entry.upstream(0).record_pause(5, START)
    entry.upstream(1).mark_unreachable(START)
    assert entry.place(START + 1) == 'u1'


def test_pause_of_all_upstreams_is_known_until_the_first_ends() -> None:
    pool = Entry(3).pool
    for number in range(3):
        pool.by_id[f'u{number}'].record_pause(number + 1, START)
    assert pool.is_restricted(SERVICE)
    assert pool.is_closed(SERVICE, START, START)
    seconds = pool.pause_seconds(SERVICE, START, START)
    assert seconds == pytest.approx(1.1, abs=0.1)
    assert not pool.is_closed(SERVICE, START, START + 1.3)
    assert not pool.pause_seconds(SERVICE, START, START + 1.3)


def test_first_response_decides_when_the_time_ends() -> None:
    asked = avoidance.Avoidance(DRAIN_SECONDS)
    assert not asked.has_been_asked
    assert asked.record_leaving(START)
    assert not asked.record_leaving(START + 1)
    assert asked.accepts(START + DRAIN_SECONDS)
    assert not asked.accepts(START + DRAIN_SECONDS + 0.001)
