"""Connect the system's own processes: grpclib over mutual TLS."""

import asyncio
import dataclasses
import logging
import pathlib
import ssl
from collections import abc
import typing

import pydantic
from grpclib import client, config, const, events, exceptions, server
from tornado import httpserver

from cranberryrill.certificates import roles

LOGGER = logging.getLogger(__name__)
MAX_PORT = 65535
BACKLOG = 512
ALPN = ('h2',)
# What a call to another process may raise when that process or the way to it
# has failed.
CALL_ERRORS = (
    exceptions.GRPCError,
    exceptions.StreamTerminatedError,
    exceptions.ProtocolError,
    OSError,
    asyncio.TimeoutError,
    ssl.SSLError,
)


@dataclasses.dataclass(frozen=True)
class Address:
    """Name where a process listens."""

    host: typing.Annotated[str, pydantic.Field(description='IP number')]
    port: typing.Annotated[
        int,
        pydantic.Field(description='TCP port', ge=0, le=MAX_PORT),
    ]


@dataclasses.dataclass(frozen=True)
class TlsSettings:
    """Name the files that prove this process to its peers."""

    authority: typing.Annotated[
        pathlib.Path,
        pydantic.Field(description='PEM file of the authority to trust'),
    ]
    certificate: typing.Annotated[
        pathlib.Path,
        pydantic.Field(description="PEM file of this process's certificate"),
    ]
    key: typing.Annotated[
        pathlib.Path,
        pydantic.Field(description="PEM file of this process's private key"),
    ]


class TlsFilesUnusable(OSError):
    """The files that should prove a process hold something else."""

    def __init__(self, paths: abc.Iterable[pathlib.Path], cause: str) -> None:
        named = ', '.join(str(path) for path in paths)
        super().__init__(f'TLS files {named} can not be used: {cause}')


def server_context(tls: TlsSettings) -> ssl.SSLContext:
    """Return a context that asks each peer for its certificate.

    Files that were replaced are read again at the next handshake.
    """
    context = _server_context(tls)
    context.sni_callback = CertificateReloader(tls, context).renew
    return context


def client_context(tls: TlsSettings) -> ssl.SSLContext:
    """Return a context that proves this process and checks the peer."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    return _trusting(context, tls)


def _server_context(tls: TlsSettings) -> ssl.SSLContext:
    return _trusting(ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER), tls)


def _trusting(context: ssl.SSLContext, tls: TlsSettings) -> ssl.SSLContext:
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    _prove(context, tls.certificate, tls.key)
    try:
        context.load_verify_locations(tls.authority)
    except ssl.SSLError as error:
        raise TlsFilesUnusable([tls.authority], str(error)) from error
    context.verify_mode = ssl.CERT_REQUIRED
    context.set_alpn_protocols(list(ALPN))
    return context


class CertificateReloader:
    """Read a server's certificate again when its files were replaced."""

    def __init__(self, tls: TlsSettings, context: ssl.SSLContext) -> None:
        self.tls = tls
        self.context = context
        self.stamp = modification_times(tls)

    def renew(
        self,
        handshake: ssl.SSLObject,
        server_name: str,
        context: ssl.SSLContext,
    ) -> None:
        """Give this handshake the newest certificate that can be read."""
        try:
            stamp = modification_times(self.tls)
            if stamp != self.stamp:
                self.context = _server_context(self.tls)
                self.stamp = stamp
        except OSError as error:
            LOGGER.warning(
                'certificate not renewed',
                extra={'cause': str(error)},
            )
        handshake.context = self.context


def modification_times(tls: TlsSettings) -> tuple[int, ...]:
    """Return what changes when a file is replaced.

    Raises `OSError` when a file is missing.
    """
    paths = (tls.authority, tls.certificate, tls.key)
    return tuple(path.stat().st_mtime_ns for path in paths)


