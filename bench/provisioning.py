"""Decide on upstreams over a seeded day, and compare what each way costs.

Only the decisions run here, second by second of a made-up day: no process is
started and no request is sent.
"""

import dataclasses
import math
import random
from collections import abc

import cyclopts

from cranberryrill.configuration import document
from cranberryrill.provisioning import autoscaler

APP = cyclopts.App(name='provisioning', help='Compare costs over a day.')
DAY_SECONDS = 86_400
STEP_SECONDS = 5
HOUR_SECONDS = 3600
TARGET = 'wobble'
SLOTS = 8
START_UP_SECONDS = 120
DRAIN_SECONDS = 30
MEAN_REQUESTS = 40
DAILY_SWING = 0.75
NOISE = 0.06
BURST_COUNT = 3
BURST_SECONDS = 900
BURST_FACTOR = 1.8
# Price per hour, in millionths, least and most of each data centre.
DATA_CENTRES = (
    ('dc-1', 900_000, 1, 6),
    ('dc-2', 1_000_000, 1, 6),
    ('dc-3', 1_300_000, 0, 6),
)
MICROS = 1_000_000


def rules() -> list[document.UpstreamRule]:
    """Return the rules of each data centre."""
    return [
        document.UpstreamRule(
            name=f'{TARGET}-{name}',
            target=TARGET,
            data_centre=name,
            least=least,
            most=most,
        )
        for name, _, least, most in DATA_CENTRES
    ]


def demand_curve(rng: random.Random) -> list[int]:
    """Return the requests that run or wait in each step of a day."""
    bursts = [rng.uniform(0, DAY_SECONDS) for _ in range(BURST_COUNT)]
    curve = []
    for second in range(0, DAY_SECONDS, STEP_SECONDS):
        turn = 2 * math.pi * second / DAY_SECONDS
        level = MEAN_REQUESTS * (1 - DAILY_SWING * math.cos(turn))
        if any(0 <= second - burst < BURST_SECONDS for burst in bursts):
            level *= BURST_FACTOR
        curve.append(max(round(rng.gauss(level, NOISE * level)), 0))
    return curve


@dataclasses.dataclass
class SimulatedUpstream:
    """An upstream of the made-up day."""

    name: str
    data_centre: str
    price: int
    ready_at: float
    stopped_at: float = math.inf


@dataclasses.dataclass
class Cost:
    """Sum what a way of providing costs and gives."""

    price: float = 0
    unmet: int = 0
    requested: int = 0
    changes: int = 0

    def add(self, price_per_hour: float, slots: int, requests: int) -> None:
        """Add one step."""
        self.price += price_per_hour * STEP_SECONDS / HOUR_SECONDS / MICROS
        self.unmet += max(requests - slots, 0)
        self.requested += requests


class Day:
    """Follow the policy through a day."""

    def __init__(self, pace: autoscaler.ScalingParameters) -> None:
        self.policy = autoscaler.Policy(pace)
        self.upstreams: list[SimulatedUpstream] = []
        self.cost = Cost()
        self.prices = {name: price for name, price, _, _ in DATA_CENTRES}
        # The day begins with what the rules always want.
        for name, price, least, _ in DATA_CENTRES:
            for number in range(least):
                first = SimulatedUpstream(f'{name}-{number}', name, price, 0)
                self.upstreams.append(first)

    def step(self, requests: int, now: float) -> None:
        """Pay and serve for one step, then decide."""
        self.upstreams = [one for one in self.upstreams if one.stopped_at > now]
        ready = [one for one in self.upstreams if one.ready_at <= now]
        serving = [one for one in ready if one.stopped_at == math.inf]
        self.cost.add(
            sum(one.price for one in self.upstreams),
            len(serving) * SLOTS,
            requests,
        )
        for decision in self.policy.decide(
            self._fleet_state(requests, now), now
        ):
            self.cost.changes += 1
            self._apply_decision(decision, now)

    def _fleet_state(self, requests: int, now: float) -> autoscaler.FleetState:
        ready = [one for one in self.upstreams if one.ready_at <= now]
        going_on = [one for one in ready if one.stopped_at == math.inf]
        share, rest = divmod(requests, max(len(going_on), 1))
        upstreams = [
            autoscaler.Upstream(
                name=one.name,
                target=TARGET,
                data_centre=one.data_centre,
                slots=SLOTS,
                price_micros_per_hour=one.price,
                running=share + (position < rest),
            )
            for position, one in enumerate(going_on)
        ]
        expected = {
            (TARGET, name): sum(
                one.data_centre == name and one.stopped_at == math.inf
                for one in self.upstreams
            )
            for name in self.prices
        }
        return autoscaler.FleetState(rules(), upstreams, expected)

    def _apply_decision(
        self, decision: autoscaler.Decision, now: float
    ) -> None:
        if isinstance(decision, autoscaler.Start):
            name = decision.data_centre
            self.upstreams.append(
                SimulatedUpstream(
                    f'{name}-{now}-{decision.expected}',
                    name,
                    self.prices[name],
                    now + START_UP_SECONDS,
                ),
            )
            return
        for one in self.upstreams:
            if one.name == decision.upstream.name:
                one.stopped_at = now + DRAIN_SECONDS


