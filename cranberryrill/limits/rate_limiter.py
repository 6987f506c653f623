"""Hold each organisation to its limits at an entry."""

import dataclasses
import http
import typing
from collections import abc

import result

from cranberryrill import failures
from cranberryrill.configuration import active, document
from cranberryrill.limits import buckets

SECONDS_PER_MINUTE = 60
# A bucket holds what these many seconds earn.
REQUEST_BURST_SECONDS = 1.0
TOKEN_BURST_SECONDS = 10.0
GetServing = abc.Callable[[], active.ActiveConfiguration]


@dataclasses.dataclass(frozen=True)
class RateLimited(failures.Failure):
    """The organisation is beyond a limit of its own."""

    code: typing.ClassVar[str] = 'rate_limited'
    status: typing.ClassVar[int] = http.HTTPStatus.TOO_MANY_REQUESTS


@dataclasses.dataclass(frozen=True)
class BucketRate:
    """What may be spent a second, and at once."""

    per_second: float
    capacity: float


class RateLimiter:
    """Meter the requests and tokens of each organisation.

    Each live entry allows an equal part of a limit, so that all together
    allow the whole without asking each other.
    """

    def __init__(self, get_serving: GetServing) -> None:
        self.get_serving = get_serving
        self.request_buckets: dict[str, buckets.TokenBucket] = {}
        self.token_buckets: dict[str, buckets.TokenBucket] = {}

    def admit(
        self,
        organisation: str,
        entries: int,
        now: float,
    ) -> result.Result[None, RateLimited]:
        """Count a request in, or say when to come back."""
        known = self._organisation(organisation)
        if known is None:
            return result.Ok(None)
        wait = 0.0
        if known.tokens_per_minute:
            rate = _token_rate(known, entries)
            bucket = _refilled(self.token_buckets, organisation, rate, now)
            wait = bucket.seconds_until(0, rate.per_second)
        if known.requests_per_second:
            rate = _request_rate(known, entries)
            bucket = _refilled(self.request_buckets, organisation, rate, now)
            wait = max(wait, bucket.seconds_until(1, rate.per_second))
            if not wait:
                bucket.spend(1)
        if wait:
            return result.Err(
                RateLimited(
                    f'{organisation} is beyond its limit',
                    retry_after_seconds=wait,
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
        """Count the tokens of an answer; later requests pay for them."""
        known = self._organisation(organisation)
        if known is None or not known.tokens_per_minute:
            return
        rate = _token_rate(known, entries)
        _refilled(self.token_buckets, organisation, rate, now).spend(tokens)

    def _organisation(self, name: str) -> document.Organisation | None:
        return self.get_serving().find(
            document.Organisation,
            'organisations',
            name,
        )


def _request_rate(known: document.Organisation, entries: int) -> BucketRate:
    rate = known.requests_per_second / max(entries, 1)
    return BucketRate(rate, max(rate * REQUEST_BURST_SECONDS, 1))


def _token_rate(known: document.Organisation, entries: int) -> BucketRate:
    rate = known.tokens_per_minute / SECONDS_PER_MINUTE / max(entries, 1)
    return BucketRate(rate, rate * TOKEN_BURST_SECONDS)


def _refilled(
    held: dict[str, buckets.TokenBucket],
    name: str,
    rate: BucketRate,
    now: float,
) -> buckets.TokenBucket:
    bucket = held.get(name)
    if bucket is None:
        bucket = buckets.TokenBucket(now, rate.capacity)
        held[name] = bucket
    bucket.refill(rate.per_second, rate.capacity, now)
    return bucket
