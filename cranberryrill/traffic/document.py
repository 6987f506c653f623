"""Define which requests go to which service, for whom and how.

A document is written whole under a version that the operator chooses; the
highest version is in force.
"""

import dataclasses
import enum
import json
import typing
import zlib

MILLISECONDS_PER_SECOND = 1000
# The best ratio costs a document of hundreds of routes a millisecond.
COMPRESSION_LEVEL = 6
UNREADABLE = (zlib.error, ValueError, KeyError, TypeError)


class Repeatability(enum.Enum):
    """Say whether a request may run more than once."""

    idempotent = 'idempotent'
    at_most_once = 'at_most_once'


@dataclasses.dataclass(frozen=True)
class Share:
    """Give a service its weight among those of a route."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """Serve the paths below a prefix of one host."""

    name: str
    host: str
    path_prefix: str
    shares: tuple[Share, ...]
    repeatability: Repeatability
    # Whether answers are series of events.
    streams: bool
    # Whether a stream may go on at another upstream after an event's id.
    resumable: bool
    timeout_ms: float
    target_latency_ms: float
    # The longest pause between two events that is on time; 0 for no streams.
    event_gap_ms: float
    # How many upstreams may run one attempt of a caller.
    max_attempts: int
    # 0 is served first.
    rank: int
    anonymous: bool
    # Whether requests with shared parts of a prompt belong together.
    sticky: bool

    @property
    def repeatable(self) -> bool:
        """Say whether a request may be sent again after it may have run."""
        return self.repeatability is Repeatability.idempotent


@dataclasses.dataclass(frozen=True)
class Engine:
    """Describe the model engines of a service."""

    slots: int
    cache_tokens: int
    # What a cached token takes on the links between engines; 0 where engines
    # fetch nothing from one another.
    token_bytes: int = 0
    link_mbps: float = 0


@dataclasses.dataclass(frozen=True)
class Scaling:
    """Bound how many upstreams a service may have in one data centre."""

    least: int
    most: int
    boot_seconds: float


@dataclasses.dataclass(frozen=True)
class Service:
    """Name a set of equal upstreams."""

    name: str
    health_path: str
    max_connections: int
    engine: Engine | None = None
    scaling: Scaling | None = None


@dataclasses.dataclass(frozen=True)
class Organisation:
    """One customer, by the digests of its keys."""

    name: str
    key_digests: tuple[str, ...]
    # Goes before the rank of a route, if there is one.
    rank: int | None = None


@dataclasses.dataclass(frozen=True)
class CallerLimits:
    """Bound what callers may send and how long they may take."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@dataclasses.dataclass(frozen=True)
class Document:
    """The whole traffic configuration under one version."""

    version: int = 0
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    organisations: tuple[Organisation, ...] = ()
    limits: CallerLimits = CallerLimits()
    # What the operator sent, to be read back unchanged.
    source: str = ''


EMPTY = Document()


class UnreadableDocument(Exception):
    """A stored document can't be read by this version of the program."""


def encode(document: Document) -> bytes:
    """Return the document as the log and the watchers carry it."""
    plain = dataclasses.asdict(document)
    for route in plain['routes']:
        route['repeatability'] = route['repeatability'].value
    text = json.dumps(plain, separators=(',', ':'))
    return zlib.compress(text.encode(), COMPRESSION_LEVEL)


def decode(content: bytes) -> Document:
    """Return the document that `encode` wrote.

    Raises `UnreadableDocument`.
    """
    try:
        return _document(json.loads(zlib.decompress(content)))
    except UNREADABLE as error:
        raise UnreadableDocument(str(error)) from error


def _document(plain: dict[str, typing.Any]) -> Document:
    return Document(
        version=plain['version'],
        routes=tuple(_route(route) for route in plain['routes']),
        services=tuple(_service(service) for service in plain['services']),
        organisations=tuple(
            Organisation(
                name=known['name'],
                key_digests=tuple(known['key_digests']),
                rank=known['rank'],
            )
            for known in plain['organisations']
        ),
        limits=CallerLimits(**plain['limits']),
        source=plain['source'],
    )


def _route(plain: dict[str, typing.Any]) -> Route:
    shares = tuple(Share(**share) for share in plain.pop('shares'))
    repeatability = Repeatability(plain.pop('repeatability'))
    return Route(shares=shares, repeatability=repeatability, **plain)


def _service(plain: dict[str, typing.Any]) -> Service:
    engine = plain.pop('engine')
    scaling = plain.pop('scaling')
    return Service(
        engine=engine and Engine(**engine),
        scaling=scaling and Scaling(**scaling),
        **plain,
    )
