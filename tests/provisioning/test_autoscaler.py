"""The scaling policy follows demand within the rules and doesn't flap."""

import dataclasses
from collections import abc

import pytest

from cranberryrill.configuration import document
from cranberryrill.provisioning import autoscaler

TARGET = 'wobble'
SLOTS = 8
PARAMETERS = autoscaler.ScalingParameters(
    scale_down_window_seconds=60, start_up_seconds=20
)
CHEAP_POOL = ('dc-1', 10)
EXPENSIVE_POOL = ('dc-2', 30)


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
    pool: tuple[str, int] = CHEAP_POOL,
    waiting: int = 0,
) -> autoscaler.Upstream:
    return autoscaler.Upstream(
        name=name,
        target=TARGET,
        data_centre=pool[0],
        slots=SLOTS,
        price_micros_per_hour=pool[1],
        running=running,
        waiting=waiting,
    )


def fleet_state(
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


def decide_after_window(
    current: autoscaler.FleetState,
) -> list[autoscaler.Decision]:
    """Decide each second until the scale-down window is covered."""
    policy = autoscaler.Policy(PARAMETERS)
    for second in range(int(PARAMETERS.scale_down_window_seconds)):
        assert not policy.decide(current, second)
    return policy.decide(current, PARAMETERS.scale_down_window_seconds)


def test_minimum_is_started_at_once() -> None:
    current = fleet_state([], [rule('dc-1', 2, 3)])
    decisions = autoscaler.Policy(PARAMETERS).decide(current, 0)
    assert decisions == [
        autoscaler.Start(TARGET, 'dc-1', 1),
        autoscaler.Start(TARGET, 'dc-1', 2),
    ]


def test_expected_upstreams_are_not_started_again() -> None:
    current = fleet_state([], [rule('dc-1', 2, 3)], {(TARGET, 'dc-1'): 2})
    assert not autoscaler.Policy(PARAMETERS).decide(current, 0)


def test_cheapest_data_centre_is_scaled_up() -> None:
    current = fleet_state([upstream('a', 8), upstream('b', 8, EXPENSIVE_POOL)])
    decisions = autoscaler.Policy(PARAMETERS).decide(current, 0)
    assert decisions == [autoscaler.Start(TARGET, 'dc-1', 2)]


@pytest.mark.parametrize('waiting', [0, 5, 500])
def test_maximum_is_not_exceeded(waiting: int) -> None:
    rules = [rule('dc-1', 1, 2), rule('dc-2', 0, 1)]
    current = fleet_state([upstream('a', 8, waiting=waiting)], rules)
    decisions = autoscaler.Policy(PARAMETERS).decide(current, 0)
    counts = {'dc-1': 1, 'dc-2': 0}
    for start in decisions:
        assert isinstance(start, autoscaler.Start)
        counts[start.data_centre] += 1
    assert counts['dc-1'] <= 2
    assert counts['dc-2'] <= 1


def test_no_stop_within_window_after_peak() -> None:
    policy = autoscaler.Policy(PARAMETERS)
    busy = fleet_state([upstream('a', 8), upstream('b', 8), upstream('c', 0)])
    idle = fleet_state([upstream('a'), upstream('b'), upstream('c')])
    policy.decide(busy, 0)
    for second in range(1, int(PARAMETERS.scale_down_window_seconds) + 1):
        assert not policy.decide(idle, second)
    assert policy.decide(idle, PARAMETERS.scale_down_window_seconds + 1)


def test_idle_upstream_in_most_expensive_pool_is_stopped() -> None:
    idle = [
        upstream('a'),
        upstream('b', 1, EXPENSIVE_POOL),
        upstream('c', 0, EXPENSIVE_POOL),
    ]
    assert decide_after_window(fleet_state(idle)) == [autoscaler.Stop(idle[2])]


def test_one_upstream_is_stopped_at_a_time() -> None:
    idle = [
        upstream('a'),
        upstream('b', 0, EXPENSIVE_POOL),
        upstream('c', 0, EXPENSIVE_POOL),
    ]
    assert len(decide_after_window(fleet_state(idle))) == 1


def test_minimum_is_kept() -> None:
    current = fleet_state([upstream('a'), upstream('b')], [rule('dc-1', 2, 3)])
    assert not decide_after_window(current)


def test_last_upstream_with_demand_is_not_stopped() -> None:
    current = fleet_state([upstream('a', 1)], [rule('dc-1', 0, 3)])
    assert not decide_after_window(current)
    maximum_zero = fleet_state([upstream('a', 1)], [rule('dc-1', 0, 0)])
    assert not autoscaler.Policy(PARAMETERS).decide(maximum_zero, 0)


def test_stopping_upstream_is_not_active() -> None:
    current = fleet_state(
        [upstream('a', 1), upstream('b')],
        [rule('dc-1', 0, 3)],
        stopping={'b'},
    )
    assert not decide_after_window(current)


def test_upstream_above_maximum_is_stopped() -> None:
    current = fleet_state(
        [upstream('a', 2), upstream('b')], [rule('dc-1', 0, 1)]
    )
    decisions = autoscaler.Policy(PARAMETERS).decide(current, 0)
    assert decisions == [autoscaler.Stop(upstream('b'))]


def test_no_flapping_near_a_threshold() -> None:
    """Demand that varies around a threshold changes the fleet at most once."""
    policy = autoscaler.Policy(PARAMETERS)
    fleet = [upstream('a'), upstream('b')]
    changes = 0
    for second in range(1200):
        running = 6 + second % 3
        fleet[0] = dataclasses.replace(fleet[0], running=running)
        decisions = policy.decide(fleet_state(fleet), second)
        changes += len(decisions)
        for decision in decisions:
            assert isinstance(decision, autoscaler.Start)
            fleet.append(upstream(f'new-{second}'))
    assert changes <= 1
