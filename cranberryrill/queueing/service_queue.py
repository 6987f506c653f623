"""Queue of the requests of one service in this process, without I/O.

It handles bursts and lasting overload: what waits is sent in order as upstreams
can take it, and what would wait for too long is refused at once.
"""

import dataclasses
import enum
from collections import abc

from cranberryrill.queueing import (
    capacity,
    drain_rate,
    ordering,
    organisation_use,
    wait_prediction,
    waiting,
)

# A request that waits for memory alone may be passed over by smaller ones for
# this share of the time that it may wait.
PASSED_OVER_SHARE = 0.25
# Predictions vary, so a request that already waits is given up only if its
# predicted wait exceeds the time that it has left by this factor.
GIVE_UP_FACTOR = 1.5
GIVE_UP_SLACK_SECONDS = 0.1
# How often the predictions of waiting requests are renewed.
CHECK_PERIOD_SECONDS = 0.1


class Outcome(enum.Enum):
    """What becomes of a request at its arrival."""

    sent = 'sent'
    queued = 'queued'
    refused = 'refused'


@dataclasses.dataclass(frozen=True)
class Arrival:
    """Decision on a new request."""

    outcome: Outcome
    wait: wait_prediction.PredictedWait


@dataclasses.dataclass(frozen=True)
class Useless:
    """A request that is given up after it has waited."""

    request: waiting.WaitingRequest
    wait: wait_prediction.PredictedWait


@dataclasses.dataclass
class Round:
    """What may still be done in one round of sending."""

    # Requests that wait, in the order in which they are examined.
    line: abc.Iterator[waiting.WaitingRequest]
    sends_left: int
    examined_left: int


class ServiceQueue:
    """Waiting requests of one service."""

    def __init__(
        self,
        service_capacity: capacity.Capacity,
        use: organisation_use.OrganisationUse,
    ) -> None:
        self.capacity = service_capacity
        self.use = use
        self.waiting: dict[waiting.WaitingRequest, None] = {}
        self.rate = drain_rate.DrainRate()
        self.checked_waits_at = float('-inf')

    def arrive(
        self,
        request: waiting.WaitingRequest,
        now: float,
        upstream_seconds: float,
    ) -> Arrival:
        """Send, queue or refuse a new request.

        It is sent at once only if nothing that waits goes before it.
        `upstream_seconds` is how long its upstream is busy before it.
        """
        self.capacity.start_round(now)
        if not self.waiting:
            self.rate.advance((), now)
        wait = self._predict(request, now, upstream_seconds)
        if wait.seconds > request.max_wait_seconds:
            return Arrival(Outcome.refused, wait)
        if not wait.requests_before:
            verdict = self.capacity.verdict(request, now)
            if verdict is capacity.Verdict.send:
                self._send(request, now)
                return Arrival(Outcome.sent, wait)
        self.waiting[request] = None
        return Arrival(Outcome.queued, wait)

    def remove(self, request: waiting.WaitingRequest) -> None:
        """Remove a request, if it still waits."""
        self.waiting.pop(request, None)

    def start_round(self, now: float) -> Round:
        """Begin to send waiting requests."""
        self.rate.advance(self.waiting, now)
        sends = self.capacity.start_round(now)
        return Round(
            ordering.in_turn(list(self.waiting), self.use, now),
            sends,
            self.capacity.examined_requests(),
        )

    def next_ready(
        self, current: Round, now: float
    ) -> waiting.WaitingRequest | None:
        """Remove and return the next request to send; None ends the round.

        A request is passed over while its own upstream is busy: one that goes
        to another doesn't delay it. One that has long waited for memory is
        passed over no more.
        """
        while current.sends_left and current.examined_left:
            request = next(current.line, None)
            if request is None:
                break
            if request not in self.waiting:
                # Its caller has left since the round began.
                continue
            current.examined_left -= 1
            verdict = self.capacity.verdict(request, now)
            if verdict is capacity.Verdict.send:
                current.sends_left -= 1
                self._send(request, now)
                del self.waiting[request]
                return request
            if _holds_back_others(request, verdict, now):
                current.sends_left = 0
        return None

    def take_useless(self, now: float) -> list[Useless]:
        """Remove and return the requests that won't be sent in time.

        These have expired, or came to have too much before them.
        """
        is_due = now >= self.checked_waits_at + CHECK_PERIOD_SECONDS
        if not is_due and not any(
            now >= request.expires_at for request in self.waiting
        ):
            return []
        self.checked_waits_at = now
        useless = self._hopeless(now)
        for given_up in useless:
            self.remove(given_up.request)
        return useless

    def _hopeless(self, now: float) -> list[Useless]:
        """Return the requests whose predicted wait is too long by far.

        What is given up does not count for those behind it.
        """
        work_before = wait_prediction.WorkBefore(
            self.rate, self.capacity.assumed_rate(), now
        )
        hopeless: list[Useless] = []
        for request in ordering.in_turn(self.waiting, self.use, now):
            wait = work_before.predict(request, 0)
            seconds_left = request.expires_at - now
            most = seconds_left * GIVE_UP_FACTOR + GIVE_UP_SLACK_SECONDS
            if seconds_left <= 0 or wait.seconds > most:
                hopeless.append(Useless(request, wait))
            else:
                work_before.add(request)
        return hopeless

    def _predict(
        self,
        request: waiting.WaitingRequest,
        now: float,
        upstream_seconds: float,
    ) -> wait_prediction.PredictedWait:
        work_before = wait_prediction.WorkBefore(
            self.rate, self.capacity.assumed_rate(), now
        )
        for other in ordering.before(request, self.waiting, self.use, now):
            work_before.add(other)
        return work_before.predict(request, upstream_seconds)

    def _send(self, request: waiting.WaitingRequest, now: float) -> None:
        if any(other.rank == request.rank for other in self.waiting):
            self.rate.record_sent(request, now)
        self.capacity.record_sent(request)


def _holds_back_others(
    request: waiting.WaitingRequest, verdict: capacity.Verdict, now: float
) -> bool:
    """Return whether smaller requests must not take what memory is free."""
    waited = now - request.arrived_at
    return (
        verdict is capacity.Verdict.wait_for_memory
        and waited >= PASSED_OVER_SHARE * request.max_wait_seconds
    )
