"""Define the configuration that operators write.

Print a `Document` with `printer.print_document` and hand the YAML to
`cranberryrill config apply`.
"""

import dataclasses
import types
import typing

import pydantic

STRICT = pydantic.ConfigDict(extra='forbid')
Name = typing.Annotated[
    str,
    pydantic.Field(
        description='letters, digits, dots, dashes and underscores',
        pattern='^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$',
    ),
]
HIGHEST_TIER = 1
LOWEST_TIER = 6


@dataclasses.dataclass(frozen=True)
class Organisation:
    """One customer, with its limits and its weight against others."""

    __pydantic_config__ = STRICT

    name: Name
    weight: typing.Annotated[
        float,
        pydantic.Field(description='share against others', gt=0),
    ] = 1
    requests_per_second: typing.Annotated[
        float,
        pydantic.Field(description='limit; 0 sets none', ge=0),
    ] = 0
    tokens_per_minute: typing.Annotated[
        int,
        pydantic.Field(description='limit; 0 sets none', ge=0),
    ] = 0


@dataclasses.dataclass(frozen=True)
class RequestClass:
    """One service level: tier, latency targets and floor."""

    __pydantic_config__ = STRICT

    name: Name
    tier: typing.Annotated[
        int,
        pydantic.Field(
            description='1 is served first',
            ge=HIGHEST_TIER,
            le=LOWEST_TIER,
        ),
    ]
    first_token_ms: typing.Annotated[
        int,
        pydantic.Field(description='target, milliseconds', gt=0),
    ] = 460
    between_tokens_ms: typing.Annotated[
        int,
        pydantic.Field(description='target, milliseconds', gt=0),
    ] = 72
    floor: typing.Annotated[
        float,
        pydantic.Field(
            description='share of slots it keeps under load',
            ge=0,
            le=1,
        ),
    ] = 0.05
    queue_limit: typing.Annotated[
        int,
        pydantic.Field(description='most that wait at an agent', gt=0),
    ] = 64


@dataclasses.dataclass(frozen=True)
class Model:
    """One model that callers may name."""

    __pydantic_config__ = STRICT

    name: Name
    default_class: Name
    timeout_ms: typing.Annotated[
        int,
        pydantic.Field(description='longest answer, milliseconds', gt=0),
    ] = 600_000


@dataclasses.dataclass(frozen=True)
class Route:
    """Pass the paths below a prefix to a plain service."""

    __pydantic_config__ = STRICT

    name: Name
    path_prefix: typing.Annotated[
        str,
        pydantic.Field(description='path it covers', pattern='^/[^?#]*$'),
    ]
    service: Name
    default_class: Name
    idempotent: typing.Annotated[
        bool,
        pydantic.Field(description='whether its calls may be repeated'),
    ] = False
    timeout_ms: typing.Annotated[
        int,
        pydantic.Field(description='final answer within, milliseconds', gt=0),
    ] = 10_000


@dataclasses.dataclass(frozen=True)
class ClassRule:
    """Give an organisation's requests for a target their class."""

    __pydantic_config__ = STRICT

    name: Name
    organisation: Name
    target: Name
    class_name: Name


@dataclasses.dataclass(frozen=True)
class UpstreamRule:
    """Say how many upstreams of a target may run in a data centre."""

    __pydantic_config__ = STRICT

    name: Name
    target: Name
    data_centre: Name
    least: typing.Annotated[
        int,
        pydantic.Field(description='always running', ge=0),
    ] = 0
    most: typing.Annotated[
        int,
        pydantic.Field(description='never more than', ge=0),
    ] = 1


@dataclasses.dataclass(frozen=True)
class Document:
    """The whole configuration."""

    __pydantic_config__ = STRICT

    organisations: tuple[Organisation, ...] = ()
    classes: tuple[RequestClass, ...] = ()
    models: tuple[Model, ...] = ()
    routes: tuple[Route, ...] = ()
    class_rules: tuple[ClassRule, ...] = ()
    upstream_rules: tuple[UpstreamRule, ...] = ()


ConfigObject = (
    Organisation | RequestClass | Model | Route | ClassRule | UpstreamRule
)
OBJECT_TYPES: types.MappingProxyType[str, type[ConfigObject]] = (
    types.MappingProxyType(
        {
            'organisations': Organisation,
            'classes': RequestClass,
            'models': Model,
            'routes': Route,
            'class_rules': ClassRule,
            'upstream_rules': UpstreamRule,
        }
    )
)
KINDS = tuple(OBJECT_TYPES)
ADAPTERS: types.MappingProxyType[str, pydantic.TypeAdapter[ConfigObject]] = (
    types.MappingProxyType(
        {
            kind: pydantic.TypeAdapter(shape)
            for kind, shape in OBJECT_TYPES.items()
        }
    )
)


def encode(kind: str, named: ConfigObject) -> bytes:
    """Return the canonical JSON of one object."""
    return ADAPTERS[kind].dump_json(named)


def decode(kind: str, content: bytes) -> ConfigObject:
    """Return the object that `encode` wrote."""
    return ADAPTERS[kind].validate_json(content)
