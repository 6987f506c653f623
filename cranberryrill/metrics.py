"""Send metrics to a statsd server, or nowhere when none is set."""

import dataclasses
import enum
import typing

import pydantic
import statsd


MAX_PORT = 65535


@dataclasses.dataclass(frozen=True)
class MetricsSettings:
    """Name the statsd server that takes this process's metrics."""

    host: typing.Annotated[
        str,
        pydantic.Field(description='statsd host; empty sends none'),
    ] = ''
    port: typing.Annotated[
        int,
        pydantic.Field(description='statsd UDP port', gt=0, le=MAX_PORT),
    ] = 8125
    prefix: typing.Annotated[
        str,
        pydantic.Field(description='put before each name'),
    ] = 'cranberryrill'


class Kind(enum.Enum):
    """Say how a statsd server treats a metric."""

    counter = 'counter'
    gauge = 'gauge'
    timer = 'timer'


@dataclasses.dataclass(frozen=True)
class Definition:
    """Describe a metric for those who watch it."""

    name: str
    kind: Kind
    description: str


PROOF_AGE = 'age of the newest proof that its configuration is current'
DEFINITIONS = (
    Definition(
        'entry.requests.<status>',
        Kind.counter,
        'requests answered with this HTTP status',
    ),
    Definition(
        'entry.callers_left',
        Kind.counter,
        'requests whose caller left before the whole answer',
    ),
    Definition(
        'entry.request_ms',
        Kind.timer,
        "milliseconds from a request's head to the end of its answer",
    ),
    Definition('entry.open_requests', Kind.gauge, 'requests being answered'),
    Definition('entry.serving', Kind.gauge, '1 while it may serve, else 0'),
    Definition('entry.proof_age_ms', Kind.gauge, PROOF_AGE),
    Definition('entry.revision', Kind.gauge, 'revision in force'),
    Definition('entry.agents', Kind.gauge, 'agents that it knows of'),
    Definition('agent.running', Kind.gauge, 'requests at the upstream'),
    Definition('agent.waiting', Kind.gauge, 'requests in the queue'),
    Definition(
        'agent.lowest_waiting_tier',
        Kind.gauge,
        'lowest-priority tier that waits; 0 when none does',
    ),
    Definition('agent.proof_age_ms', Kind.gauge, PROOF_AGE),
    Definition('agent.revision', Kind.gauge, 'revision in force'),
    Definition('control.leading', Kind.gauge, '1 while it leads, else 0'),
    Definition('control.proof_age_ms', Kind.gauge, PROOF_AGE),
    Definition('control.revision', Kind.gauge, 'revision accepted'),
    Definition('control.term', Kind.gauge, "number of the leader's term"),
    Definition('control.pending', Kind.gauge, 'entries not yet committed'),
    Definition('control.processes', Kind.gauge, 'entries and agents known'),
    Definition('control.commits', Kind.counter, 'log entries committed'),
    Definition('control.elections', Kind.counter, 'terms begun'),
)


class Metrics(typing.Protocol):
    """Take counts, levels and durations."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Add `count` to a counter."""

    def gauge(self, stat: str, value: float) -> None:
        """Set a level."""

    def timing(self, stat: str, delta: float) -> None:
        """Record a duration in milliseconds."""


class NullMetrics:
    """Drop every metric."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Drop the count."""

    def gauge(self, stat: str, value: float) -> None:
        """Drop the level."""

    def timing(self, stat: str, delta: float) -> None:
        """Drop the duration."""


def connect(settings: MetricsSettings) -> Metrics:
    """Return a client for the server that `settings` name."""
    if not settings.host:
        return NullMetrics()
    client: Metrics = statsd.StatsClient(
        host=settings.host,
        port=settings.port,
        prefix=settings.prefix,
    )
    return client