def public_server_context(
    certificate: pathlib.Path,
    key: pathlib.Path,
) -> ssl.SSLContext:
    """Return a context that proves this process and asks for no proof."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    _prove(context, certificate, key)
    return context


def _prove(
    context: ssl.SSLContext,
    certificate: pathlib.Path,
    key: pathlib.Path,
) -> None:
    for path in (certificate, key):
        # The library's own error would not name the file.
        path.stat()
    try:
        context.load_cert_chain(certificate, key)
    except ssl.SSLError as error:
        raise TlsFilesUnusable([certificate, key], str(error)) from error


class Servable(typing.Protocol):
    """Answer the calls of one generated service."""

    def __mapping__(self) -> abc.Mapping[str, const.Handler]:
        """Return the handler of each method."""


class Dialer:
    """Open channels to other processes of the system.

    Without TLS every process that can reach this one's network is trusted;
    the settings say so explicitly.
    """

    def __init__(self, tls: TlsSettings | None) -> None:
        self.tls = tls
        self.stamp: tuple[int, ...] = ()
        self.contexts: dict[bool, ssl.SSLContext] = {}
        if tls is not None:
            self.stamp = modification_times(tls)
            self.contexts = _client_contexts(tls)

    def dial(
        self,
        address: Address,
        role: roles.Role | None = None,
    ) -> client.Channel:
        """Return a new channel; it connects on first use.

        Only a process of `role` is spoken to, when one is given.
        """
        if self.tls is None:
            return client.Channel(address.host, address.port)
        name = None if role is None else roles.dns_name(role)
        return client.Channel(
            address.host,
            address.port,
            ssl=self._context(self.tls, checks_name=name is not None),
            config=config.Configuration(ssl_target_name_override=name),
        )

    def _context(self, tls: TlsSettings, checks_name: bool) -> ssl.SSLContext:
        try:
            stamp = modification_times(tls)
            if stamp != self.stamp:
                self.contexts = _client_contexts(tls)
                self.stamp = stamp
        except OSError as error:
            LOGGER.warning(
                'certificate not renewed',
                extra={'cause': str(error)},
            )
        return self.contexts[checks_name]


def _client_contexts(tls: TlsSettings) -> dict[bool, ssl.SSLContext]:
    """Return a context for each answer to whether the name is checked."""
    unnamed = client_context(tls)
    unnamed.check_hostname = False
    return {True: client_context(tls), False: unnamed}


async def _refuse_strangers(event: events.RecvRequest) -> None:
    """Refuse a call that the caller's role does not need."""
    known = roles.roles_of(event.peer.cert())
    if roles.may_call(known, event.method_name):
        return
    LOGGER.warning(
        'call refused',
        extra={
            'method': event.method_name,
            'roles': sorted(role.value for role in known),
        },
    )
    raise exceptions.GRPCError(
        const.Status.PERMISSION_DENIED,
        'the role may not call this method',
    )


class AddressUnusable(OSError):
    """An address can't be listened at."""

    def __init__(self, address: Address, cause: OSError) -> None:
        place = f'{address.host}:{address.port}'
        super().__init__(f'{place}: {cause.strerror or cause}')


def listen_http(listening: httpserver.HTTPServer, address: Address) -> None:
    """Let an HTTP server listen at `address`.

    Raises `AddressUnusable`.
    """
    try:
        listening.listen(address.port, address.host)
    except OSError as error:
        raise AddressUnusable(address, error) from error


async def listen(
    handlers: abc.Collection[Servable],
    address: Address,
    tls: TlsSettings | None,
) -> server.Server:
    """Serve `handlers` at `address`, each method to the roles it is for."""
    listening = server.Server(handlers)
    context = None
    if tls is not None:
        events.listen(listening, events.RecvRequest, _refuse_strangers)
        context = server_context(tls)
    try:
        await listening.start(
            address.host,
            address.port,
            ssl=context,
            backlog=BACKLOG,
        )
    except OSError as error:
        raise AddressUnusable(address, error) from error
    return listening
