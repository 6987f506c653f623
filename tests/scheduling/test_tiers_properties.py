"""Check every decision of the tier scheduler under generated traffic."""

import dataclasses
import itertools
import random
import types
from collections import abc

import hypothesis
import pytest

from bench import decision_checker
from cranberryrill.relay import relay_pb2
from cranberryrill.scheduling import decisions, levels, tickets, tiers

STEP = 0.05
# Failing examples are reported without shrinking, as each run is long.
# Examples derive from the source of a test and the names in its signature:
# renaming those changes the examples.
SETTINGS = hypothesis.settings(
    deadline=None,
    derandomize=True,
    phases=(hypothesis.Phase.explicit, hypothesis.Phase.generate),
)
SLOTS = 8
LEVELS = (
    levels.ServiceLevel('urgent', 1, 0.2, 16, first_token_seconds=0.46),
    levels.ServiceLevel('notes', 2, 0.1, 16, first_token_seconds=2),
    levels.ServiceLevel('review', 4, 0.1, 16, first_token_seconds=20),
    levels.ServiceLevel('draft', 6, 0.05, 16, first_token_seconds=60),
)
BY_NAME = types.MappingProxyType({level.name: level for level in LEVELS})
ORGANISATIONS = ('a', 'b', 'c')


class StaticLevels:
    """Service levels and weights of these tests."""

    def level(self, call: relay_pb2.Call) -> levels.ServiceLevel:
        return BY_NAME[call.class_name]

    def weight(self, organisation: str) -> float:
        return 2 if organisation == 'a' else 1


@dataclasses.dataclass(frozen=True)
class Arrival:
    """One request: arrival step, class, organisation and answer length."""

    step: int
    class_name: str
    organisation: str
    tokens: int


@dataclasses.dataclass
class Work:
    """One request at the upstream, which produces a token per step."""

    ticket: tickets.Ticket
    tokens: int
    output_tokens: int = 0


class Upstream:
    """Upstream that produces one token per step for each running request."""

    def __init__(self, slots: int = SLOTS) -> None:
        self.judge = decision_checker.DecisionChecker(slots, LEVELS)
        self.scheduler = tiers.TierScheduler(
            slots, StaticLevels(), self.judge, 0
        )
        self.refused: list[str] = []
        self.waits: list[tuple[str, float]] = []
        self.works: list[Work] = []
        self.produced: dict[str, int] = dict.fromkeys(ORGANISATIONS, 0)

    def arrive(self, arrival: Arrival, now: float) -> None:
        call = relay_pb2.Call(
            class_name=arrival.class_name,
            organisation=arrival.organisation,
            is_model=True,
            idempotent=True,
        )
        offered = self.scheduler.offer(call, now)
        if offered.is_ok():
            ticket = offered.unwrap()
            work = Work(ticket, arrival.tokens)
            ticket.output = work
            self.works.append(work)
        else:
            self.refused.append(arrival.class_name)

    def step(self, now: float) -> None:
        for work in list(self.works):
            if work.ticket.evicted.is_set():
                self.works.remove(work)
            elif work.ticket.preempted.is_set():
                self.scheduler.requeue(work.ticket, now)
            elif work.ticket.running.is_set():
                self._produce(work, now)
        self.scheduler.observe(now)

    def _produce(self, work: Work, now: float) -> None:
        if not work.output_tokens:
            waited = now - work.ticket.offered_at
            self.waits.append((work.ticket.call.class_name, waited))
        work.output_tokens += 1
        self.produced[work.ticket.call.organisation] += 1
        if work.output_tokens >= work.tokens:
            self.works.remove(work)
            self.scheduler.release(work.ticket, now)


def run(arrivals: list[Arrival], steps: int, slots: int = SLOTS) -> Upstream:
    upstream = Upstream(slots)
    by_step: dict[int, list[Arrival]] = {}
    for arrival in arrivals:
        by_step.setdefault(arrival.step, []).append(arrival)
    for step in range(steps):
        now = step * STEP
        for arrival in by_step.get(step, ()):
            upstream.arrive(arrival, now)
        upstream.step(now)
    return upstream


def burst(
    start: int,
    name: str,
    organisation: str,
    count: int,
    every: int,
    tokens: int,
) -> list[Arrival]:
    last = start + count * max(every, 1)
    steps = (
        range(start, last, every) if every else [start for _ in range(count)]
    )
    return [Arrival(step, name, organisation, tokens) for step in steps]


BURSTS = hypothesis.strategies.lists(
    hypothesis.strategies.builds(
        burst,
        start=hypothesis.strategies.integers(0, 400),
        name=hypothesis.strategies.sampled_from(sorted(BY_NAME)),
        organisation=hypothesis.strategies.sampled_from(ORGANISATIONS),
        count=hypothesis.strategies.integers(1, 60),
        every=hypothesis.strategies.integers(0, 8),
        tokens=hypothesis.strategies.integers(1, 80),
    ),
    min_size=1,
    max_size=8,
).map(lambda bursts: list(itertools.chain.from_iterable(bursts)))


@hypothesis.settings(SETTINGS, max_examples=25)
@hypothesis.given(BURSTS)
def test_no_violation_and_every_floor(arrivals: list[Arrival]) -> None:
    steps = 600
    upstream = run(arrivals, steps)
    assert not upstream.judge.violations
    assert not upstream.judge.missed_floors(steps * STEP)


