"""Track the load, failures and prompt cache of one upstream."""

import dataclasses
import logging
import math
from collections import abc

from cranberryrill import decimal_numbers
from cranberryrill.engine_model import upstream_model
from cranberryrill.forwarding import allowance, prompt_cache
from cranberryrill.limits import avoidance
from cranberryrill.registry import registry_pb2

LOGGER = logging.getLogger(__name__)
MILLISECONDS_PER_SECOND = 1000
# Weight of the newest outcome in the moving average of failures. About the last
# ten outcomes dominate the average.
FAILURE_WEIGHT = 0.1
# The failure rate decays by half in this time.
FAILURE_HALF_LIFE_SECONDS = 4.0
# No requests are sent for this long to an upstream that accepted no connection,
# unless no other is left.
UNREACHABLE_PAUSE_SECONDS = 3.0
# The same for an upstream whose address now belongs to another one. The
# registry removes it soon.
REPLACED_PAUSE_SECONDS = 6.0
# The weight of a reported load falls to zero in this time.
LOAD_LIFETIME_SECONDS = 2.0
# Number of counts at the start of a load header.
LOAD_COUNTS = 3


@dataclasses.dataclass(frozen=True)
class ReportedLoad:
    """Load that an upstream reported in a response header."""

    running: int = 0
    waiting: int = 0
    slots: int = 0
    reported_at: float = float('-inf')
    # Requests of this process that were open at that time.
    own_requests: int = 0


