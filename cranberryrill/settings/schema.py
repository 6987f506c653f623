"""Data classes of the settings of each role, with defaults and units."""

import dataclasses
import ipaddress
import pathlib
import typing

import pydantic
import pydantic_core

from cranberryrill import metrics, transport
from cranberryrill.settings import response_limits

STRICT = pydantic.ConfigDict(extra='forbid')
MEBIBYTE = 1024 * 1024


@dataclasses.dataclass(frozen=True)
class ProcessSettings:
    """Settings of a process that every role has."""

    __pydantic_config__ = STRICT

    name: typing.Annotated[
        str,
        pydantic.Field(description='unique name of this process'),
    ]
    data_centre: typing.Annotated[
        str,
        pydantic.Field(description='data centre where this process runs'),
    ]
    listen: typing.Annotated[
        transport.Address,
        pydantic.Field(
            description='address where this process listens for peers'
        ),
    ]
    tls: transport.TlsSettings
    advertise: typing.Annotated[
        transport.Address | None,
        pydantic.Field(
            description='address that peers use, if not `listen`',
        ),
    ] = None
    log_level: typing.Annotated[
        str,
        pydantic.Field(
            description='lowest severity that is logged',
            pattern='^(debug|info|warning|error)$',
        ),
    ] = 'info'
    statsd: metrics.MetricsSettings = metrics.MetricsSettings()
    trace: typing.Annotated[
        bool,
        pydantic.Field(description='whether spans are written to the log'),
    ] = True


@dataclasses.dataclass(frozen=True)
class Peer:
    """Name and address of a control member."""

    name: typing.Annotated[str, pydantic.Field(description="member's name")]
    address: transport.Address


@dataclasses.dataclass(frozen=True)
class PlatformSettings:
    """Connection to the platform that takes orders and usage reports."""

    __pydantic_config__ = STRICT

    base_url: typing.Annotated[
        str,
        pydantic.Field(
            description='URL of the platform',
            pattern='^https?://',
        ),
    ]
    window_seconds: typing.Annotated[
        float,
        pydantic.Field(description='length of a usage window, seconds', gt=0),
    ] = 3600
    start_up_seconds: typing.Annotated[
        float,
        pydantic.Field(
            description='time within which an ordered upstream starts, seconds',
            gt=0,
        ),
    ] = 120


@dataclasses.dataclass(frozen=True)
class AdministrationTls:
    """TLS files of the administration API."""

    __pydantic_config__ = STRICT

    certificate: typing.Annotated[
        pathlib.Path,
        pydantic.Field(description='PEM certificate for the IP address'),
    ]
    key: typing.Annotated[
        pathlib.Path,
        pydantic.Field(description='PEM file of the private key'),
    ]


@dataclasses.dataclass(frozen=True)
class ControlSettings:
    """Settings of a control member."""

    __pydantic_config__ = STRICT

    process: ProcessSettings
    administration: typing.Annotated[
        transport.Address,
        pydantic.Field(description='address of the administration API'),
    ]
    administration_token_sha256: typing.Annotated[
        str,
        pydantic.Field(
            description="hex SHA-256 of the operators' bearer token",
            pattern='^[0-9a-f]{64}$',
        ),
    ]
    members: typing.Annotated[
        tuple[Peer, ...],
        pydantic.Field(
            description='all control members, this one included', min_length=1
        ),
    ]
    data_folder: typing.Annotated[
        pathlib.Path,
        pydantic.Field(description='folder for log, ballot and snapshots'),
    ]
    snapshot_entries: typing.Annotated[
        int,
        pydantic.Field(description='log entries between two snapshots', gt=0),
    ] = 4096
    snapshot_tail_entries: typing.Annotated[
        int,
        pydantic.Field(
            description='log entries kept before a snapshot for followers',
            ge=0,
        ),
    ] = 1024
    platform: typing.Annotated[
        PlatformSettings | None,
        pydantic.Field(
            description='platform for orders and reports; none: not sent'
        ),
    ] = None
    administration_tls: typing.Annotated[
        AdministrationTls | None,
        pydantic.Field(
            description='required unless the API listens on loopback'
        ),
    ] = None

    @pydantic.model_validator(mode='after')
    def check_administration(self) -> typing.Self:
        """Require TLS unless the administration API listens on loopback.

        Without TLS the operators' token would cross the network in clear.
        """
        if self.administration_tls is None:
            if not _is_loopback(self.administration.host):
                raise pydantic_core.PydanticCustomError(
                    'plain_administration',
                    'administration_tls is required: not a loopback address',
                )
        return self


@dataclasses.dataclass(frozen=True)
class EntrySettings:
    """Settings of an entry."""

    __pydantic_config__ = STRICT

    process: ProcessSettings
    control: typing.Annotated[
        tuple[transport.Address, ...],
        pydantic.Field(
            description='addresses of the control members', min_length=1
        ),
    ]
    callers: typing.Annotated[
        transport.Address,
        pydantic.Field(description='address for requests of callers'),
    ]
    max_body_bytes: typing.Annotated[
        int,
        pydantic.Field(description='largest request body, bytes', gt=0),
    ] = 4 * MEBIBYTE
    routing: typing.Annotated[
        str,
        pydantic.Field(
            description='how agents are chosen; least-loaded: for comparison',
            pattern='^(predicted|least-loaded)$',
        ),
    ] = 'predicted'
    body_timeout_seconds: typing.Annotated[
        float,
        pydantic.Field(
            description='time within which a request body must arrive, seconds',
            gt=0,
        ),
    ] = 30
    drain_delay_seconds: typing.Annotated[
        float,
        pydantic.Field(
            description='time a stopping entry serves while unready, seconds',
            ge=0,
        ),
    ] = 10


@dataclasses.dataclass(frozen=True)
class UpstreamSettings:
    """Settings of the upstream that an agent forwards requests to."""

    base_url: typing.Annotated[
        str,
        pydantic.Field(
            description='URL of the upstream',
            pattern='^https?://',
        ),
    ]
    target: typing.Annotated[
        str,
        pydantic.Field(description='model or service that the upstream runs'),
    ]
    is_model: typing.Annotated[
        bool,
        pydantic.Field(
            description='true for a model, false for a plain service'
        ),
    ] = True
    slots: typing.Annotated[
        int,
        pydantic.Field(
            description='requests that the upstream runs at once', gt=0
        ),
    ] = 8
    price_micros_per_hour: typing.Annotated[
        int,
        pydantic.Field(description='price per hour, in millionths', ge=0),
    ] = 0
    checks_fencing: typing.Annotated[
        bool,
        pydantic.Field(description='whether it refuses old fencing numbers'),
    ] = False
    scheduling: typing.Annotated[
        str,
        pydantic.Field(
            description='order of the queue; first-come: for comparison',
            pattern='^(tiers|first-come)$',
        ),
    ] = 'tiers'
    responses: response_limits.ResponseLimits = response_limits.ResponseLimits()


@dataclasses.dataclass(frozen=True)
class AgentSettings:
    """Settings of an agent."""

    __pydantic_config__ = STRICT

    process: ProcessSettings
    control: typing.Annotated[
        tuple[transport.Address, ...],
        pydantic.Field(
            description='addresses of the control members', min_length=1
        ),
    ]
    upstream: UpstreamSettings


def _is_loopback(host: str) -> bool:
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return False
