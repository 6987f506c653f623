"""Failures with which a delivery is refused, by what is known of its attempts.

`ran` is whether an earlier attempt may have run; only `no` allows a failure
that promises that the request did not run.
"""

import dataclasses
import http
import typing

from cranberryrill import failures
from cranberryrill.forwarding import attempts
from cranberryrill.quarantine import request_key


@dataclasses.dataclass(frozen=True)
class NoMemory(failures.Failure):
    """The bodies of other requests take up the memory for them."""

    code: typing.ClassVar[str] = 'no_memory'
    status: typing.ClassVar[int] = http.HTTPStatus.SERVICE_UNAVAILABLE


def no_upstream(ran: failures.Ran, retry_after: float) -> failures.Failure:
    """Return the failure when no upstream is left to try."""
    if ran is failures.Ran.no:
        return failures.NoUpstream(
            'no upstream of the service is known',
            retry_after_seconds=retry_after,
        )
    return failures.UpstreamFailed(
        'no other upstream is known', failures.Ran.unknown
    )


def after_attempt(
    failed: attempts.Failed, ran: failures.Ran, retry_after: float
) -> failures.Failure:
    """Return the failure after the last attempt."""
    if ran is failures.Ran.no:
        return failures.NoPlace(failed.cause, retry_after_seconds=retry_after)
    if failed.timed_out:
        return failures.TimedOut(failed.cause, failures.Ran.unknown)
    return failures.UpstreamFailed(failed.cause, failures.Ran.unknown)


def quarantined(key: str, ran: failures.Ran) -> failures.Failure:
    """Return the failure of a request that crashes upstreams.

    `key` is that of the request, or of a part of its prompt. The failure names
    no time for a retry: the quarantine lasts while such requests come.
    """
    if request_key.is_request(key):
        cause = 'upstreams end under this request'
        refusal: failures.Failure = failures.RequestQuarantined(cause)
    else:
        cause = f'upstreams end under the part {key} of the prompt'
        refusal = failures.PromptQuarantined(cause)
    if ran is failures.Ran.no:
        return refusal
    return failures.UpstreamFailed(cause, failures.Ran.unknown)
