"""Connections and listeners: gRPC with or without mutual TLS, and HTTP."""

import asyncio
import dataclasses
import logging
import pathlib
import ssl
import weakref
from collections import abc
import typing

import pydantic
from grpclib import (
    client,
    config,
    const,
    events,
    exceptions,
    protocol,
    server,
)
from tornado import httpserver

from cranberryrill.certificates import roles

LOGGER = logging.getLogger(__name__)
MAX_PORT = 65535
CONNECTION_BACKLOG = 512
ALPN_PROTOCOLS = ('h2',)
# Exceptions of a call when the other process or the connection has failed.
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
    """Host and port at which a process listens."""

    host: typing.Annotated[str, pydantic.Field(description='IP address')]
    port: typing.Annotated[
        int,
        pydantic.Field(description='TCP port', ge=0, le=MAX_PORT),
    ]


@dataclasses.dataclass(frozen=True)
class TlsSettings:
    """Files for mutual TLS between this process and its peers."""

    authority: typing.Annotated[
        pathlib.Path,
        pydantic.Field(description='PEM file of the trusted authority'),
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
    """A TLS file has no valid certificate or key, or they don't match."""

    def __init__(self, paths: abc.Iterable[pathlib.Path], cause: str) -> None:
        names = ', '.join(str(path) for path in paths)
        super().__init__(f'TLS files {names} cannot be used: {cause}')


def server_context(tls: TlsSettings) -> ssl.SSLContext:
    """Return a server context that requires a certificate of each peer.

    Replaced files are loaded at the next handshake.
    """
    context = _server_context(tls)
    context.sni_callback = CertificateReloader(tls, context).select_context
    return context


def client_context(tls: TlsSettings) -> ssl.SSLContext:
    """Return a client context for mutual TLS."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    return _configure_mutual_tls(context, tls)


def _server_context(tls: TlsSettings) -> ssl.SSLContext:
    return _configure_mutual_tls(ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER), tls)


def _configure_mutual_tls(
    context: ssl.SSLContext, tls: TlsSettings
) -> ssl.SSLContext:
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    _load_certificate(context, tls.certificate, tls.key)
    try:
        context.load_verify_locations(tls.authority)
    except ssl.SSLError as error:
        raise TlsFilesUnusable([tls.authority], str(error)) from error
    context.verify_mode = ssl.CERT_REQUIRED
    context.set_alpn_protocols(list(ALPN_PROTOCOLS))
    return context


class CertificateReloader:
    """Reload a server's TLS files when one of them was replaced."""

    def __init__(self, tls: TlsSettings, context: ssl.SSLContext) -> None:
        self.tls = tls
        self.context = context
        self.modified_ns = modification_times(tls)

    def select_context(
        self,
        handshake: ssl.SSLObject,
        server_name: str,
        context: ssl.SSLContext,
    ) -> None:
        """Select the newest valid files for a handshake, as SNI callback.

        If the current files can't be loaded, log it and use the previous ones.
        """
        try:
            modified_ns = modification_times(self.tls)
            if modified_ns != self.modified_ns:
                self.context = _server_context(self.tls)
                self.modified_ns = modified_ns
        except OSError as error:
            LOGGER.warning(
                'certificate not renewed',
                extra={'cause': str(error)},
            )
        handshake.context = self.context


def modification_times(tls: TlsSettings) -> tuple[int, ...]:
    """Return the modification time of each TLS file, in nanoseconds.

    Raises `OSError` when a file is missing.
    """
    paths = (tls.authority, tls.certificate, tls.key)
    return tuple(path.stat().st_mtime_ns for path in paths)


def public_server_context(
    certificate: pathlib.Path,
    key: pathlib.Path,
) -> ssl.SSLContext:
    """Return a server context that requires no client certificate."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    _load_certificate(context, certificate, key)
    return context


def _load_certificate(
    context: ssl.SSLContext,
    certificate: pathlib.Path,
    key: pathlib.Path,
) -> None:
    for path in (certificate, key):
        # Names a missing file in the error, which the ssl module doesn't do.
        path.stat()
    try:
        context.load_cert_chain(certificate, key)
    except ssl.SSLError as error:
        raise TlsFilesUnusable([certificate, key], str(error)) from error


class Servable(typing.Protocol):
    """Handler of the calls of one gRPC service, as grpclib requires."""

    def __mapping__(self) -> abc.Mapping[str, const.Handler]:
        """Return the handler of each method by its path."""


class Dialer:
    """Factory of gRPC channels to other processes of the system.

    Without TLS, every process that can reach this one's network is trusted;
    the settings have to choose this explicitly.
    """

    def __init__(self, tls: TlsSettings | None) -> None:
        self.tls = tls
        self.modified_ns: tuple[int, ...] = ()
        self.contexts: dict[bool, ssl.SSLContext] = {}
        if tls is not None:
            self.modified_ns = modification_times(tls)
            self.contexts = _client_contexts(tls)

    def dial(
        self,
        address: Address,
        role: roles.Role | None = None,
    ) -> client.Channel:
        """Return a new channel that connects on first use.

        With TLS and a `role`, the peer's certificate must be for that role.
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
            modified_ns = modification_times(tls)
            if modified_ns != self.modified_ns:
                self.contexts = _client_contexts(tls)
                self.modified_ns = modified_ns
        except OSError as error:
            LOGGER.warning(
                'certificate not renewed',
                extra={'cause': str(error)},
            )
        return self.contexts[checks_name]


def _client_contexts(tls: TlsSettings) -> dict[bool, ssl.SSLContext]:
    """Return client contexts, keyed by whether they check the peer's name."""
    any_name = client_context(tls)
    any_name.check_hostname = False
    return {True: client_context(tls), False: any_name}


async def _check_role(event: events.RecvRequest) -> None:
    """Reject a call of a method that the peer's roles may not call."""
    peer_roles = roles.roles_of(event.peer.cert())
    if roles.may_call(peer_roles, event.method_name):
        return
    LOGGER.warning(
        'call refused',
        extra={
            'method': event.method_name,
            'roles': sorted(role.value for role in peer_roles),
        },
    )
    raise exceptions.GRPCError(
        const.Status.PERMISSION_DENIED,
        'the role may not call this method',
    )


class AddressUnusable(OSError):
    """The process can't listen at an address."""

    def __init__(self, address: Address, cause: OSError) -> None:
        host_port = f'{address.host}:{address.port}'
        super().__init__(f'{host_port}: {cause.strerror or cause}')


def listen_http(http_server: httpserver.HTTPServer, address: Address) -> None:
    """Start listening for HTTP requests at `address`.

    Raises `AddressUnusable`.
    """
    try:
        http_server.listen(address.port, address.host)
    except OSError as error:
        raise AddressUnusable(address, error) from error


class GrpcServer(server.Server):
    """gRPC server that also closes its connections when it is closed.

    grpclib leaves them open, with their handlers. While the process lives,
    peers would go on to call the handlers of a server that has ended.
    """

    def __init__(self, handlers: abc.Collection[Servable]) -> None:
        super().__init__(handlers)
        self.accepted: weakref.WeakSet[protocol.H2Protocol] = weakref.WeakSet()

    def close(self) -> None:
        """Stop listening, cancel the open calls and close all connections."""
        super().close()
        # A connection accepted just now is set up in a callback scheduled
        # before this one.
        asyncio.get_running_loop().call_soon(self._close_connections)

    def _close_connections(self) -> None:
        for connection in list(self.accepted):
            # It has none before the end of a TLS handshake.
            processor = getattr(connection, 'processor', None)
            if processor is not None:
                processor.close('the server has ended')

    def _protocol_factory(self) -> protocol.H2Protocol:
        connection = super()._protocol_factory()
        self.accepted.add(connection)
        return connection


async def listen(
    handlers: abc.Collection[Servable],
    address: Address,
    tls: TlsSettings | None,
) -> GrpcServer:
    """Start a gRPC server of `handlers` at `address`.

    With TLS, each method may be called only by the roles that need it. Raises
    `AddressUnusable`.
    """
    grpc_server = GrpcServer(handlers)
    context = None
    if tls is not None:
        events.listen(grpc_server, events.RecvRequest, _check_role)
        context = server_context(tls)
    try:
        await grpc_server.start(
            address.host,
            address.port,
            ssl=context,
            backlog=CONNECTION_BACKLOG,
        )
    except OSError as error:
        raise AddressUnusable(address, error) from error
    return grpc_server
