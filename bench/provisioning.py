"""Simulate a day of demand and compare the costs of ways to provision it.

Only the decisions of the autoscaler run, step by step of a seeded day: no
process is started and no request is sent.
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
RELATIVE_NOISE = 0.06
BURST_COUNT = 3
BURST_SECONDS = 900
BURST_FACTOR = 1.8
# Name, price per hour in millionths, and least and most upstreams of each.
DATA_CENTRES = (
    ('dc-1', 900_000, 1, 6),
    ('dc-2', 1_000_000, 1, 6),
    ('dc-3', 1_300_000, 0, 6),
)
MICROS_PER_UNIT = 1_000_000


def rules() -> list[document.UpstreamRule]:
    """Return the upstream rule of each data centre."""
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
    """Return the number of open requests in each step of a day.

    Demand follows a daily wave with noise and bursts at random times.
    """
    bursts = [rng.uniform(0, DAY_SECONDS) for _ in range(BURST_COUNT)]
    curve = []
    for second in range(0, DAY_SECONDS, STEP_SECONDS):
        angle = 2 * math.pi * second / DAY_SECONDS
        level = MEAN_REQUESTS * (1 - DAILY_SWING * math.cos(angle))
        if any(0 <= second - burst < BURST_SECONDS for burst in bursts):
            level *= BURST_FACTOR
        curve.append(max(round(rng.gauss(level, RELATIVE_NOISE * level)), 0))
    return curve


@dataclasses.dataclass
class SimulatedUpstream:
    """Upstream of the simulation; times are seconds since the day began."""

    name: str
    data_centre: str
    price: int
    ready_at: float
    stopped_at: float = math.inf


@dataclasses.dataclass
class Cost:
    """Total cost of one way to provision, and the demand that it left unmet.

    `unmet` and `requested` are open requests, summed over the steps.
    """

    price: float = 0
    unmet: int = 0
    requested: int = 0
    changes: int = 0

    def add(self, price_per_hour: float, slots: int, requests: int) -> None:
        """Add one step; `price_per_hour` is in millionths."""
        self.price += (
            price_per_hour * STEP_SECONDS / HOUR_SECONDS / MICROS_PER_UNIT
        )
        self.unmet += max(requests - slots, 0)
        self.requested += requests


class Day:
    """Simulation of the autoscaler's policy over a day."""

    def __init__(self, parameters: autoscaler.ScalingParameters) -> None:
        self.policy = autoscaler.Policy(parameters)
        self.upstreams: list[SimulatedUpstream] = []
        self.cost = Cost()
        self.prices = {name: price for name, price, _, _ in DATA_CENTRES}
        # The day begins with the fewest upstreams that the rules allow.
        for name, price, least, _ in DATA_CENTRES:
            for number in range(least):
                first = SimulatedUpstream(f'{name}-{number}', name, price, 0)
                self.upstreams.append(first)

    def step(self, requests: int, now: float) -> None:
        """Add the cost of one step, then apply the policy's decisions."""
        self.upstreams = [
            upstream for upstream in self.upstreams if upstream.stopped_at > now
        ]
        ready = [
            upstream for upstream in self.upstreams if upstream.ready_at <= now
        ]
        serving = [
            upstream for upstream in ready if upstream.stopped_at == math.inf
        ]
        self.cost.add(
            sum(upstream.price for upstream in self.upstreams),
            len(serving) * SLOTS,
            requests,
        )
        for decision in self.policy.decide(
            self._fleet_state(requests, now), now
        ):
            self.cost.changes += 1
            self._apply_decision(decision, now)

    def _fleet_state(self, requests: int, now: float) -> autoscaler.FleetState:
        ready = [
            upstream for upstream in self.upstreams if upstream.ready_at <= now
        ]
        active = [
            upstream for upstream in ready if upstream.stopped_at == math.inf
        ]
        share, rest = divmod(requests, max(len(active), 1))
        upstreams = [
            autoscaler.Upstream(
                name=upstream.name,
                target=TARGET,
                data_centre=upstream.data_centre,
                slots=SLOTS,
                price_micros_per_hour=upstream.price,
                running=share + (position < rest),
            )
            for position, upstream in enumerate(active)
        ]
        expected = {
            (TARGET, name): sum(
                upstream.data_centre == name and upstream.stopped_at == math.inf
                for upstream in self.upstreams
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
        for upstream in self.upstreams:
            if upstream.name == decision.upstream.name:
                upstream.stopped_at = now + DRAIN_SECONDS


def cheapest_hourly_price(count: int) -> float:
    """Return the lowest hourly price of `count` upstreams, in millionths.

    The least number of upstreams of each data centre is always included.
    """
    required = [
        price for _, price, least, _ in DATA_CENTRES for _ in range(least)
    ]
    spare = sorted(
        price
        for _, price, least, most in DATA_CENTRES
        for _ in range(most - least)
    )
    return sum(required) + sum(spare[: max(count - len(required), 0)])


def upstreams_needed(requests: float) -> int:
    """Return how many upstreams have slots for the requests.

    It is at most what the rules of all data centres allow.
    """
    allowed = sum(most for _, _, _, most in DATA_CENTRES)
    return min(math.ceil(requests / SLOTS), allowed)


def fixed_cost(curve: abc.Sequence[int], count: int) -> Cost:
    """Return the cost of `count` upstreams all day."""
    cost = Cost()
    for requests in curve:
        cost.add(cheapest_hourly_price(count), count * SLOTS, requests)
    return cost


def cheapest_cost(curve: abc.Sequence[int]) -> Cost:
    """Return the cost of exactly the upstreams that each step needs.

    It is the lower bound: start-up and draining take no time.
    """
    cost = Cost()
    for requests in curve:
        count = upstreams_needed(requests)
        cost.add(cheapest_hourly_price(count), count * SLOTS, requests)
    return cost


def policy_cost(
    curve: abc.Sequence[int], parameters: autoscaler.ScalingParameters
) -> Cost:
    """Return the cost of following the autoscaler's policy."""
    day = Day(parameters)
    for step, requests in enumerate(curve):
        day.step(requests, step * STEP_SECONDS)
    return day.cost


@APP.default
def run(*, seeds: int = 3) -> None:
    """Print a table of costs and of the demand that found no slot.

    Parameters
    ----------
    seeds:
        Number of days to simulate, each with a seed of its own.
    """
    parameters = autoscaler.ScalingParameters(start_up_seconds=START_UP_SECONDS)
    print('| seed | way | cost | against cheapest | unmet | changes |')
    print('|---|---|---|---|---|---|')
    for seed in range(1, seeds + 1):
        curve = demand_curve(random.Random(seed))
        least = cheapest_cost(curve)
        ways = {
            'cheapest in hindsight': least,
            'policy': policy_cost(curve, parameters),
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
    relative_price = cost.price / least.price
    unmet = 100 * cost.unmet / cost.requested
    return (
        f'| {seed} | {name} | {cost.price:.1f} | {relative_price:.2f} '
        f'| {unmet:.2f}% | {cost.changes} |'
    )


if __name__ == '__main__':
    APP()
