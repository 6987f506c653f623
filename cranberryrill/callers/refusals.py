"""Failures with which an entry refuses a request before delivery."""

import dataclasses
import http
import typing

from cranberryrill import failures


@dataclasses.dataclass(frozen=True)
class Stopping(failures.Failure):
    """This process is about to stop and accepts no new requests."""

    code: typing.ClassVar[str] = 'stopping'
    status: typing.ClassVar[int] = http.HTTPStatus.SERVICE_UNAVAILABLE


@dataclasses.dataclass(frozen=True)
class KeyExposed(failures.Failure):
    """A key is in a part of the request that an upstream would receive."""

    code: typing.ClassVar[str] = 'key_exposed'
    status: typing.ClassVar[int] = http.HTTPStatus.BAD_REQUEST


@dataclasses.dataclass(frozen=True)
class BodyTooLarge(failures.Failure):
    """The body is over the size limit of this entry."""

    code: typing.ClassVar[str] = 'body_too_large'
    status: typing.ClassVar[int] = http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE


@dataclasses.dataclass(frozen=True)
class BodyTooSlow(failures.Failure):
    """The body did not arrive in time."""

    code: typing.ClassVar[str] = 'body_too_slow'
    status: typing.ClassVar[int] = http.HTTPStatus.REQUEST_TIMEOUT


@dataclasses.dataclass(frozen=True)
class MethodNotAllowed(failures.Failure):
    """Requests with this method are not forwarded."""

    code: typing.ClassVar[str] = 'method_not_allowed'
    status: typing.ClassVar[int] = http.HTTPStatus.METHOD_NOT_ALLOWED
