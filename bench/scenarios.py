"""Traffic and faults of each experiment that compares policies."""

import dataclasses
import types

from bench import load_generator
from cranberryrill.configuration import document

MODEL = 'wobble'
SLOTS = 4
# A step of a full batch takes 32 + 4 x 2 = 40 ms.
STEP_SECONDS = 0.032
SEQUENCE_SECONDS = 0.002
ENGINE_TOKENS_PER_SECOND = SLOTS / (STEP_SECONDS + SLOTS * SEQUENCE_SECONDS)
DURATION_SECONDS = 14.0
FAULT_AT_SECONDS = 3.0
BURST_END_SECONDS = 13.0
ORGANISATIONS = tuple(f'org-{number}' for number in range(10))
# Organisations whose keys the experiment `keys withdrawn` withdraws.
WITHDRAWN_ORGANISATIONS = ORGANISATIONS[:3]
CLASSES = (
    document.RequestClass(name='urgent', tier=1, floor=0.2),
    document.RequestClass(
        name='chat',
        tier=3,
        first_token_ms=2000,
        between_tokens_ms=150,
        floor=0.1,
    ),
    document.RequestClass(
        name='drafting',
        tier=5,
        first_token_ms=30_000,
        between_tokens_ms=500,
        floor=0.1,
        queue_limit=12,
    ),
)
MEAN_TOKENS = types.MappingProxyType(
    {'urgent': 20, 'chat': 40, 'drafting': 100},
)
# Ordinary demand of each class, as a share of the total capacity.
DEMAND_SHARES = types.MappingProxyType(
    {'urgent': 0.25, 'chat': 0.2, 'drafting': 0.25},
)


@dataclasses.dataclass(frozen=True)
class Size:
    """Number of upstreams and data centres of a firm."""

    name: str
    engines: int
    desks: int
    data_centres: int

    def tokens_per_second(self) -> float:
        """Return the capacity of all engines in tokens per second."""
        return self.engines * ENGINE_TOKENS_PER_SECOND


SIZES = types.MappingProxyType(
    {
        'nivelar': Size('nivelar', engines=6, desks=4, data_centres=4),
        'tuul': Size('tuul', engines=9, desks=3, data_centres=3),
    },
)


@dataclasses.dataclass(frozen=True)
class Experiment:
    """Traffic of one run and the faults injected into it."""

    name: str
    flows: tuple[load_generator.Flow, ...]
    # Factor by which the first engine is slower from the fault on.
    slowdown: float = 1
    kills_engine: bool = False
    withdraws_keys: bool = False


def configuration() -> document.Document:
    """Return the configuration of all experiments."""
    return document.Document(
        organisations=tuple(
            document.Organisation(name=name) for name in ORGANISATIONS
        ),
        classes=CLASSES,
        models=(document.Model(name=MODEL, default_class='drafting'),),
    )


def experiments(size: Size) -> list[Experiment]:
    """Return the experiments, scaled to the capacity of a firm."""
    ordinary = _ordinary(size)
    return [
        Experiment('burst of drafting', ordinary + _burst(size, 'drafting')),
        Experiment('burst of urgent', ordinary + _burst(size, 'urgent')),
        Experiment('one organisation x10', ordinary + _one_heavy(size)),
        Experiment('engine 5x slower', ordinary, slowdown=5),
        Experiment('engine killed', ordinary, kills_engine=True),
        Experiment('long outputs', _long_outputs(size)),
        Experiment('keys withdrawn', ordinary, withdraws_keys=True),
    ]


def _ordinary(size: Size) -> tuple[load_generator.Flow, ...]:
    return tuple(
        _flow(
            name,
            level.name,
            size,
            DEMAND_SHARES[level.name] / len(ORGANISATIONS),
        )
        for level in CLASSES
        for name in ORGANISATIONS
    )


def _flow(
    organisation: str,
    class_name: str,
    size: Size,
    share: float,
) -> load_generator.Flow:
    mean = MEAN_TOKENS[class_name]
    return load_generator.Flow(
        organisation=organisation,
        class_name=class_name,
        model=MODEL,
        requests_per_second=share * size.tokens_per_second() / mean,
        start_seconds=0,
        end_seconds=DURATION_SECONDS,
        mean_tokens=mean,
    )


def _burst(size: Size, class_name: str) -> tuple[load_generator.Flow, ...]:
    """Request three times the capacity, spread over all organisations."""
    return tuple(
        dataclasses.replace(
            _flow(name, class_name, size, 3 / len(ORGANISATIONS)),
            start_seconds=FAULT_AT_SECONDS,
            end_seconds=BURST_END_SECONDS,
        )
        for name in ORGANISATIONS
    )


def _one_heavy(size: Size) -> tuple[load_generator.Flow, ...]:
    """Let one organisation request ten times an equal share."""
    flow = _flow(ORGANISATIONS[0], 'chat', size, 10 / len(ORGANISATIONS))
    return (dataclasses.replace(flow, start_seconds=FAULT_AT_SECONDS),)


def _long_outputs(size: Size) -> tuple[load_generator.Flow, ...]:
    """Make drafts five times as long; total demand exceeds the capacity."""
    drafts = tuple(
        dataclasses.replace(
            _flow(name, 'drafting', size, 1 / len(ORGANISATIONS)),
            requests_per_second=size.tokens_per_second()
            / len(ORGANISATIONS)
            / 500,
            mean_tokens=500,
            max_tokens=2000,
        )
        for name in ORGANISATIONS
    )
    others = tuple(
        flow for flow in _ordinary(size) if flow.class_name != 'drafting'
    )
    return others + drafts
