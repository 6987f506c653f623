"""Follow demand without flapping, within the rules."""

import dataclasses
from collections import abc

import pytest

from cranberryrill.configuration import document
from cranberryrill.provisioning import autoscaler

TARGET = 'wobble'
SLOTS = 8
PACE = autoscaler.ScalingParameters(
    scale_down_window_seconds=60, start_up_seconds=20
)
CHEAP = ('dc-1', 10)
DEAR = ('dc-2', 30)


def rule(data_centre: str, least: int, most: int) -> document.UpstreamRule:
    return document.UpstreamRule(
        name=f'{TARGET}-{data_centre}',
        target=TARGET,
        data_centre=data_centre,
        least=least,
        most=most,
    )


def upstream(
    name: str,
    running: int = 0,
    place: tuple[str, int] = CHEAP,
    waiting: int = 0,
) -> autoscaler.Upstream:
    return autoscaler.Upstream(
        name=name,
        target=TARGET,
        data_centre=place[0],
        slots=SLOTS,
        price_micros_per_hour=place[1],
        running=running,
        waiting=waiting,
    )


def view(
    upstreams: list[autoscaler.Upstream],
    rules: list[document.UpstreamRule] | None = None,
    expected: dict[autoscaler.PoolKey, int] | None = None,
    stopping: abc.Collection[str] = (),
) -> autoscaler.FleetState:
    return autoscaler.FleetState(
        rules=rules or [rule('dc-1', 1, 3), rule('dc-2', 0, 3)],
        upstreams=upstreams,
        expected=expected or {},
        stopping=stopping,
    )


def decide_calmly(seen: autoscaler.FleetState) -> list[autoscaler.Decision]:
    """Decide at the end of a calm period, second by second."""
    policy = autoscaler.Policy(PACE)
    for second in range(int(PACE.scale_down_window_seconds)):
        assert not policy.decide(seen, second)
    return policy.decide(seen, PACE.scale_down_window_seconds)


def test_least_is_started_at_once() -> None:
    seen = view([], [rule('dc-1', 2, 3)])
    decided = autoscaler.Policy(PACE).decide(seen, 0)
    assert decided == [
        autoscaler.Start(TARGET, 'dc-1', 1),
        autoscaler.Start(TARGET, 'dc-1', 2),
    ]


def test_what_is_started_is_not_started_again() -> None:
    seen = view([], [rule('dc-1', 2, 3)], {(TARGET, 'dc-1'): 2})
    assert not autoscaler.Policy(PACE).decide(seen, 0)


def test_growth_goes_where_it_is_cheapest() -> None:
    seen = view([upstream('a', 8), upstream('b', 8, DEAR)])
    decided = autoscaler.Policy(PACE).decide(seen, 0)
    assert decided == [autoscaler.Start(TARGET, 'dc-1', 2)]


@pytest.mark.parametrize('waiting', [0, 5, 500])
def test_never_more_than_most(waiting: int) -> None:
    rules = [rule('dc-1', 1, 2), rule('dc-2', 0, 1)]
    seen = view([upstream('a', 8, waiting=waiting)], rules)
    decided = autoscaler.Policy(PACE).decide(seen, 0)
    counts = {'dc-1': 1, 'dc-2': 0}
    for start in decided:
        assert isinstance(start, autoscaler.Start)
        counts[start.data_centre] += 1
    assert counts['dc-1'] <= 2
    assert counts['dc-2'] <= 1


def test_nothing_is_stopped_before_a_calm_period() -> None:
    policy = autoscaler.Policy(PACE)
    busy = view([upstream('a', 8), upstream('b', 8), upstream('c', 0)])
    idle = view([upstream('a'), upstream('b'), upstream('c')])
    policy.decide(busy, 0)
    for second in range(1, int(PACE.scale_down_window_seconds) + 1):
        assert not policy.decide(idle, second)
    assert policy.decide(idle, PACE.scale_down_window_seconds + 1)


def test_the_dearest_idle_one_is_stopped() -> None:
    idle = [upstream('a'), upstream('b', 1, DEAR), upstream('c', 0, DEAR)]
    assert decide_calmly(view(idle)) == [autoscaler.Stop(idle[2])]


def test_one_is_stopped_at_a_time() -> None:
    idle = [upstream('a'), upstream('b', 0, DEAR), upstream('c', 0, DEAR)]
    assert len(decide_calmly(view(idle))) == 1


def test_never_below_least() -> None:
    seen = view([upstream('a'), upstream('b')], [rule('dc-1', 2, 3)])
    assert not decide_calmly(seen)


def test_never_the_last_one_with_demand() -> None:
    seen = view([upstream('a', 1)], [rule('dc-1', 0, 3)])
    assert not decide_calmly(seen)
    none_allowed = view([upstream('a', 1)], [rule('dc-1', 0, 0)])
    assert not autoscaler.Policy(PACE).decide(none_allowed, 0)


def test_one_that_stops_does_not_count() -> None:
    seen = view(
        [upstream('a', 1), upstream('b')],
        [rule('dc-1', 0, 3)],
        stopping={'b'},
    )
    assert not decide_calmly(seen)


def test_more_than_most_is_stopped() -> None:
    seen = view([upstream('a', 2), upstream('b')], [rule('dc-1', 0, 1)])
    decided = autoscaler.Policy(PACE).decide(seen, 0)
    assert decided == [autoscaler.Stop(upstream('b'))]


def test_no_flapping_at_the_edge() -> None:
    """Demand that swings about a step changes the fleet at most once."""
    policy = autoscaler.Policy(PACE)
    fleet = [upstream('a'), upstream('b')]
    changes = 0
    for second in range(1200):
        swing = 6 + second % 3
        fleet[0] = dataclasses.replace(fleet[0], running=swing)
        decided = policy.decide(view(fleet), second)
        changes += len(decided)
        for decision in decided:
            assert isinstance(decision, autoscaler.Start)
            fleet.append(upstream(f'new-{second}'))
    assert changes <= 1
