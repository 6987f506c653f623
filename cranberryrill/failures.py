"""Failures that are reported to callers, and the JSON body of an error.

Each kind of failure has its own class, a stable code and an HTTP status. A
failure also states whether the request ran at an upstream.
"""

import dataclasses
import enum
import http
import typing


# Statuses that tell a caller that its request did not run and never will. The
# caller may then repeat even a request that may run only once.
NOT_RUN_STATUSES = frozenset(
    (
        http.HTTPStatus.REQUEST_TIMEOUT,
        http.HTTPStatus.MISDIRECTED_REQUEST,
        http.HTTPStatus.TOO_MANY_REQUESTS,
        http.HTTPStatus.SERVICE_UNAVAILABLE,
    )
)


class Ran(enum.Enum):
    """Whether a request ran at an upstream."""

    no = 'no'
    yes = 'yes'
    unknown = 'unknown'


@dataclasses.dataclass(frozen=True)
class Failure:
    """The reason why a request failed.

    `retry_after_seconds` becomes the `Retry-After` header; it is None when the
    answer has no such header.
    """

    code: typing.ClassVar[str] = 'failure'
    status: typing.ClassVar[int] = http.HTTPStatus.INTERNAL_SERVER_ERROR

    message: str
    ran: Ran = Ran.no
    retry_after_seconds: float | None = None


@dataclasses.dataclass(frozen=True)
class MissingKey(Failure):
    """The request has no bearer token."""

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
    """The body or a header is not in the required format."""

    code: typing.ClassVar[str] = 'malformed_request'
    status: typing.ClassVar[int] = http.HTTPStatus.BAD_REQUEST


@dataclasses.dataclass(frozen=True)
class UnknownModel(Failure):
    """No configured model has this name."""

    code: typing.ClassVar[str] = 'unknown_model'
    status: typing.ClassVar[int] = http.HTTPStatus.NOT_FOUND


@dataclasses.dataclass(frozen=True)
class UnknownRoute(Failure):
    """No configured route matches this path."""

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
    """Every agent that was tried refused to queue the request."""

    code: typing.ClassVar[str] = 'overloaded'
    status: typing.ClassVar[int] = http.HTTPStatus.TOO_MANY_REQUESTS


@dataclasses.dataclass(frozen=True)
class AgentLeaving(Failure):
    """Every agent that was tried is shutting down and refused the request."""

    code: typing.ClassVar[str] = 'agent_leaving'
    status: typing.ClassVar[int] = http.HTTPStatus.SERVICE_UNAVAILABLE


@dataclasses.dataclass(frozen=True)
class AgentUnreachable(Failure):
    """No connection to the agent could be made, so nothing was sent to it."""

    code: typing.ClassVar[str] = 'agent_unreachable'
    status: typing.ClassVar[int] = http.HTTPStatus.SERVICE_UNAVAILABLE


@dataclasses.dataclass(frozen=True)
class UpstreamFailed(Failure):
    """The upstream accepted the request but did not complete its answer."""

    code: typing.ClassVar[str] = 'upstream_failed'
    status: typing.ClassVar[int] = http.HTTPStatus.BAD_GATEWAY


@dataclasses.dataclass(frozen=True)
class OutcomeUnknown(Failure):
    """The connection was lost, and it is unknown whether the request ran."""

    code: typing.ClassVar[str] = 'outcome_unknown'
    status: typing.ClassVar[int] = http.HTTPStatus.GATEWAY_TIMEOUT


@dataclasses.dataclass(frozen=True)
class NoPlace(Failure):
    """Every upstream that was tried is full, or no time was left to try one."""

    code: typing.ClassVar[str] = 'no_place'
    status: typing.ClassVar[int] = http.HTTPStatus.SERVICE_UNAVAILABLE


@dataclasses.dataclass(frozen=True)
class PromptQuarantined(Failure):
    """A part of the prompt has crashed upstreams; it is sent to no other."""

    code: typing.ClassVar[str] = 'prompt_quarantined'
    status: typing.ClassVar[int] = http.HTTPStatus.SERVICE_UNAVAILABLE


@dataclasses.dataclass(frozen=True)
class RequestQuarantined(Failure):
    """The request has crashed upstreams; it is sent to no other."""

    code: typing.ClassVar[str] = 'request_quarantined'
    status: typing.ClassVar[int] = http.HTTPStatus.SERVICE_UNAVAILABLE


@dataclasses.dataclass(frozen=True)
class TimedOut(Failure):
    """The request timed out, and it is unknown whether it ran."""

    code: typing.ClassVar[str] = 'timed_out'
    status: typing.ClassVar[int] = http.HTTPStatus.GATEWAY_TIMEOUT


@dataclasses.dataclass(frozen=True)
class ErrorBody:
    """Fields of the `error` object in the body of an error."""

    message: str
    type: str
    code: str
    ran: str
    request_id: str


def error_body(failure: Failure, request_id: str) -> dict[str, typing.Any]:
    """Return the JSON body, as a dict, that reports `failure`."""
    body = ErrorBody(
        message=failure.message,
        type=type(failure).__name__,
        code=failure.code,
        ran=failure.ran.value,
        request_id=request_id,
    )
    return {'error': dataclasses.asdict(body)}
