"""Names of the metrics, and the client that sends them to statsd."""

import dataclasses
import enum
import typing

import pydantic
import statsd


MAX_PORT = 65535


@dataclasses.dataclass(frozen=True)
class MetricsSettings:
    """Address of the statsd server, and the prefix of metric names."""

    host: typing.Annotated[
        str,
        pydantic.Field(
            description='statsd host; if empty, no metrics are sent'
        ),
    ] = ''
    port: typing.Annotated[
        int,
        pydantic.Field(description='statsd UDP port', gt=0, le=MAX_PORT),
    ] = 8125
    prefix: typing.Annotated[
        str,
        pydantic.Field(description='prefix of each metric name'),
    ] = 'cranberryrill'


class Kind(enum.Enum):
    """The statsd type of a metric."""

    counter = 'counter'
    gauge = 'gauge'
    timer = 'timer'


@dataclasses.dataclass(frozen=True)
class Definition:
    """A metric as the operators' documentation lists it."""

    name: str
    kind: Kind
    description: str


PROOF_AGE = 'age of the newest proof that the configuration is current'
DEFINITIONS = (
    Definition(
        'entry.requests.<status>',
        Kind.counter,
        'requests answered with this HTTP status',
    ),
    Definition(
        'entry.callers_left',
        Kind.counter,
        'requests whose caller disconnected before the answer was complete',
    ),
    Definition(
        'entry.request_ms',
        Kind.timer,
        "milliseconds from a request's headers to the end of its answer",
    ),
    Definition('entry.open_requests', Kind.gauge, 'requests in progress'),
    Definition(
        'entry.serving', Kind.gauge, '1 while the entry may serve, else 0'
    ),
    Definition('entry.proof_age_ms', Kind.gauge, PROOF_AGE),
    Definition('entry.revision', Kind.gauge, 'configuration revision in force'),
    Definition('entry.agents', Kind.gauge, 'agents in the directory'),
    Definition(
        'agent.running', Kind.gauge, 'requests that run at the upstream'
    ),
    Definition('agent.waiting', Kind.gauge, 'requests in the queue'),
    Definition(
        'agent.lowest_waiting_tier',
        Kind.gauge,
        'lowest-priority tier with a queued request; 0 if none is queued',
    ),
    Definition('agent.proof_age_ms', Kind.gauge, PROOF_AGE),
    Definition('agent.revision', Kind.gauge, 'configuration revision in force'),
    Definition(
        'control.leading', Kind.gauge, '1 while the member is leader, else 0'
    ),
    Definition('control.proof_age_ms', Kind.gauge, PROOF_AGE),
    Definition(
        'control.revision', Kind.gauge, 'newest accepted configuration revision'
    ),
    Definition('control.term', Kind.gauge, 'current term'),
    Definition('control.pending', Kind.gauge, 'log entries not yet committed'),
    Definition(
        'control.processes',
        Kind.gauge,
        'entry and agent processes in the directory',
    ),
    Definition('control.commits', Kind.counter, 'log entries committed'),
    Definition('control.elections', Kind.counter, 'terms started'),
)


class Metrics(typing.Protocol):
    """Sink for counters, gauges and timings, as in the statsd client."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Add `count` to a counter."""

    def gauge(self, stat: str, value: float) -> None:
        """Set a gauge."""

    def timing(self, stat: str, delta: float) -> None:
        """Record a duration in milliseconds."""


class NullMetrics:
    """Sink that discards every metric, used when no statsd host is set."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Discard the count."""

    def gauge(self, stat: str, value: float) -> None:
        """Discard the value."""

    def timing(self, stat: str, delta: float) -> None:
        """Discard the duration."""


def connect(settings: MetricsSettings) -> Metrics:
    """Return a client of the statsd server, or one that discards all."""
    if not settings.host:
        return NullMetrics()
    client: Metrics = statsd.StatsClient(
        host=settings.host,
        port=settings.port,
        prefix=settings.prefix,
    )
    return client
