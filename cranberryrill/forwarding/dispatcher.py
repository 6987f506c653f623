"""Decide, with all that this process knows, where and when requests go."""

import dataclasses
import functools
import logging
import random

from cranberryrill import clock, failures
from cranberryrill.forwarding import (
    admission,
    budget,
    gate,
    http_names,
    multi,
    placement,
    separation,
    sharing,
    turns,
    upstreams,
    usage_counter,
)
from cranberryrill.membership import membership_pb2, serving_lease
from cranberryrill.traffic import document, route_table

LOGGER = logging.getLogger(__name__)
MILLISECONDS_PER_SECOND = 1000
# Refused callers come back spread over this time, in seconds, when nothing
# tells more about when there will be a place.
RETRY_LEAST = 0.1
RETRY_MOST = 0.5


@dataclasses.dataclass(frozen=True)
class DispatcherOptions:
    """Hold what one process forwards with."""

    names: http_names.HttpNames
    data_centre: str
    retry_bounds: budget.Bounds


class Dispatcher:
    """Hold what all deliveries of this process share."""

    def __init__(
        self,
        setup: DispatcherOptions,
        holder: serving_lease.Holder,
        usage: usage_counter.UsageCounter,
        rng: random.Random,
    ) -> None:
        self.names = setup.names
        self.data_centre = setup.data_centre
        self.retry_bounds = setup.retry_bounds
        self.holder = holder
        self.usage = usage
        self.rng = rng
        self.driver = multi.Driver()
        self.table = route_table.RouteTable(document.EMPTY)
        self.pool = upstreams.Pool()
        self.other_loads = sharing.OtherLoads(self.pool)
        self.placer = placement.Placer(rng)
        self.budgets: dict[str, budget.Budget] = {}
        self.gates: dict[str, gate.Gate] = {}
        self.rates: dict[str, turns.ReadingRate] = {}
        # For each route, whether its newest request had much to write.
        self.writes_long: dict[str, bool] = {}
        self.long_answers: dict[str, separation.OpenAnswers] = {}

    def update(self) -> None:
        """Put what the holder holds in force here."""
        held = self.holder.serving.traffic
        if held is not self.table.document:
            self.table = route_table.RouteTable(held)
            LOGGER.info(
                'configuration in force',
                extra={'version': held.version, 'routes': len(held.routes)},
            )
        cache_tokens = {
            service.name: service.engine.cache_tokens
            for service in held.services
            if service.engine is not None
        }
        self.pool.update(self.holder.upstreams, cache_tokens)

    async def wait_turn(
        self,
        admitted: admission.Admitted,
    ) -> failures.Failure | None:
        """Wait until a request may be sent, or return why it is not."""
        service = admitted.service
        if service.engine is None:
            return None
        is_long = separation.writes_long(admitted.terms)
        self.writes_long[admitted.route.name] = is_long
        limit_ms = turns.start_limit_ms(
            admitted.route,
            self._rivals_of(admitted, is_long=is_long),
        )
        if is_long or limit_ms is None:
            # Those with little to read delay nobody.
            return None
        waiter = turns.make_waiter(
            admitted.route,
            admitted.rank,
            admitted.terms.prompt_tokens,
            limit_ms,
            (admitted.request.received_at, admitted.answer_by),
            functools.partial(self._backlog_ms, admitted),
            admitted.organisation,
        )
        held = self._gate_of(service.name)
        wait_ms = self._expected_wait_ms(service.name, held)
        if turns.is_hopeless(waiter, wait_ms):
            return self._overloaded(admitted, wait_ms)
        passed = await held.wait(waiter)
        if passed.passes:
            return None
        return self._overloaded(admitted, wait_ms)

    def _overloaded(
        self,
        admitted: admission.Admitted,
        wait_ms: float,
    ) -> failures.Failure:
        now = clock.monotonic_seconds()
        LOGGER.info(
            'no turn in time',
            extra={
                'request_id': admitted.terms.attempt,
                'expected_wait_ms': int(wait_ms),
                'waited_ms': int(
                    (now - admitted.request.received_at)
                    * MILLISECONDS_PER_SECOND,
                ),
            },
        )
        return failures.NoPlace(
            'too much waits for the upstreams',
            retry_after_seconds=self.rng.uniform(RETRY_MOST, 1)
            * max(wait_ms / MILLISECONDS_PER_SECOND, RETRY_MOST),
        )

    def _rivals_of(
        self,
        admitted: admission.Admitted,
        *,
        is_long: bool,
    ) -> list[document.Route]:
        """Return the routes whose requests go to the same upstreams."""
        service = admitted.service.name
        separated = self._writing_count(service) > 0
        return [
            route
            for route in self.table.document.routes
            if any(share.service == service for share in route.shares)
            and not (
                separated
                and self.writes_long.get(route.name, is_long) != is_long
            )
        ]

    def _writing_count(self, service: str) -> int:
        known = self.table.services.get(service)
        if known is None or known.engine is None:
            return 0
        now = clock.monotonic_seconds()
        candidates = self.pool.of_service(service)
        open_answers = self._long_answers(service)
        open_answers.note(
            sum(
                upstream.long_answers + self.other_loads.long[upstream.id]
                for upstream in candidates
            ),
            now,
        )
        return separation.count_for_writing(
            open_answers.recent(now),
            known.engine.slots,
            len(candidates),
        )

    def _gate_of(self, service: str) -> gate.Gate:
        if service not in self.gates:
            self.gates[service] = gate.Gate()
        return self.gates[service]

    def _backlog_ms(self, admitted: admission.Admitted) -> float:
        """Return how much is left to read where a request would go now."""
        choice = self._choose(
            admitted,
            frozenset(),
            clock.monotonic_seconds(),
        )
        tokens = choice.backlog_tokens if choice else 0
        return self._rate_of(admitted.service.name).ms_for(tokens)

    def _expected_wait_ms(self, service: str, held: gate.Gate) -> float:
        """Estimate how long a request that comes now would wait."""
        waiting = held.queue.tokens() * max(self.entry_count(), 1)
        engines = max(len(self.pool.of_service(service)), 1)
        return self._rate_of(service).ms_for(waiting / engines)

    def _rate_of(self, service: str) -> turns.ReadingRate:
        if service not in self.rates:
            self.rates[service] = turns.ReadingRate()
        return self.rates[service]

    def record_response_start(
        self,
        admitted: admission.Admitted,
        choice: placement.Choice,
        tokens: int,
        seconds: float,
    ) -> None:
        """Note how long an upstream took to begin its answer."""
        if admitted.service.engine is not None:
            rate = self._rate_of(admitted.service.name)
            rate.note(choice.backlog_tokens + tokens, seconds)

    def place(
        self,
        admitted: admission.Admitted,
        tried: frozenset[str],
        now: float,
    ) -> placement.Choice | None:
        """Choose an upstream, if what is held here is still in force."""
        if not self.holder.may_serve(now):
            return None
        choice = self._choose(admitted, tried, now)
        if choice is not None:
            LOGGER.info(
                'request placed',
                extra={
                    'request_id': admitted.terms.attempt,
                    'upstream': choice.upstream.id,
                    'cost': round(choice.cost, 1),
                    'missing_tokens': choice.missing_tokens,
                    'candidates': choice.candidates,
                    'home': choice.is_home,
                    'fetch_from': choice.fetch_from and choice.fetch_from.id,
                    'tokens': admitted.terms.prompt_tokens,
                    'output_tokens': admitted.terms.output_tokens,
                    'version': admitted.version,
                    'waited_ms': int(
                        (now - admitted.request.received_at)
                        * MILLISECONDS_PER_SECOND,
                    ),
                    'proof_age_ms': int(
                        (now - self.holder.fresh_as_of)
                        * MILLISECONDS_PER_SECOND,
                    ),
                },
            )
        return choice

    def _choose(
        self,
        admitted: admission.Admitted,
        tried: frozenset[str],
        now: float,
    ) -> placement.Choice | None:
        candidates = self.pool.of_service(admitted.service.name)
        return self.placer.choose(
            self._wanted(admitted, candidates),
            candidates,
            tried,
            now,
        )

    def _wanted(
        self,
        admitted: admission.Admitted,
        candidates: list[upstreams.Upstream],
    ) -> placement.Wanted:
        engine = admitted.service.engine
        asked = admitted.terms
        if engine is None:
            return placement.Wanted(
                (),
                '',
                self.data_centre,
                is_engine=False,
                others_open=self.other_loads.open,
            )
        count = self._writing_count(admitted.service.name)
        return placement.Wanted(
            parts=asked.parts,
            session=asked.session,
            data_centre=self.data_centre,
            is_engine=True,
            writes_long=separation.writes_long(asked),
            for_writing=separation.for_writing(candidates, count),
            others_reading=self.other_loads.reading,
            others_open=self.other_loads.open,
            others_long=self.other_loads.long,
            may_fetch=placement.may_fetch(
                engine.token_bytes,
                engine.link_mbps,
            ),
        )

    def _long_answers(self, name: str) -> separation.OpenAnswers:
        if name not in self.long_answers:
            self.long_answers[name] = separation.OpenAnswers()
        return self.long_answers[name]

    def retry_budget(self, service: str, now: float) -> budget.Budget:
        """Return the budget for repeats of a service."""
        if service not in self.budgets:
            self.budgets[service] = budget.Budget(self.retry_bounds, now)
        return self.budgets[service]

    def entry_count(self) -> int:
        """Return how many processes share a budget."""
        return sum(
            known.role == membership_pb2.Role.ENTRY
            for known in self.holder.processes.values()
        )

    def count_started_request(
        self, admitted: admission.Admitted, now: float
    ) -> None:
        """Count that a request has begun to run."""
        self.usage.count(admitted.organisation, now)

    def record_prompt_read(
        self,
        upstream: upstreams.Upstream,
        admitted: admission.Admitted,
    ) -> None:
        """Note that an upstream has read a request's prompt."""
        self.pool.note_read(upstream, admitted.terms.parts)

    def retry_after_seconds(
        self, admitted: admission.Admitted, now: float
    ) -> float:
        """Return when a refused caller should come back, in seconds."""
        return self.rng.uniform(RETRY_LEAST, RETRY_MOST)
