"""Failures of claiming an idempotency key, as returned to the caller."""

import dataclasses
import http
import typing

from cranberryrill import failures


@dataclasses.dataclass(frozen=True)
class IdempotencyKeyReused(failures.Failure):
    """The idempotency key belongs to a request with other content."""

    code: typing.ClassVar[str] = 'idempotency_key_reused'
    status: typing.ClassVar[int] = http.HTTPStatus.UNPROCESSABLE_ENTITY


@dataclasses.dataclass(frozen=True)
class ClaimsFull(failures.Failure):
    """Too many idempotency keys are already claimed."""

    code: typing.ClassVar[str] = 'claims_full'
    status: typing.ClassVar[int] = http.HTTPStatus.TOO_MANY_REQUESTS


@dataclasses.dataclass(frozen=True)
class ClaimsUnavailable(failures.Failure):
    """The replicated log of claims can't be reached."""

    code: typing.ClassVar[str] = 'claims_unavailable'
    status: typing.ClassVar[int] = http.HTTPStatus.SERVICE_UNAVAILABLE
