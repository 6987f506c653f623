"""Data classes of the configuration that operators write.

`printer.print_document` turns a `Document` into the YAML that
`cranberryrill config apply` reads.
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
    """One customer: its rate limits and its weight against others."""

    __pydantic_config__ = STRICT

    name: Name
    weight: typing.Annotated[
        float,
        pydantic.Field(
            description='relative share against other organisations', gt=0
        ),
    ] = 1
    requests_per_second: typing.Annotated[
        float,
        pydantic.Field(description='rate limit; 0: unlimited', ge=0),
    ] = 0
    tokens_per_minute: typing.Annotated[
        int,
        pydantic.Field(description='rate limit; 0: unlimited', ge=0),
    ] = 0


@dataclasses.dataclass(frozen=True)
class RequestClass:
    """One service level: tier, latency targets, floor and queue limit."""

    __pydantic_config__ = STRICT

    name: Name
    tier: typing.Annotated[
        int,
        pydantic.Field(
            description='priority; 1 is served first',
            ge=HIGHEST_TIER,
            le=LOWEST_TIER,
        ),
    ]
    first_token_ms: typing.Annotated[
        int,
        pydantic.Field(
            description='target for the first token, milliseconds',
            gt=0,
        ),
    ] = 460
    between_tokens_ms: typing.Annotated[
        int,
        pydantic.Field(
            description='target between two tokens, milliseconds',
            gt=0,
        ),
    ] = 72
    floor: typing.Annotated[
        float,
        pydantic.Field(
            description='share of slots that it keeps under load, 0 to 1',
            ge=0,
            le=1,
        ),
    ] = 0.05
    queue_limit: typing.Annotated[
        int,
        pydantic.Field(description='most requests queued at an agent', gt=0),
    ] = 64


@dataclasses.dataclass(frozen=True)
class Model:
    """One model that callers may request."""

    __pydantic_config__ = STRICT

    name: Name
    default_class: Name
    timeout_ms: typing.Annotated[
        int,
        pydantic.Field(
            description='longest time to the complete answer, milliseconds',
            gt=0,
        ),
    ] = 600_000


@dataclasses.dataclass(frozen=True)
class Route:
    """Forward the paths below a prefix to a plain service."""

    __pydantic_config__ = STRICT

    name: Name
    path_prefix: typing.Annotated[
        str,
        pydantic.Field(
            description='prefix of the forwarded paths',
            pattern='^/[^?#]*$',
        ),
    ]
    service: Name
    default_class: Name
    idempotent: typing.Annotated[
        bool,
        pydantic.Field(description='whether requests may be sent again'),
    ] = False
    timeout_ms: typing.Annotated[
        int,
        pydantic.Field(
            description='longest time to the complete answer, milliseconds',
            gt=0,
        ),
    ] = 10_000


@dataclasses.dataclass(frozen=True)
class ClassRule:
    """Assign a class to the requests of an organisation for a target.

    A target is a model or the service of a route.
    """

    __pydantic_config__ = STRICT

    name: Name
    organisation: Name
    target: Name
    class_name: Name


@dataclasses.dataclass(frozen=True)
class UpstreamRule:
    """Limit how many upstreams of a target run in a data centre."""

    __pydantic_config__ = STRICT

    name: Name
    target: Name
    data_centre: Name
    least: typing.Annotated[
        int,
        pydantic.Field(description='lowest number of upstreams', ge=0),
    ] = 0
    most: typing.Annotated[
        int,
        pydantic.Field(description='highest number of upstreams', ge=0),
    ] = 1


@dataclasses.dataclass(frozen=True)
class Document:
    """The whole configuration of the router."""

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
            kind: pydantic.TypeAdapter(object_type)
            for kind, object_type in OBJECT_TYPES.items()
        }
    )
)


def encode(kind: str, config_object: ConfigObject) -> bytes:
    """Return the canonical JSON of one object."""
    return ADAPTERS[kind].dump_json(config_object)


def decode(kind: str, content: bytes) -> ConfigObject:
    """Return the object in JSON that `encode` wrote."""
    return ADAPTERS[kind].validate_json(content)