class Upstream:
    """State of one incarnation of an upstream, as seen by this process."""

    def __init__(
        self,
        registration: registry_pb2.Registration,
        cache_tokens: int = 0,
        avoided: avoidance.Avoidance | None = None,
    ) -> None:
        self.registration = registration
        self.cache = prompt_cache.CacheEstimate(
            cache_tokens or prompt_cache.DEFAULT_CACHE_TOKENS
        )
        self.load = ReportedLoad()
        # Prompt tokens to prefill, by request whose response has not started.
        self.prefill_tokens: dict[object, int] = {}
        # Tokens that open requests take in the engine's memory; empty where
        # times are not predicted.
        self.memory_tokens: dict[object, int] = {}
        # Measured speed; None where times are not predicted.
        self.model: upstream_model.UpstreamModel | None = None
        self.open_requests = 0
        # Number of open requests that are decode-heavy.
        self.decode_heavy_requests = 0
        self.last_failure_rate = 0.0
        self.last_outcome_at = float('-inf')
        self.unreachable_until = float('-inf')
        self.allowance = allowance.Allowance()
        # Whether the log says that it is cold.
        self.logged_cold = False
        self.avoidance = avoided or avoidance.Avoidance()
        # When it last lost the connection of a request of this process.
        self.lost_connection_at = float('-inf')

    @property
    def incarnation(self) -> str:
        """Return a name that differs for each start of the upstream."""
        return f'{self.id}@{self.registration.started_unix_ms}'

    @property
    def id(self) -> str:
        """Return the upstream's id in the registry."""
        return self.registration.id

    def start_request(
        self,
        handle: object,
        missing_tokens: int,
        *,
        is_decode_heavy: bool = False,
    ) -> None:
        """Record that a request is sent; `handle` identifies it."""
        self.open_requests += 1
        self.decode_heavy_requests += is_decode_heavy
        self.prefill_tokens[handle] = missing_tokens

    def start_response(self, handle: object) -> None:
        """Record that a response has started, so its prefill is done."""
        self.prefill_tokens.pop(handle, None)

    def end_request(
        self, handle: object, *, is_decode_heavy: bool = False
    ) -> None:
        """Record that a request has ended."""
        self.open_requests -= 1
        self.decode_heavy_requests -= is_decode_heavy
        self.prefill_tokens.pop(handle, None)
        self.memory_tokens.pop(handle, None)

    def record_outcome(self, now: float, *, failed: bool) -> None:
        """Update the failure rate with the outcome of a request."""
        rate = self.failure_rate(now)
        rate += (float(failed) - rate) * FAILURE_WEIGHT
        self.last_failure_rate = rate
        self.last_outcome_at = now

    def failure_rate(self, now: float) -> float:
        """Return the share of recent requests that failed, from 0 to 1."""
        age = now - self.last_outcome_at
        return self.last_failure_rate * math.exp2(
            -age / FAILURE_HALF_LIFE_SECONDS
        )

    def mark_unreachable(self, now: float) -> None:
        """Pause the upstream after a failed connection attempt.

        It may have restarted, and is cold then.
        """
        self.allowance.cold.record_restart(now)
        self.unreachable_until = now + UNREACHABLE_PAUSE_SECONDS

    def mark_replaced(self, now: float) -> None:
        """Pause the upstream after another one answered at its address."""
        self.unreachable_until = now + REPLACED_PAUSE_SECONDS

    def record_load(self, text: str, now: float) -> None:
        """Record a load header, `running,waiting,slots[,work]`.

        Three counts of which one is malformed are ignored, and so is a work
        factor that is. Figures after the work factor are not read.
        """
        figures = text.split(',')
        counts = [
            decimal_numbers.parse(figure) for figure in figures[:LOAD_COUNTS]
        ]
        known = [count for count in counts if count is not None]
        if len(known) != LOAD_COUNTS:
            return
        running, waiting, slots = known
        self.load = ReportedLoad(
            running, waiting, slots, now, self.open_requests
        )

    def record_work(self, text: str, now: float) -> None:
        """Record the work factor of a load header, its fourth figure.

        One that is missing or malformed is ignored.
        """
        figures = text.split(',')[LOAD_COUNTS:]
        work = decimal_numbers.parse(figures[0]) if figures else None
        if self.model is not None and work is not None:
            self.model.work.record(work, now)

    def record_limit(self, per_second: float | None, now: float) -> None:
        """Record the limit that a response names, or that it names none."""
        if per_second != self.allowance.own.per_second:
            LOGGER.info(
                'limit named',
                extra={'upstream': self.id, 'per_second': per_second},
            )
        self.allowance.record_named(per_second, now)

    def record_cold(self, remaining_ms: str | None, now: float) -> None:
        """Record the header with the rest of the cold time.

        A missing or malformed value changes nothing.
        """
        milliseconds = decimal_numbers.parse(remaining_ms or '')
        if milliseconds:
            self.allowance.cold.extend(
                milliseconds / MILLISECONDS_PER_SECOND, now
            )

    def record_lost_connection(self, now: float) -> None:
        """Record that it closed or reset the connection of a request."""
        self.allowance.cold.record_restart(now)

    def log_cold(self, now: float) -> None:
        """Log whether the upstream has become cold or warm."""
        is_cold = self.allowance.cold.is_cold(now)
        if is_cold == self.logged_cold:
            return
        self.logged_cold = is_cold
        if not is_cold:
            LOGGER.info('upstream warm', extra={'upstream': self.id})
            return
        seconds = self.allowance.cold.until - now
        LOGGER.info(
            'upstream cold',
            extra={
                'upstream': self.id,
                'remaining_ms': int(seconds * MILLISECONDS_PER_SECOND),
            },
        )

    def record_leaving(self, now: float) -> None:
        """Record a response that says that the upstream leaves."""
        if self.avoidance.record_leaving(now):
            LOGGER.info(
                'upstream avoided',
                extra={'upstream': self.id, 'cause': 'leaving'},
            )

    def record_pause(self, seconds: float, now: float) -> None:
        """Record a response that asks for a pause."""
        if self.avoidance.record_pause(seconds, now):
            LOGGER.info(
                'upstream avoided',
                extra={
                    'upstream': self.id,
                    'cause': 'pause',
                    'seconds': seconds,
                },
            )

    def record_sent(self, now: float) -> None:
        """Record that a request is about to be sent."""
        self.allowance.record_sent(now)
        ended = self.avoidance.record_sent(now)
        if ended is not None:
            seconds = now - ended.began_at
            LOGGER.info(
                'upstream avoided no longer',
                extra={
                    'upstream': self.id,
                    'cause': 'pause',
                    'seconds': ended.asked_seconds,
                    'age_ms': int(seconds * MILLISECONDS_PER_SECOND),
                },
            )

    def wait_seconds(self, now: float) -> float:
        """Return how long to wait before a request may be sent; 0 if none."""
        self.log_cold(now)
        return max(
            self.allowance.wait_seconds(now),
            self.avoidance.wait_seconds(now, self.registration.slots),
        )

    def peer_running(self, now: float) -> float:
        """Estimate how many requests of other processes are running."""
        others = self.load.running + self.load.waiting - self.load.own_requests
        return max(others - self.load.waiting, 0) * self._load_weight(now)

    def reported_waiting(self, now: float) -> float:
        """Estimate how many requests are waiting at the upstream."""
        return self.load.waiting * self._load_weight(now)

    def _load_weight(self, now: float) -> float:
        """Return the weight of the reported load by its age, from 0 to 1."""
        age = now - self.load.reported_at
        return max(1 - age / LOAD_LIFETIME_SECONDS, 0)


def open_upstreams(
    candidates: abc.Sequence[Upstream], now: float
) -> list[Upstream]:
    """Return the upstreams that may be sent a request now.

    A cold one that accepted no connection is left out while others are there:
    what the others take is soon used up, and each request would fail at it.
    """
    is_any_reachable = any(
        now >= upstream.unreachable_until for upstream in candidates
    )
    return [
        upstream
        for upstream in candidates
        if not upstream.wait_seconds(now)
        and not (
            is_any_reachable
            and now < upstream.unreachable_until
            and upstream.allowance.cold.limit(now) is not None
        )
    ]
