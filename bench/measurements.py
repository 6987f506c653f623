"""Compute the measurements of an experiment from outcomes and logs."""

import collections
import dataclasses
import json
import pathlib
import types
import typing

from ddsketch import ddsketch

from bench import decision_checker, load_generator, scenarios
from cranberryrill.configuration import document
from cranberryrill.scheduling import decisions, levels

MILLISECONDS_PER_SECOND = 1000
RELATIVE_ACCURACY = 0.001
QUANTILE = 0.95
# Requests due in the last seconds of a run don't count in the organisations'
# shares: the end of the run may cut their answers off.
SETTLING_SECONDS = 3.0


@dataclasses.dataclass(frozen=True)
class ClassMeasurement:
    """Latency of one class, compared with its targets.

    `first_token` is the share of requests whose first token met the target,
    `between_tokens` the share of gaps between tokens that met theirs.
    """

    name: str
    requests: int
    first_token: float
    between_tokens: float
    first_token_p95_ms: float
    gap_p95_ms: float


@dataclasses.dataclass(frozen=True)
class Work:
    """Tokens that the engines produced, and how many of them were wasted."""

    produced: int
    wasted: int

    def wasted_share(self) -> float:
        """Return the wasted share of the produced tokens."""
        return self.wasted / max(self.produced, 1)


@dataclasses.dataclass(frozen=True)
class Measurement:
    """Measurement of one experiment under one policy."""

    experiment: str
    policy: str
    classes: tuple[ClassMeasurement, ...]
    # Tokens a second of answers whose first token met its target.
    goodput: float
    work: Work
    # Smallest part of its fair share that an organisation got, by class in
    # the order of `classes`.
    worst_organisations: tuple[float, ...]
    # Engine-seconds for each thousand tokens of goodput.
    cost: float
    violations: int
    missed_floors: int
    events: int
    # One-minute load average of the host at the end of the experiment.
    host_load: float
    note: str = ''


def measure_class(
    level: document.RequestClass,
    outcomes: typing.Sequence[load_generator.Outcome],
) -> ClassMeasurement:
    """Measure one class; a refused request has missed its target."""
    own = [
        outcome
        for outcome in outcomes
        if outcome.request.flow.class_name == level.name
    ]
    first = ddsketch.DDSketch(RELATIVE_ACCURACY)
    between = ddsketch.DDSketch(RELATIVE_ACCURACY)
    gaps = 0
    gaps_in_time = 0
    for outcome in own:
        if outcome.tokens:
            first.add(_milliseconds(outcome.first_token))
        for gap in outcome.gaps:
            between.add(_milliseconds(gap))
            gaps += 1
            gaps_in_time += _milliseconds(gap) <= level.between_tokens_ms
    return ClassMeasurement(
        level.name,
        len(own),
        sum(is_in_time(one) for one in own) / max(len(own), 1),
        gaps_in_time / max(gaps, 1),
        first.get_quantile_value(QUANTILE) or 0,
        between.get_quantile_value(QUANTILE) or 0,
    )


def is_in_time(outcome: load_generator.Outcome) -> bool:
    """Return whether the first token met the class's target."""
    target = _LEVELS[outcome.request.flow.class_name].first_token_ms
    return bool(outcome.tokens and _milliseconds(outcome.first_token) <= target)


def goodput(outcomes: typing.Sequence[load_generator.Outcome]) -> float:
    """Return the tokens a second of answers that met the target."""
    tokens = sum(outcome.tokens for outcome in outcomes if is_in_time(outcome))
    return tokens / scenarios.DURATION_SECONDS


def measure_classes(
    outcomes: typing.Sequence[load_generator.Outcome],
) -> tuple[ClassMeasurement, ...]:
    """Measure every class."""
    return tuple(measure_class(level, outcomes) for level in scenarios.CLASSES)


def worst_organisations(
    outcomes: typing.Sequence[load_generator.Outcome],
) -> tuple[float, ...]:
    """Return `worst_organisation` of each class, in the order of classes."""
    return tuple(
        worst_organisation(outcomes, level.name) for level in scenarios.CLASSES
    )


def describe_withdrawal(
    outcomes: typing.Sequence[load_generator.Outcome],
    withdrawn_at: float,
) -> str:
    """Describe how long withdrawn keys still worked and how streams ended.

    `withdrawn_at` is in seconds since the start of the run.
    """
    withdrawn = [
        outcome
        for outcome in outcomes
        if outcome.request.flow.organisation
        in scenarios.WITHDRAWN_ORGANISATIONS
    ]
    last_token_at = max(
        outcome.request.due_seconds + outcome.first_token + sum(outcome.gaps)
        for outcome in withdrawn
        if outcome.tokens
    )
    refused = sum(outcome.code == 'key_withdrawn' for outcome in withdrawn)
    return (
        f'last token {last_token_at - withdrawn_at:.1f} s after; '
        f'{refused} streams ended with key_withdrawn'
    )


def worst_organisation(
    outcomes: typing.Sequence[load_generator.Outcome],
    class_name: str,
) -> float:
    """Return the smallest part of its fair share that an organisation got.

    The tokens served to the class are shared evenly. An organisation that
    requested less than its share leaves the rest to the others.
    """
    served: collections.Counter[str] = collections.Counter()
    requested: collections.Counter[str] = collections.Counter()
    for outcome in _without_last_requests(outcomes, class_name):
        name = outcome.request.flow.organisation
        served[name] += outcome.tokens
        requested[name] += outcome.request.tokens
    remaining = float(sum(served.values()))
    worst = 1.0
    names = sorted(requested, key=requested.__getitem__)
    for number, name in enumerate(names):
        fair = min(remaining / (len(names) - number), requested[name])
        remaining -= fair
        worst = min(worst, served[name] / max(fair, 1))
    return worst


def _without_last_requests(
    outcomes: typing.Sequence[load_generator.Outcome],
    class_name: str,
) -> list[load_generator.Outcome]:
    return [
        outcome
        for outcome in outcomes
        if outcome.request.flow.class_name == class_name
        and outcome.request.due_seconds
        <= scenarios.DURATION_SECONDS - SETTLING_SECONDS
    ]


def check_decision_log(
    path: pathlib.Path, since: float
) -> decision_checker.DecisionChecker:
    """Check the decisions that an agent has logged since `since`.

    `since` is monotonic time in seconds, as in the log.
    """
    checker = decision_checker.DecisionChecker(
        scenarios.SLOTS,
        [
            levels.ServiceLevel(
                level.name, level.tier, level.floor, level.queue_limit
            )
            for level in scenarios.CLASSES
        ],
    )
    for line in path.read_text().splitlines():
        if '"decision"' in line:
            decision = _parse_decision(json.loads(line))
            if decision.at >= since:
                checker.record(decision)
    return checker


def _parse_decision(line: dict[str, typing.Any]) -> decisions.Decision:
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
