"""Failures that the administration API returns to operators."""

import dataclasses
import http
import typing

from cranberryrill import failures


@dataclasses.dataclass(frozen=True)
class NotAuthorised(failures.Failure):
    """The operators' token is missing or wrong."""

    code: typing.ClassVar[str] = 'not_authorised'
    status: typing.ClassVar[int] = http.HTTPStatus.UNAUTHORIZED


@dataclasses.dataclass(frozen=True)
class InvalidConfiguration(failures.Failure):
    """The document has faults; the message lists each."""

    code: typing.ClassVar[str] = 'invalid_configuration'
    status: typing.ClassVar[int] = http.HTTPStatus.BAD_REQUEST


@dataclasses.dataclass(frozen=True)
class StaleRevision(failures.Failure):
    """The configuration of the base revision is not in force."""

    code: typing.ClassVar[str] = 'stale_revision'
    status: typing.ClassVar[int] = http.HTTPStatus.CONFLICT


@dataclasses.dataclass(frozen=True)
class ChangeIdReused(failures.Failure):
    """An earlier, different change has this change id."""

    code: typing.ClassVar[str] = 'change_id_reused'
    status: typing.ClassVar[int] = http.HTTPStatus.CONFLICT


@dataclasses.dataclass(frozen=True)
class UnknownOrganisation(failures.Failure):
    """The key's organisation is not configured."""

    code: typing.ClassVar[str] = 'unknown_organisation'
    status: typing.ClassVar[int] = http.HTTPStatus.NOT_FOUND


@dataclasses.dataclass(frozen=True)
class UnknownKey(failures.Failure):
    """No key has this name."""

    code: typing.ClassVar[str] = 'unknown_key'
    status: typing.ClassVar[int] = http.HTTPStatus.NOT_FOUND


@dataclasses.dataclass(frozen=True)
class UnknownWindow(failures.Failure):
    """No window of this number is stored."""

    code: typing.ClassVar[str] = 'unknown_window'
    status: typing.ClassVar[int] = http.HTTPStatus.NOT_FOUND


@dataclasses.dataclass(frozen=True)
class NotCurrent(failures.Failure):
    """This member can't prove that it has every accepted change."""

    code: typing.ClassVar[str] = 'not_current'
    status: typing.ClassVar[int] = http.HTTPStatus.SERVICE_UNAVAILABLE


@dataclasses.dataclass(frozen=True)
class KeyNameTaken(failures.Failure):
    """Another key has this name."""

    code: typing.ClassVar[str] = 'key_name_taken'
    status: typing.ClassVar[int] = http.HTTPStatus.CONFLICT


@dataclasses.dataclass(frozen=True)
class KeyDiffers(failures.Failure):
    """The key has another name or organisation, or was withdrawn.

    The operator has to issue a new key.
    """

    code: typing.ClassVar[str] = 'key_differs'
    status: typing.ClassVar[int] = http.HTTPStatus.CONFLICT


@dataclasses.dataclass(frozen=True)
class ChangeUnknown(failures.Failure):
    """The outcome is unknown: the change may have been accepted."""

    code: typing.ClassVar[str] = 'change_unknown'
    status: typing.ClassVar[int] = http.HTTPStatus.SERVICE_UNAVAILABLE
