"""Work out what an experiment shows."""

import collections
import dataclasses
import json
import pathlib
import types
import typing

from hdrh import histogram

from bench import decision_checker, load_generator, scenarios
from cranberryrill.configuration import document
from cranberryrill.scheduling import decisions, levels

MILLISECONDS_PER_SECOND = 1000
MAX_LATENCY_MS = 60_000
SIGNIFICANT_DIGITS = 3
PERCENTILE = 95
# Answers asked for later than this before the end can't be whole, seconds.
SETTLING_SECONDS = 3.0


@dataclasses.dataclass(frozen=True)
class ClassMeasurement:
    """How one class was served; shares are parts of 1."""

    name: str
    requests: int
    first_token: float
    between_tokens: float
    first_token_p95_ms: float
    gap_p95_ms: float


@dataclasses.dataclass(frozen=True)
class Work:
    """What the engines say they did."""

    produced: int
    wasted: int

    def wasted_share(self) -> float:
        """Return the wasted part."""
        return self.wasted / max(self.produced, 1)


@dataclasses.dataclass(frozen=True)
class Measurement:
    """What one experiment shows of one policy."""

    experiment: str
    policy: str
    classes: tuple[ClassMeasurement, ...]
    # Tokens a second, of answers whose first token came in time.
    goodput: float
    work: Work
    # By class, in the order of `classes`.
    worst_organisations: tuple[float, ...]
    # Engine-seconds paid for each thousand tokens of goodput.
    cost: float
    violations: int
    missed_floors: int
    events: int
    # Of the machine over the last minute, when the experiment ended.
    host_load: float
    note: str = ''


def measure_class(
    level: document.RequestClass,
    outcomes: typing.Sequence[load_generator.Outcome],
) -> ClassMeasurement:
    """Measure one class; what was refused has missed its target."""
    own = [one for one in outcomes if one.request.flow.class_name == level.name]
    first = histogram.HdrHistogram(1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS)
    between = histogram.HdrHistogram(1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS)
    gaps = 0
    quick = 0
    for outcome in own:
        if outcome.tokens:
            first.record_value(_milliseconds(outcome.first_token))
        for gap in outcome.gaps:
            between.record_value(_milliseconds(gap))
            gaps += 1
            quick += _milliseconds(gap) <= level.between_tokens_ms
    return ClassMeasurement(
        level.name,
        len(own),
        sum(is_in_time(one) for one in own) / max(len(own), 1),
        quick / max(gaps, 1),
        first.get_value_at_percentile(PERCENTILE),
        between.get_value_at_percentile(PERCENTILE),
    )


def is_in_time(outcome: load_generator.Outcome) -> bool:
    """Say whether the first token met the class's target."""
    target = _LEVELS[outcome.request.flow.class_name].first_token_ms
    return bool(outcome.tokens and _milliseconds(outcome.first_token) <= target)


def goodput(outcomes: typing.Sequence[load_generator.Outcome]) -> float:
    """Return the tokens a second of answers that began in time."""
    tokens = sum(one.tokens for one in outcomes if is_in_time(one))
    return tokens / scenarios.DURATION_SECONDS


def measure_classes(
    outcomes: typing.Sequence[load_generator.Outcome],
) -> tuple[ClassMeasurement, ...]:
    """Measure every class."""
    return tuple(measure_class(level, outcomes) for level in scenarios.CLASSES)


def worst_organisations(
    outcomes: typing.Sequence[load_generator.Outcome],
) -> tuple[float, ...]:
    """Return the least part of a fair share, for each class."""
    return tuple(
        worst_organisation(outcomes, level.name) for level in scenarios.CLASSES
    )


def describe_withdrawal(
    outcomes: typing.Sequence[load_generator.Outcome],
    at: float,
) -> str:
    """Say how long withdrawn keys went on working."""
    gone = [
        one
        for one in outcomes
        if one.request.flow.organisation in scenarios.WITHDRAWN_ORGANISATIONS
    ]
    last = max(
        one.request.due_seconds + one.first_token + sum(one.gaps)
        for one in gone
        if one.tokens
    )
    typed = sum(one.code == 'key_withdrawn' for one in gone)
    return f'last token {last - at:.1f} s after; {typed} streams ended typed'


def worst_organisation(
    outcomes: typing.Sequence[load_generator.Outcome],
    class_name: str,
) -> float:
    """Return the least part of a fair share that an organisation got.

    The fair share splits what the class was served evenly; what one does
    not ask for goes to the others.
    """
    served: collections.Counter[str] = collections.Counter()
    asked: collections.Counter[str] = collections.Counter()
    for outcome in _settled(outcomes, class_name):
        name = outcome.request.flow.organisation
        served[name] += outcome.tokens
        asked[name] += outcome.request.tokens
    left = float(sum(served.values()))
    worst = 1.0
    names = sorted(asked, key=asked.__getitem__)
    for number, name in enumerate(names):
        fair = min(left / (len(names) - number), asked[name])
        left -= fair
        worst = min(worst, served[name] / max(fair, 1))
    return worst


def _settled(
    outcomes: typing.Sequence[load_generator.Outcome],
    class_name: str,
) -> list[load_generator.Outcome]:
    return [
        one
        for one in outcomes
        if one.request.flow.class_name == class_name
        and one.request.due_seconds
        <= scenarios.DURATION_SECONDS - SETTLING_SECONDS
    ]


def check_decision_log(
    path: pathlib.Path, since: float
) -> decision_checker.DecisionChecker:
    """Replay the decisions that an agent has logged."""
    judge = decision_checker.DecisionChecker(
        scenarios.SLOTS,
        [
            levels.ServiceLevel(one.name, one.tier, one.floor, one.queue_limit)
            for one in scenarios.CLASSES
        ],
    )
    for line in path.read_text().splitlines():
        if '"decision"' in line:
            decision = _decision(json.loads(line))
            if decision.at >= since:
                judge.record(decision)
    return judge


def _decision(line: dict[str, typing.Any]) -> decisions.Decision:
    return decisions.Decision(
        kind=decisions.DecisionKind(line['decision']),
        at=line['at'],
        ticket=line['ticket'],
        class_name=line['class_name'],
        tier=line['tier'],
        organisation=line['organisation'],
    )


def _milliseconds(seconds: float) -> int:
    return max(round(seconds * MILLISECONDS_PER_SECOND), 1)


_LEVELS = types.MappingProxyType(
    {level.name: level for level in scenarios.CLASSES},
)