@pytest.mark.parametrize(
    'bursts',
    [
        # Urgent requests of 3.5 s hold all slots but one for 3 s.
        [
            (273, 'draft', 'c', 1, 1, 21),
            (126, 'review', 'b', 57, 8, 56),
            (321, 'draft', 'b', 19, 5, 13),
            (93, 'notes', 'c', 12, 8, 63),
            (270, 'urgent', 'c', 32, 5, 70),
            (325, 'review', 'b', 59, 4, 25),
            (87, 'urgent', 'c', 39, 8, 73),
            (207, 'draft', 'a', 6, 3, 69),
        ],
        # Urgent requests hold every slot before the first of them has ended.
        [
            (260, 'draft', 'b', 57, 8, 17),
            (35, 'draft', 'c', 22, 3, 73),
            (49, 'notes', 'b', 31, 5, 8),
            (373, 'notes', 'b', 58, 8, 14),
            (148, 'urgent', 'b', 21, 4, 74),
            (176, 'review', 'c', 30, 8, 24),
            (0, 'notes', 'b', 40, 3, 28),
        ],
        # A class falls behind by part of a slot-second several times.
        [
            (257, 'notes', 'b', 39, 6, 16),
            (77, 'urgent', 'c', 22, 1, 66),
            (218, 'notes', 'b', 7, 2, 62),
            (167, 'notes', 'c', 15, 8, 24),
            (211, 'review', 'a', 38, 0, 10),
            (22, 'review', 'a', 47, 6, 42),
        ],
    ],
)
def test_floor_holds_while_higher_tiers_hold_the_slots(
    bursts: list[tuple[int, str, str, int, int, int]],
) -> None:
    arrivals = itertools.chain.from_iterable(
        burst(*parameters) for parameters in bursts
    )
    upstream = run(list(arrivals), 600)
    assert not upstream.judge.violations
    assert not upstream.judge.missed_floors(600 * STEP)


@hypothesis.settings(SETTINGS, max_examples=4)
@hypothesis.given(
    hypothesis.strategies.lists(
        hypothesis.strategies.integers(5, 80),
        min_size=3,
        max_size=3,
    ),
    hypothesis.strategies.integers(1, 6),
)
def test_worst_organisation_gets_its_share(
    lengths: list[int],
    crowd: int,
) -> None:
    # Each organisation has more requests than its share, `c` up to six times
    # as many as the others.
    asked = {'a': 2, 'b': 2, 'c': crowd * 2}
    tokens = dict(zip(ORGANISATIONS, lengths, strict=True))
    wave = [
        Arrival(0, 'draft', name, tokens[name])
        for name, count in asked.items()
        for _ in range(count)
    ]
    arrivals = [
        dataclasses.replace(one, step=step)
        for step in range(4, 1000, 4)
        for one in wave
    ]
    produced = run(arrivals, 1000).produced
    waves = len(arrivals) // len(wave)
    demands = {
        name: asked[name] * tokens[name] * waves for name in ORGANISATIONS
    }
    fair = share_fairly(sum(produced.values()), demands)
    worst = min(produced[name] / fair[name] for name in ORGANISATIONS)
    assert round(worst * 100) >= 90


def share_fairly(
    total: float, demands: abc.Mapping[str, float]
) -> dict[str, float]:
    """Return shares by weight; unused shares go to the others."""
    weights = {'a': 2, 'b': 1, 'c': 1}
    shares: dict[str, float] = {}
    weighted = {name: demands[name] / weights[name] for name in demands}
    for one in sorted(weighted, key=weighted.__getitem__):
        part = total * weights[one] / sum(weights.values())
        shares[one] = min(part, demands[one])
        total -= shares[one]
        weights.pop(one)
    return shares


def sample_arrivals(
    slots: int, name: str, share: float, mean: int
) -> list[Arrival]:
    """Sample two minutes of requests for a share of the capacity."""
    rng = random.Random(f'{slots}-{name}')
    arrivals: list[Arrival] = []
    step = rng.expovariate(share * slots / mean)
    while step < 2400:
        tokens = 1 + int(rng.expovariate(1 / mean))
        organisation = rng.choice(ORGANISATIONS)
        arrivals.append(Arrival(int(step), name, organisation, tokens))
        step += rng.expovariate(share * slots / mean)
    return arrivals


@pytest.mark.parametrize('slots', [4, 8, 16])
def test_urgent_class_keeps_its_target_beside_floors(slots: int) -> None:
    arrivals = [
        *sample_arrivals(slots, 'urgent', 0.25, 20),
        *sample_arrivals(slots, 'review', 0.2, 40),
        *sample_arrivals(slots, 'draft', 3, 100),
    ]
    upstream = run(arrivals, 2400, slots)
    late = [
        name
        for name, waited in upstream.waits
        if name == 'urgent' and waited > LEVELS[0].first_token_seconds
    ]
    missed = len(late) + upstream.refused.count('urgent')
    total = sum(one.class_name == 'urgent' for one in arrivals)
    assert missed * 20 <= total
    assert not upstream.judge.violations
    assert not upstream.judge.missed_floors(2400 * STEP)


def test_judge_reports_a_violation() -> None:
    judge = run([Arrival(0, 'draft', 'a', 50) for _ in range(20)], 1).judge
    assert not judge.violations
    call = relay_pb2.Call(class_name='urgent', organisation='a')
    judge.record(
        decisions.make_decision(
            decisions.DecisionKind.refused, call, tier=1, now=1
        ),
    )
    assert [one.reason for one in judge.violations] == ['draft waits']
