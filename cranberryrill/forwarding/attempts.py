"""Results of attempts to send a request to an upstream.

Also declares the interface between a delivery and the state of its process.
"""

import dataclasses
import logging
import typing

from cranberryrill import failures
from cranberryrill.forwarding import (
    admission,
    crash_tracker,
    curl_multi,
    exchange,
    headers,
    http_names,
    placement,
    retry_budget,
    upstream_request,
    upstreams,
)
from cranberryrill.limits import buffer_budget
from cranberryrill.settings import response_limits

LOGGER = logging.getLogger(__name__)
MILLISECONDS_PER_SECOND = 1000
LOWEST_PRIORITY = 9


@dataclasses.dataclass(frozen=True)
class Response:
    """Complete response of an upstream, with the headers for the caller."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclasses.dataclass(frozen=True)
class Failed:
    """End of an attempt that gave the caller no final response.

    `ran` is whether the upstream may have run the request, `cause` why the
    attempt failed. The caller may receive `cause` in an error body.
    """

    ran: failures.Ran
    cause: str
    # False if no connection was established; a retry then spends no
    # retry budget.
    reached_upstream: bool = True
    timed_out: bool = False
    # Whether the upstream closed or reset the connection before the response
    # was complete.
    connection_lost: bool = False
    # Failure response of the upstream, sent to the caller if no retry follows.
    response: Response | None = None


class DeliveryContext(typing.Protocol):
    """State and services that all deliveries of a process share."""

    names: http_names.HttpNames
    driver: curl_multi.Driver
    crash_tracker: crash_tracker.CrashTracker
    data_centre: str
    response_limits: response_limits.ResponseLimits
    response_buffers: buffer_budget.BufferBudget

    async def wait_in_queue(
        self, admitted: admission.Admitted
    ) -> failures.Failure | None:
        """Wait until a request may be sent; return its refusal, or None."""

    def is_closed(self, admitted: admission.Admitted, now: float) -> bool:
        """Return whether no upstream may be sent the request just now."""

    def place(
        self, admitted: admission.Admitted, excluded: frozenset[str], now: float
    ) -> placement.Choice | None:
        """Choose an upstream that is not in `excluded`, or return None."""

    def retry_budget_for(
        self, service: str, now: float
    ) -> retry_budget.RetryBudget:
        """Return the retry budget of a service."""

    def entry_count(self) -> int:
        """Return the number of entries that share the retry budgets."""

    def count_started_request(
        self, admitted: admission.Admitted, now: float
    ) -> None:
        """Count a request that an upstream has started to process."""

    def record_response_start(
        self,
        admitted: admission.Admitted,
        choice: placement.Choice,
        prefill_tokens: int,
        seconds: float,
    ) -> None:
        """Record how long an upstream took to start its response.

        `prefill_tokens` is the part of the prompt that it had to prefill.
        """

    def record_prefilled_prompt(
        self, choice: placement.Choice, admitted: admission.Admitted
    ) -> None:
        """Record that an upstream has prefilled, and caches, a prompt."""

    def backoff(self, admitted: admission.Admitted, now: float) -> float:
        """Return the delay in seconds before a refused caller should retry."""


def timed_out() -> Failed:
    """Return the result of an attempt that reached the deadline."""
    return Failed(failures.Ran.unknown, 'no answer in time', timed_out=True)


def log_failed(
    admitted: admission.Admitted,
    upstream: upstreams.Upstream,
    failed: Failed,
    event_count: int,
    responding_ms: int | None,
) -> None:
    """Log an attempt that failed, as evidence on upstreams that crash."""
    # Only evidence of a crash is worth a digest of the body.
    key = admitted.full_key if failed.connection_lost else None
    LOGGER.info(
        'attempt failed',
        extra={
            'request_id': admitted.metadata.attempt_id,
            'upstream': upstream.id,
            'cause': failed.cause,
            'ran': failed.ran.value,
            'events': event_count,
            'connection_lost': failed.connection_lost,
            'responding_ms': responding_ms,
            'open_requests': upstream.open_requests,
            'shared_parts': admitted.metadata.shared_parts,
            'request_key': key,
        },
    )


def address_of(upstream: upstreams.Upstream | None) -> str:
    """Return an upstream's address as host:port, empty for None."""
    if upstream is None:
        return ''
    return f'{upstream.registration.host}:{upstream.registration.port}'


def outgoing_request(
    admitted: admission.Admitted,
    choice: placement.Choice,
    names: http_names.HttpNames,
    last_event_id: str,
    now: float,
) -> upstream_request.OutgoingRequest:
    """Return an admitted request as it is sent to the chosen upstream.

    `last_event_id` is empty unless a stream is resumed.
    """
    upstream = choice.upstream
    left_ms = (admitted.deadline - now) * MILLISECONDS_PER_SECOND
    priority = None
    if admitted.service.engine is not None:
        priority = min(admitted.rank, LOWEST_PRIORITY)
    added = headers.AddedHeaders(
        expected_upstream=upstream.id,
        deadline_ms=max(int(left_ms), 1),
        organisation=admitted.organisation,
        priority=priority,
        fetch_from=address_of(choice.fetch_from),
        last_event_id=last_event_id,
    )
    return upstream_request.OutgoingRequest(
        upstream.registration.host,
        upstream.registration.port,
        admitted.request.method,
        admitted.request.target,
        tuple(headers.for_upstream(admitted.request, names, added)),
        admitted.request.body,
    )


def failed_before_head(
    call: exchange.Exchange, upstream: upstreams.Upstream, now: float
) -> Failed:
    """Return the result of an exchange that ended before the response head.

    Also updates the failure state that is kept for `upstream`.
    """
    if isinstance(call.ending, exchange.Unsent):
        upstream.mark_unreachable(now)
        return Failed(
            failures.Ran.no, call.ending.cause, reached_upstream=False
        )
    upstream.record_outcome(now, failed=True)
    return interrupted(call)


def interrupted(call: exchange.Exchange) -> Failed:
    """Return the result of an exchange whose response is not complete."""
    return Failed(
        failures.Ran.unknown,
        failure_cause(call),
        connection_lost=isinstance(call.ending, exchange.Interrupted)
        and call.ending.connection_lost,
    )


def failure_cause(call: exchange.Exchange) -> str:
    """Return why an exchange ended before the response was complete."""
    if isinstance(call.ending, exchange.Interrupted):
        return call.ending.cause
    return 'the answer ended early'


def media_type(call: exchange.Exchange) -> str:
    """Return the media type of a response, without parameters."""
    content_type = call.header('content-type') or ''
    return content_type.partition(';')[0].strip().lower()
