"""Traffic documents: routes, services, organisations and caller limits.

A document is always replaced as a whole. The operator chooses its version,
and the document with the highest version is in force.
"""

import dataclasses
import enum
import json
import sys
import typing
import zlib

from cranberryrill import durations

MILLISECONDS_PER_SECOND = 1000
# Fields of a route that are configured durations.
DURATIONS = ('timeout_ms', 'target_latency_ms', 'event_gap_ms')
# The default of zlib; a document of hundreds of routes takes a millisecond.
COMPRESSION_LEVEL = 6
MAX_WEIGHT = sys.float_info.max
DECODE_ERRORS = (zlib.error, ValueError, KeyError, TypeError)


class Repeatability(enum.Enum):
    """Whether a request may run more than once."""

    idempotent = 'idempotent'
    at_most_once = 'at_most_once'


@dataclasses.dataclass(frozen=True)
class Share:
    """Service of a route and its share of the requests, as a weight."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """Route for the paths below a prefix of one host."""

    name: str
    host: str
    path_prefix: str
    shares: tuple[Share, ...]
    repeatability: Repeatability
    # Whether answers are event streams.
    streams: bool
    # Whether another upstream can resume a stream after the id of an event.
    resumable: bool
    timeout_ms: float
    target_latency_ms: float
    # Longest time between two events that is on time; 0 without streams.
    event_gap_ms: float
    # Upstreams that may run a request before it fails.
    max_attempts: int
    # Priority; 0 is served first.
    rank: int
    # Whether callers need no key.
    anonymous: bool
    # Whether requests that share prompt parts prefer the same upstream.
    sticky: bool
    # Home regions, outside which no upstream gets a request; empty for all.
    regions: tuple[str, ...] = ()

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run may be sent again."""
        return self.repeatability is Repeatability.idempotent


@dataclasses.dataclass(frozen=True)
class Engine:
    """Capacity of each model engine of a service."""

    slots: int
    cache_tokens: int
    # Size of a cached token and rate of the links between engines; 0 when
    # engines can't fetch cached tokens from each other.
    token_bytes: int = 0
    link_mbps: float = 0
    # Output tokens in one event of a stream.
    tokens_per_event: int = 1


@dataclasses.dataclass(frozen=True)
class Scaling:
    """Lowest and highest number of a service's upstreams per data centre."""

    least: int
    most: int
    boot_seconds: float


@dataclasses.dataclass(frozen=True)
class Service:
    """Set of interchangeable upstreams.

    `engine` is None for a service without model engines, `scaling` when the
    number of upstreams has no bounds.
    """

    name: str
    health_path: str
    max_connections: int
    engine: Engine | None = None
    scaling: Scaling | None = None
    # How long an upstream is cold after its start, and the requests a second
    # that it takes in that time; 0 if upstreams of the service are never cold.
    cold_seconds: float = 0
    cold_per_second: float = 0


@dataclasses.dataclass(frozen=True)
class Organisation:
    """One customer, identified by the SHA-256 digests of its keys, in hex."""

    name: str
    key_digests: tuple[str, ...]
    # Overrides the rank of the route; None keeps it.
    rank: int | None = None
    # Home regions, as those of a route.
    regions: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class CallerLimits:
    """Limits on the size and the duration of callers' requests."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@dataclasses.dataclass(frozen=True)
class Document:
    """The whole traffic configuration; version 0 is the empty one."""

    version: int = 0
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    organisations: tuple[Organisation, ...] = ()
    limits: CallerLimits = CallerLimits()
    # Text that the operator sent, returned unchanged on reads.
    source: str = ''


EMPTY = Document()


class UnreadableDocument(Exception):
    """A stored document can't be decoded by this version of the program."""


def encode(document: Document) -> bytes:
    """Return the document as compressed JSON, for the log and for watchers."""
    plain = dataclasses.asdict(document)
    for route in plain['routes']:
        route['repeatability'] = route['repeatability'].value
    text = json.dumps(plain, separators=(',', ':'))
    return zlib.compress(text.encode(), COMPRESSION_LEVEL)


def decode(content: bytes) -> Document:
    """Return the document from the output of `encode`.

    Raises `UnreadableDocument`.
    """
    try:
        return _build_document(json.loads(zlib.decompress(content)))
    except DECODE_ERRORS as error:
        raise UnreadableDocument(str(error)) from error


def _build_document(plain: dict[str, typing.Any]) -> Document:
    return Document(
        version=plain['version'],
        routes=tuple(_build_route(route) for route in plain['routes']),
        services=tuple(
            _build_service(service) for service in plain['services']
        ),
        organisations=tuple(
            Organisation(
                name=known['name'],
                key_digests=tuple(known['key_digests']),
                rank=known['rank'],
                regions=tuple(known.get('regions', ())),
            )
            for known in plain['organisations']
        ),
        limits=CallerLimits(**plain['limits']),
        source=plain['source'],
    )


def _build_route(plain: dict[str, typing.Any]) -> Route:
    """Return a route with its numbers in the ranges that routing supports.

    Documents of earlier versions may hold whole numbers of any length.
    """
    shares = tuple(
        Share(share['service'], min(share['weight'], MAX_WEIGHT))
        for share in plain.pop('shares')
    )
    repeatability = Repeatability(plain.pop('repeatability'))
    # Documents of earlier versions have no regions.
    regions = tuple(plain.pop('regions', ()))
    for name in DURATIONS:
        plain[name] = durations.bounded_ms(plain[name])
    return Route(
        shares=shares, repeatability=repeatability, regions=regions, **plain
    )


def _build_service(plain: dict[str, typing.Any]) -> Service:
    engine = plain.pop('engine')
    scaling = plain.pop('scaling')
    return Service(
        engine=engine and Engine(**engine),
        scaling=scaling and Scaling(**scaling),
        **plain,
    )
