"""Replay of requests and upstreams that end, against a ledger alone."""

import collections
import dataclasses
import functools
import heapq
import random
import typing
from collections import abc as collection_types

from cranberryrill.forwarding import crash_tracker
from cranberryrill.quarantine import ledger, records, request_key
from cranberryrill.settings import quarantine_limits

UPSTREAMS = 6
RESTART_SECONDS = 4.0
CRASH_DELAY_SECONDS = 0.1
CRASHES = 5


def make_ledger(**limits: typing.Any) -> ledger.Ledger:
    return ledger.Ledger(quarantine_limits.QuarantineLimits(**limits))


def make_crash(
    number: int, ended_at: float, position: int = 1
) -> records.Crash:
    return records.Crash(f'u{number}@1', ended_at, position)


def request_key_of(name: object) -> str:
    head = request_key.head_key('POST', f'/{name}', 'organisation')
    return request_key.full_key(head, b'')


@dataclasses.dataclass(eq=False)
class Request:
    """One request at an upstream; its last part is left out."""

    key: str
    parts: tuple[str, ...]
    started_at: float
    ended_at: float
    tries: int


class Replay:
    """Upstreams, and the evidence that entries would record about them.

    Requests with one of `fatal` parts or keys end their upstream. `refused`
    counts the requests that are quarantined, `sound_refused` those of them that
    would end no upstream, and `quarantined` names what for.
    With `client_tries`, callers repeat a request that was broken off.
    """

    def __init__(
        self,
        seed: int,
        fatal: collection_types.Collection[str] = (),
        client_tries: int = 1,
        upstreams: int = UPSTREAMS,
    ) -> None:
        self.client_tries = client_tries
        self.upstreams = upstreams
        self.sent = 0
        self.rng = random.Random(seed)
        self.fatal = set(fatal)
        self.evidence = make_ledger()
        self.now = 0.0
        self.events: list[
            tuple[float, int, collection_types.Callable[[], None]]
        ] = []
        self.scheduled = 0
        # In the order of their arrival.
        self.open: list[dict[Request, None]] = [{} for _ in range(upstreams)]
        self.starts: collections.Counter[int] = collections.Counter()
        # When each upstream that has ended is back.
        self.up_from: dict[int, float] = {}
        # When upstreams ended, by crashes and by `crash` alike.
        self.crashed_at: list[float] = []
        self.fatal_sent: list[float] = []
        self.refused = 0
        self.sound_refused = 0
        self.served = 0
        self.quarantined: set[str] = set()
        # When an upstream last survived each part.
        self.completed: dict[str, float] = {}

    def at(
        self, time: float, event: collection_types.Callable[[], None]
    ) -> None:
        self.scheduled += 1
        heapq.heappush(self.events, (time, self.scheduled, event))

    def run(self, seconds: float) -> None:
        while self.events and self.events[0][0] <= seconds:
            time, _, event = heapq.heappop(self.events)
            self.now = time
            event()
        self.now = seconds

    def traffic(
        self,
        per_second: float,
        make_parts: collection_types.Callable[[random.Random], tuple[str, ...]],
        seconds: tuple[float, float],
    ) -> None:
        """Schedule requests at random times between `seconds`."""
        start, end = seconds
        time = start + self.rng.expovariate(per_second)
        while time < end:
            self.at(time, functools.partial(self.send_next, make_parts))
            time += self.rng.expovariate(per_second)

    def repeats(
        self,
        name: str,
        per_second: float,
        parts: tuple[str, ...],
        seconds: tuple[float, float],
    ) -> None:
        """Schedule repeats of one request at random times."""
        start, end = seconds
        time = start + self.rng.expovariate(per_second)
        while time < end:
            self.at(
                time,
                functools.partial(self.send, parts, request_key_of(name)),
            )
            time += self.rng.expovariate(per_second)

    def crash_at(self, time: float, number: int) -> None:
        """Schedule the end of an upstream for no reason in its requests."""
        self.at(time, functools.partial(self.crash, number))

    def send_next(
        self,
        make_parts: collection_types.Callable[[random.Random], tuple[str, ...]],
    ) -> None:
        self.send(make_parts(self.rng))

    def send(
        self, parts: tuple[str, ...], key: str = '', tries: int = 1
    ) -> None:
        """Send a new request, or repeat the one with `key`."""
        if not key:
            self.sent += 1
            key = request_key_of(self.sent)
        if self.evidence.quarantined_key((*parts, key)) is not None:
            self.refused += 1
            if not self.fatal & {*parts, key}:
                self.sound_refused += 1
            return
        usable = [
            number
            for number in range(self.upstreams)
            if self.now >= self.up_from.get(number, 0)
        ]
        if not usable:
            return
        number = self.rng.choice(usable)
        started_at = self.now + self.rng.uniform(0.1, 0.6)
        request = Request(
            key, parts, started_at, started_at + self.rng.uniform(0.2, 4), tries
        )
        self.open[number][request] = None
        if self.fatal & {*parts, key}:
            self.fatal_sent.append(self.now)
            self.at(
                started_at + CRASH_DELAY_SECONDS,
                lambda: self.crash_under(number, request),
            )
        else:
            self.at(
                started_at + crash_tracker.SURVIVAL_SECONDS,
                lambda: self.survive(number, request),
            )
        self.at(request.ended_at, lambda: self.open[number].pop(request, None))

    def crash_under(self, number: int, request: Request) -> None:
        if request in self.open[number]:
            self.crash(number)

    def crash(self, number: int) -> None:
        """End an upstream under everything that is open there."""
        if self.now < self.up_from.get(number, 0):
            return
        self.crashed_at.append(self.now)
        for request in self.open[number]:
            request.ended_at = -1
            if request.started_at + crash_tracker.SURVIVAL_SECONDS > self.now:
                self._record(number, request)
            if request.tries < self.client_tries:
                self.at(
                    self.now + self.rng.uniform(0, 0.3),
                    functools.partial(
                        self.send, request.parts, request.key, request.tries + 1
                    ),
                )
        self.open[number] = {}
        self.starts[number] += 1
        self.up_from[number] = self.now + RESTART_SECONDS
        self.quarantined.update(self.evidence.quarantine(self.now))

    def known_from(
        self, contact_seconds: float, crashes: int = CRASHES
    ) -> float:
        """Return when every entry must know of the fifth crash, or another.

        That is never if there are fewer crashes.
        """
        if len(self.crashed_at) < crashes:
            return float('inf')
        return self.crashed_at[crashes - 1] + contact_seconds

    def survive(self, number: int, request: Request) -> None:
        if request.ended_at < 0:
            return
        self.served += 1
        for key in (*request.parts, request.key):
            self.completed[key] = self.now
            self.evidence.record_completion(key, self.now)

    def _record(self, number: int, request: Request) -> None:
        for position, key in (*enumerate(request.parts), (0, request.key)):
            self.evidence.record_crash(
                key,
                records.Crash(
                    f'u{number}@{self.starts[number]}',
                    self.now,
                    position,
                ),
                self.completed.get(key, records.NEVER),
            )
