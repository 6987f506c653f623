"""Define what an attempt at an upstream needs, and what it proves."""

import dataclasses
import typing

from cranberryrill import failures
from cranberryrill.forwarding import (
    admission,
    curl_multi,
    exchange,
    http_names,
    placement,
    retry_budget,
    upstreams,
)

FRAMING = ('content-length', 'transfer-encoding')


@dataclasses.dataclass(frozen=True)
class Response:
    """Hold an upstream's whole answer."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclasses.dataclass(frozen=True)
class FailedAttempt:
    """Say how an attempt ended that delivered nothing final."""

    ran: failures.Ran
    cause: str
    # Whether the request reached the upstream.
    reached_upstream: bool = True
    timed_out: bool = False
    # The upstream's own failure, which the caller may get unchanged.
    response: Response | None = None


class DeliveryContext(typing.Protocol):
    """Provide what all deliveries of a process share."""

    names: http_names.HttpNames
    driver: curl_multi.Driver
    data_centre: str

    async def wait_turn(
        self,
        admitted: admission.Admitted,
    ) -> failures.Failure | None:
        """Wait until a request may be sent, or return why it is not."""

    def place(
        self,
        admitted: admission.Admitted,
        tried: frozenset[str],
        now: float,
    ) -> placement.Choice | None:
        """Choose an upstream."""

    def budget_for(self, service: str, now: float) -> retry_budget.RetryBudget:
        """Return the budget for repeats of a service."""

    def entry_count(self) -> int:
        """Return how many processes share a budget."""

    def count_started_request(
        self, admitted: admission.Admitted, now: float
    ) -> None:
        """Count that a request has begun to run."""

    def record_response_start(
        self,
        admitted: admission.Admitted,
        choice: placement.Choice,
        tokens: int,
        seconds: float,
    ) -> None:
        """Note how long an upstream took to begin its answer."""

    def record_prompt_read(
        self,
        upstream: upstreams.Upstream,
        admitted: admission.Admitted,
    ) -> None:
        """Note that an upstream has read a request's prompt."""

    def retry_after_seconds(
        self, admitted: admission.Admitted, now: float
    ) -> float:
        """Return when a refused caller should come back, in seconds."""


def timed_out_attempt() -> FailedAttempt:
    """Return the end of an attempt for which no time is left."""
    return FailedAttempt(
        failures.Ran.unknown, 'no answer in time', timed_out=True
    )


def address_of(upstream: upstreams.Upstream | None) -> str:
    """Return where an upstream listens, as host:port."""
    if upstream is None:
        return ''
    return f'{upstream.registration.host}:{upstream.registration.port}'


def failed_before_head(
    sent: exchange.Exchange,
    upstream: upstreams.Upstream,
    now: float,
) -> FailedAttempt:
    """Say what an exchange without an answer proves."""
    if isinstance(sent.ending, exchange.Unsent):
        upstream.mark_unreachable(now)
        return FailedAttempt(
            failures.Ran.no, sent.ending.cause, reached_upstream=False
        )
    upstream.record_outcome(now, failed=True)
    return FailedAttempt(failures.Ran.unknown, failure_cause(sent))


def failure_cause(sent: exchange.Exchange) -> str:
    """Return why an exchange broke off."""
    if isinstance(sent.ending, exchange.Interrupted):
        return sent.ending.cause
    return 'the answer ended early'


def has_framing(sent: exchange.Exchange) -> bool:
    """Say whether the answer tells where it ends."""
    return any(sent.first_header(name) is not None for name in FRAMING)
