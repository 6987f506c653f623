"""Define the failures that a caller may be told of.

Every failure has a type of its own, a stable code, an HTTP status, and says
whether the request ran at the upstream.
"""

import dataclasses
import enum
import http
import typing


class Ran(enum.Enum):
    """Say whether a request ran at an upstream."""

    no = 'no'
    yes = 'yes'
    unknown = 'unknown'


@dataclasses.dataclass(frozen=True)
class Failure:
    """Describe why a request was not answered as asked."""

    code: typing.ClassVar[str] = 'failure'
    status: typing.ClassVar[int] = http.HTTPStatus.INTERNAL_SERVER_ERROR

    message: str
    ran: Ran = Ran.no
    retry_after_seconds: float | None = None


@dataclasses.dataclass(frozen=True)
class MissingKey(Failure):
    """No bearer token came with the request."""

    code: typing.ClassVar[str] = 'missing_key'
    status: typing.ClassVar[int] = http.HTTPStatus.UNAUTHORIZED


@dataclasses.dataclass(frozen=True)
class InvalidKey(Failure):
    """The key is unknown or withdrawn."""

    code: typing.ClassVar[str] = 'invalid_key'
    status: typing.ClassVar[int] = http.HTTPStatus.UNAUTHORIZED


@dataclasses.dataclass(frozen=True)
class KeyWithdrawn(Failure):
    """The key was withdrawn while its request was open."""

    code: typing.ClassVar[str] = 'key_withdrawn'
    status: typing.ClassVar[int] = http.HTTPStatus.UNAUTHORIZED


@dataclasses.dataclass(frozen=True)
class MalformedRequest(Failure):
    """The body or a header can't be read as the format asks."""

    code: typing.ClassVar[str] = 'malformed_request'
    status: typing.ClassVar[int] = http.HTTPStatus.BAD_REQUEST


@dataclasses.dataclass(frozen=True)
class UnknownModel(Failure):
    """No configured model has this name."""

    code: typing.ClassVar[str] = 'unknown_model'
    status: typing.ClassVar[int] = http.HTTPStatus.NOT_FOUND


@dataclasses.dataclass(frozen=True)
class UnknownRoute(Failure):
    """No configured route covers this path."""

    code: typing.ClassVar[str] = 'unknown_route'
    status: typing.ClassVar[int] = http.HTTPStatus.NOT_FOUND


@dataclasses.dataclass(frozen=True)
class UnknownClass(Failure):
    """No configured request class has this name."""

    code: typing.ClassVar[str] = 'unknown_class'
    status: typing.ClassVar[int] = http.HTTPStatus.BAD_REQUEST


@dataclasses.dataclass(frozen=True)
class NotServing(Failure):
    """This process can't prove that its configuration is current."""

    code: typing.ClassVar[str] = 'not_serving'
    status: typing.ClassVar[int] = http.HTTPStatus.SERVICE_UNAVAILABLE


@dataclasses.dataclass(frozen=True)
class NoUpstream(Failure):
    """No upstream offers what the request needs."""

    code: typing.ClassVar[str] = 'no_upstream'
    status: typing.ClassVar[int] = http.HTTPStatus.SERVICE_UNAVAILABLE


@dataclasses.dataclass(frozen=True)
class Overloaded(Failure):
    """Every agent asked refused to queue the request."""

    code: typing.ClassVar[str] = 'overloaded'
    status: typing.ClassVar[int] = http.HTTPStatus.TOO_MANY_REQUESTS


@dataclasses.dataclass(frozen=True)
class AgentLeaving(Failure):
    """Every agent asked is about to stop and refused the request."""

    code: typing.ClassVar[str] = 'agent_leaving'
    status: typing.ClassVar[int] = http.HTTPStatus.SERVICE_UNAVAILABLE


@dataclasses.dataclass(frozen=True)
class AgentUnreachable(Failure):
    """No connection to the agent came about, so nothing was sent to it."""

    code: typing.ClassVar[str] = 'agent_unreachable'
    status: typing.ClassVar[int] = http.HTTPStatus.SERVICE_UNAVAILABLE


@dataclasses.dataclass(frozen=True)
class UpstreamFailed(Failure):
    """The upstream took the request and did not finish its answer."""

    code: typing.ClassVar[str] = 'upstream_failed'
    status: typing.ClassVar[int] = http.HTTPStatus.BAD_GATEWAY


@dataclasses.dataclass(frozen=True)
class OutcomeUnknown(Failure):
    """Contact was lost and nobody can say whether the request ran."""

    code: typing.ClassVar[str] = 'outcome_unknown'
    status: typing.ClassVar[int] = http.HTTPStatus.GATEWAY_TIMEOUT


@dataclasses.dataclass(frozen=True)
class NoPlace(Failure):
    """Every upstream that was asked is full, or no time was left to ask."""

    code: typing.ClassVar[str] = 'no_place'
    status: typing.ClassVar[int] = http.HTTPStatus.SERVICE_UNAVAILABLE


@dataclasses.dataclass(frozen=True)
class TimedOut(Failure):
    """The time for the request is over; whether it ran is not known."""

    code: typing.ClassVar[str] = 'timed_out'
    status: typing.ClassVar[int] = http.HTTPStatus.GATEWAY_TIMEOUT


@dataclasses.dataclass(frozen=True)
class ErrorBody:
    """Hold the published error shape, with `ran` and the request's id."""

    message: str
    type: str
    code: str
    ran: str
    request_id: str


def error_body(failure: Failure, request_id: str) -> dict[str, typing.Any]:
    """Return the published JSON error shape for `failure`."""
    body = ErrorBody(
        message=failure.message,
        type=type(failure).__name__,
        code=failure.code,
        ran=failure.ran.value,
        request_id=request_id,
    )
    return {'error': dataclasses.asdict(body)}
