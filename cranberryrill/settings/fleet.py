"""Define the settings of processes that find one another from seeds."""

import dataclasses
import pathlib
import typing

import pydantic

from cranberryrill import transport

STRICT = pydantic.ConfigDict(extra='forbid')


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Hold what the deployment promises; times as their names say."""

    __pydantic_config__ = STRICT

    revocation_ms: typing.Annotated[
        float,
        pydantic.Field(description='a withdrawn key stops within', gt=0),
    ] = 5000
    drain_ms: typing.Annotated[
        float,
        pydantic.Field(description='a leaving upstream is left within', gt=0),
    ] = 2000
    grace_seconds: typing.Annotated[
        float,
        pydantic.Field(description='a stopped process ends within', gt=0),
    ] = 8
    retry_ratio: typing.Annotated[
        float,
        pydantic.Field(description='repeats for each request', ge=0),
    ] = 0.2
    retry_slack: typing.Annotated[
        float,
        pydantic.Field(description='repeats on top, each window', ge=0),
    ] = 0
    retry_window_seconds: typing.Annotated[
        float,
        pydantic.Field(description='window of the retry budget', gt=0),
    ] = 10
    lease_ms: typing.Annotated[
        float,
        pydantic.Field(description='no duty changes back within', gt=0),
    ] = 3000
    usage_window_seconds: typing.Annotated[
        float,
        pydantic.Field(description='length of a usage window', gt=0),
    ] = 5


@dataclasses.dataclass(frozen=True)
class ExternalPlatform:
    """Name the platform that takes orders and usage reports."""

    __pydantic_config__ = STRICT

    address: typing.Annotated[
        str,
        pydantic.Field(description='host:port'),
    ]
    duties: typing.Annotated[
        tuple[str, ...],
        pydantic.Field(description='what is expected there'),
    ] = ()


@dataclasses.dataclass(frozen=True)
class FleetSettings:
    """Configure a process that finds the others from seeds."""

    __pydantic_config__ = STRICT

    name: typing.Annotated[
        str,
        pydantic.Field(description='unique name of this process'),
    ]
    host: typing.Annotated[
        str,
        pydantic.Field(description='IP number of this VM'),
    ]
    data_centre: typing.Annotated[
        str,
        pydantic.Field(description='where this process runs'),
    ]
    internal_ports: typing.Annotated[
        tuple[int, int],
        pydantic.Field(description='first and last port between processes'),
    ]
    seeds: typing.Annotated[
        tuple[str, ...],
        pydantic.Field(description='host:port of control members'),
    ]
    trust: typing.Annotated[
        str,
        pydantic.Field(
            description='network: whoever reaches the ports is trusted',
            pattern='^network$',
        ),
    ]
    bind_host: typing.Annotated[
        str | None,
        pydantic.Field(description='where internal ports listen, if not host'),
    ] = None
    founds: typing.Annotated[
        bool,
        pydantic.Field(description='the whole system starts for once'),
    ] = False
    data_folder: typing.Annotated[
        pathlib.Path | None,
        pydantic.Field(description='holds log, ballot and snapshots'),
    ] = None
    callers: typing.Annotated[
        str | None,
        pydantic.Field(description='host:port where callers are served'),
    ] = None
    readiness: typing.Annotated[
        str | None,
        pydantic.Field(description='host:port where the balancer asks'),
    ] = None
    control: typing.Annotated[
        str | None,
        pydantic.Field(description='host:port for operators and upstreams'),
    ] = None
    tolerated_losses: typing.Annotated[
        int,
        pydantic.Field(description='control members lost at once', ge=0),
    ] = 1
    heartbeat_ms: typing.Annotated[
        float,
        pydantic.Field(description="time between an upstream's beats", gt=0),
    ] = 1200
    bounds: Bounds = Bounds()
    outside: ExternalPlatform | None = None
    log_level: typing.Annotated[
        str,
        pydantic.Field(
            description='least severity logged',
            pattern='^(debug|info|warning|error)$',
        ),
    ] = 'info'
    metrics_port: typing.Annotated[
        int,
        pydantic.Field(description='port of the metrics page; 0: none', ge=0),
    ] = 0

    @property
    def internal_host(self) -> str:
        """Return where the ports between processes listen."""
        return self.bind_host or self.host

    @property
    def control_port(self) -> int:
        """Return the port at which control members serve the others."""
        return self.internal_ports[0]

    @property
    def seed_hosts(self) -> tuple[str, ...]:
        """Return the hosts of the control members that are named."""
        return tuple(parse_address(seed).host for seed in self.seeds)


def parse_address(text: str) -> transport.Address:
    """Return the address that `host:port` names."""
    host, _, port = text.rpartition(':')
    return transport.Address(host, int(port))