def cheapest_hourly_price(count: int) -> float:
    """Return what `count` upstreams cost an hour where they are cheapest."""
    chosen = [
        price for _, price, least, _ in DATA_CENTRES for _ in range(least)
    ]
    spare = sorted(
        price
        for _, price, least, most in DATA_CENTRES
        for _ in range(most - least)
    )
    return sum(chosen) + sum(spare[: max(count - len(chosen), 0)])


def upstreams_needed(requests: float) -> int:
    """Return how many upstreams hold so many requests, as the rules allow."""
    allowed = sum(most for _, _, _, most in DATA_CENTRES)
    return min(math.ceil(requests / SLOTS), allowed)


def fixed_cost(curve: abc.Sequence[int], count: int) -> Cost:
    """Return the cost of the same upstreams all day."""
    cost = Cost()
    for requests in curve:
        cost.add(cheapest_hourly_price(count), count * SLOTS, requests)
    return cost


def cheapest_cost(curve: abc.Sequence[int]) -> Cost:
    """Return the cost of exactly what is needed, known beforehand."""
    cost = Cost()
    for requests in curve:
        count = upstreams_needed(requests)
        cost.add(cheapest_hourly_price(count), count * SLOTS, requests)
    return cost


def policy_cost(
    curve: abc.Sequence[int], pace: autoscaler.ScalingParameters
) -> Cost:
    """Return the cost of following the policy."""
    day = Day(pace)
    for step, requests in enumerate(curve):
        day.step(requests, step * STEP_SECONDS)
    return day.cost


@APP.default
def run(*, seeds: int = 3) -> None:
    """Print a table of costs and of demand that found no slot."""
    pace = autoscaler.ScalingParameters(start_up_seconds=START_UP_SECONDS)
    print('| seed | way | cost | against cheapest | unmet | changes |')
    print('|---|---|---|---|---|---|')
    for seed in range(1, seeds + 1):
        curve = demand_curve(random.Random(seed))
        least = cheapest_cost(curve)
        ways = {
            'cheapest in hindsight': least,
            'policy': policy_cost(curve, pace),
            'fixed, for the peak': fixed_cost(
                curve, upstreams_needed(max(curve))
            ),
            'fixed, for the mean': fixed_cost(
                curve, upstreams_needed(sum(curve) / len(curve))
            ),
        }
        for name, cost in ways.items():
            print(_row(seed, name, cost, least))


def _row(seed: int, name: str, cost: Cost, least: Cost) -> str:
    against = cost.price / least.price
    unmet = 100 * cost.unmet / cost.requested
    return (
        f'| {seed} | {name} | {cost.price:.1f} | {against:.2f} '
        f'| {unmet:.2f}% | {cost.changes} |'
    )


if __name__ == '__main__':
    APP()
