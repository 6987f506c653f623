"""Enforce the request and token limits of organisations at an entry."""

import dataclasses
import http
import typing
from collections import abc

import result

from cranberryrill import failures
from cranberryrill.configuration import active, document
from cranberryrill.limits import buckets

SECONDS_PER_MINUTE = 60
# The capacity of a bucket is what its rate refills in this time.
REQUEST_BURST_SECONDS = 1.0
TOKEN_BURST_SECONDS = 10.0
GetConfiguration = abc.Callable[[], active.ActiveConfiguration]


@dataclasses.dataclass(frozen=True)
class RateLimited(failures.Failure):
    """The organisation exceeds its request or token limit."""

    code: typing.ClassVar[str] = 'rate_limited'
    status: typing.ClassVar[int] = http.HTTPStatus.TOO_MANY_REQUESTS


@dataclasses.dataclass(frozen=True)
class BucketRate:
    """Refill rate and capacity of a bucket, in requests or tokens."""

    per_second: float
    capacity: float


class RateLimiter:
    """Meter the requests and tokens of each organisation.

    Each live entry enforces an equal share of a limit, so that the entries
    together allow the whole limit without coordination.
    """

    def __init__(self, get_configuration: GetConfiguration) -> None:
        self.get_configuration = get_configuration
        self.request_buckets: dict[str, buckets.TokenBucket] = {}
        self.token_buckets: dict[str, buckets.TokenBucket] = {}

    def admit(
        self,
        organisation: str,
        entries: int,
        now: float,
    ) -> result.Result[None, RateLimited]:
        """Admit and count one request, or return RateLimited.

        `entries` is the number of live entries that share the limit. The
        failure carries the seconds until a retry can succeed. Organisations
        without a limit, or missing from the configuration, are admitted.
        """
        configured = self._organisation(organisation)
        if configured is None:
            return result.Ok(None)
        wait_seconds = 0.0
        if configured.tokens_per_minute:
            rate = _token_rate(configured, entries)
            bucket = _refilled_bucket(
                self.token_buckets, organisation, rate, now
            )
            wait_seconds = bucket.seconds_until(0, rate.per_second)
        if configured.requests_per_second:
            rate = _request_rate(configured, entries)
            bucket = _refilled_bucket(
                self.request_buckets, organisation, rate, now
            )
            wait_seconds = max(
                wait_seconds, bucket.seconds_until(1, rate.per_second)
            )
            if not wait_seconds:
                bucket.spend(1)
        if wait_seconds:
            return result.Err(
                RateLimited(
                    f'{organisation} is beyond its limit',
                    retry_after_seconds=wait_seconds,
                ),
            )
        return result.Ok(None)

    def charge(
        self,
        organisation: str,
        tokens: int,
        entries: int,
        now: float,
    ) -> None:
        """Subtract the tokens of a finished answer from the token bucket.

        The count is known only after the answer. A bucket below zero makes
        `admit` refuse later requests until it has refilled.
        """
        configured = self._organisation(organisation)
        if configured is None or not configured.tokens_per_minute:
            return
        rate = _token_rate(configured, entries)
        _refilled_bucket(self.token_buckets, organisation, rate, now).spend(
            tokens
        )

    def _organisation(self, name: str) -> document.Organisation | None:
        return self.get_configuration().find(
            document.Organisation,
            'organisations',
            name,
        )


def _request_rate(
    configured: document.Organisation, entries: int
) -> BucketRate:
    rate = configured.requests_per_second / max(entries, 1)
    return BucketRate(rate, max(rate * REQUEST_BURST_SECONDS, 1))


def _token_rate(configured: document.Organisation, entries: int) -> BucketRate:
    rate = configured.tokens_per_minute / SECONDS_PER_MINUTE / max(entries, 1)
    return BucketRate(rate, rate * TOKEN_BURST_SECONDS)


def _refilled_bucket(
    buckets_by_organisation: dict[str, buckets.TokenBucket],
    organisation: str,
    rate: BucketRate,
    now: float,
) -> buckets.TokenBucket:
    bucket = buckets_by_organisation.get(organisation)
    if bucket is None:
        bucket = buckets.TokenBucket(now, rate.capacity)
        buckets_by_organisation[organisation] = bucket
    bucket.refill(rate.per_second, rate.capacity, now)
    return bucket
