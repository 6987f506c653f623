"""Settings of processes that discover each other through seed members."""

import dataclasses
import pathlib
import typing

import pydantic

from cranberryrill import transport
from cranberryrill.settings import (
    quarantine_limits,
    request_limits,
    response_limits,
)

STRICT = pydantic.ConfigDict(extra='forbid')


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Time bounds and retry limits of the deployment."""

    __pydantic_config__ = STRICT

    revocation_ms: typing.Annotated[
        float,
        pydantic.Field(
            description='longest time until a withdrawn key is refused, ms',
            gt=0,
        ),
    ] = 5000
    drain_ms: typing.Annotated[
        float,
        pydantic.Field(
            description='longest time until a leaving upstream is unused, ms',
            gt=0,
        ),
    ] = 2000
    grace_seconds: typing.Annotated[
        float,
        pydantic.Field(
            description='longest time until a stopped process ends, seconds',
            gt=0,
        ),
    ] = 8
    retry_ratio: typing.Annotated[
        float,
        pydantic.Field(description='retries allowed per request', ge=0),
    ] = 0.2
    retry_slack: typing.Annotated[
        float,
        pydantic.Field(
            description='further retries per window, over all entries',
            ge=0,
        ),
    ] = 0
    retry_window_seconds: typing.Annotated[
        float,
        pydantic.Field(
            description='window of the retry budget, seconds',
            gt=0,
        ),
    ] = 10
    lease_ms: typing.Annotated[
        float,
        pydantic.Field(
            description='shortest time before a duty may move back, ms',
            gt=0,
        ),
    ] = 3000
    usage_window_seconds: typing.Annotated[
        float,
        pydantic.Field(description='length of a usage window, seconds', gt=0),
    ] = 5


@dataclasses.dataclass(frozen=True)
class ExternalPlatform:
    """Address of the platform and the duties towards it."""

    __pydantic_config__ = STRICT

    address: typing.Annotated[
        str,
        pydantic.Field(description='host:port'),
    ]
    duties: typing.Annotated[
        tuple[str, ...],
        pydantic.Field(
            description='what is done for it, such as usage_reporting'
        ),
    ] = ()


@dataclasses.dataclass(frozen=True)
class FleetSettings:
    """Settings of a process that discovers the others through seeds."""

    __pydantic_config__ = STRICT

    name: typing.Annotated[
        str,
        pydantic.Field(description='unique name of this process'),
    ]
    host: typing.Annotated[
        str,
        pydantic.Field(description='IP address of this VM'),
    ]
    data_centre: typing.Annotated[
        str,
        pydantic.Field(description='data centre where this process runs'),
    ]
    internal_ports: typing.Annotated[
        tuple[int, int],
        pydantic.Field(description='first and last port for other processes'),
    ]
    seeds: typing.Annotated[
        tuple[str, ...],
        pydantic.Field(description='host:port of control members'),
    ]
    trust: typing.Annotated[
        str,
        pydantic.Field(
            description='network: all that reach the ports are trusted',
            pattern='^network$',
        ),
    ]
    bind_host: typing.Annotated[
        str | None,
        pydantic.Field(description='host of the internal ports, if not `host`'),
    ] = None
    founds: typing.Annotated[
        bool,
        pydantic.Field(
            description='whether the seeds found a new control group',
        ),
    ] = False
    data_folder: typing.Annotated[
        pathlib.Path | None,
        pydantic.Field(description='folder for log, ballot and snapshots'),
    ] = None
    callers: typing.Annotated[
        str | None,
        pydantic.Field(description='host:port for requests of callers'),
    ] = None
    readiness: typing.Annotated[
        str | None,
        pydantic.Field(description='host:port for readiness checks'),
    ] = None
    control: typing.Annotated[
        str | None,
        pydantic.Field(description='host:port for operators and upstreams'),
    ] = None
    tolerated_losses: typing.Annotated[
        int,
        pydantic.Field(
            description='control members that may fail at once',
            ge=0,
        ),
    ] = 1
    heartbeat_ms: typing.Annotated[
        float,
        pydantic.Field(
            description='time between heartbeats of an upstream, milliseconds',
            gt=0,
        ),
    ] = 1200
    bounds: Bounds = Bounds()
    requests: request_limits.RequestLimits = request_limits.RequestLimits()
    responses: response_limits.ResponseLimits = response_limits.ResponseLimits()
    quarantine: quarantine_limits.QuarantineLimits = (
        quarantine_limits.QuarantineLimits()
    )
    regions: typing.Annotated[
        dict[str, str],
        pydantic.Field(description='region of each data centre, by name'),
    ] = dataclasses.field(default_factory=dict)
    predicted_times: typing.Annotated[
        bool,
        pydantic.Field(
            description='whether upstreams are compared by predicted times',
        ),
    ] = False
    outside: ExternalPlatform | None = None
    log_level: typing.Annotated[
        str,
        pydantic.Field(
            description='lowest severity that is logged',
            pattern='^(debug|info|warning|error)$',
        ),
    ] = 'info'
    metrics_port: typing.Annotated[
        int,
        pydantic.Field(description='port of the metrics page; 0: none', ge=0),
    ] = 0

    @property
    def internal_host(self) -> str:
        """Host at which the internal ports listen."""
        return self.bind_host or self.host

    @property
    def control_port(self) -> int:
        """Internal port at which control members serve other processes."""
        return self.internal_ports[0]

    @property
    def seed_hosts(self) -> tuple[str, ...]:
        """Hosts of the control members in `seeds`."""
        return tuple(parse_address(seed).host for seed in self.seeds)


def parse_address(text: str) -> transport.Address:
    """Return the address in the form `host:port`.

    Raises `ValueError` when the port is not a number.
    """
    host, _, port = text.rpartition(':')
    return transport.Address(host, int(port))
