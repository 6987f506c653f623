"""Specify leases, votes and orders, and search for two holders.

Three members with clocks that drift within a bound exchange heartbeats and
votes; messages are delayed for any time or lost; members restart. The search
covers every trace of up to a given number of steps: time is real, so a step
may follow the last one after any pause.
"""

import dataclasses
import typing

import z3

MEMBERS = range(3)
MAX_DRIFT = z3.Q(1, 10)
LEASE = z3.RealVal(10)
SEND_DEADLINE = z3.RealVal(4)
NEVER = z3.RealVal(-1000)
Bool = typing.Any
Real = typing.Any
Pair = tuple[int, int]


@dataclasses.dataclass(frozen=True)
class Rules:
    """Name the rules of the protocol, each of which can be taken out."""

    # A lease counts from the sending of the round that proved it.
    lease_from_send_time: bool = True
    # The holder cuts its lease short, and the next one waits longer, by the
    # drift.
    drift_margin: bool = True
    # The lease is checked in the step that sends.
    check_before_send: bool = True
    # The lease covers all of an order's time.
    lease_covers_send: bool = True
    # A new holder waits until the old one's lease must have run out.
    quiet_period: bool = True
    # An order that is not through by its deadline is given up.
    send_deadline: bool = True
    # A member that sees a higher term stops leading.
    step_down: bool = True
    # A member votes once in a term, also after a restart.
    durable_vote: bool = True
    # Two of three members must confirm a lease.
    majority_lease: bool = True


@dataclasses.dataclass(frozen=True)
class State:
    """Hold the members' variables after a step."""

    term: tuple[Real, ...]
    voted: tuple[Real, ...]
    leads: tuple[Bool, ...]
    stands: tuple[Bool, ...]
    led_since: tuple[Real, ...]
    grants: dict[Pair, Bool]
    confirmed: dict[Pair, Real]
    # 0: no round under way, 1: on its way, 2: on its way back.
    round_stage: dict[Pair, Real]
    round_term: dict[Pair, Real]
    round_sent: dict[Pair, Real]
    sent: tuple[Bool, ...]
    sent_term: tuple[Real, ...]
    sent_until: tuple[Real, ...]


@dataclasses.dataclass(frozen=True)
class Event:
    """Name one thing that can happen, when, and what it changes."""

    name: str
    guard: Bool
    changes: dict[str, dict[typing.Any, typing.Any]]
    violation: Bool = False


PAIRS = tuple((near, far) for near in MEMBERS for far in MEMBERS if near != far)


def initial_state() -> State:
    """Return a state in which member 0 has led for long."""
    zero = z3.RealVal(0)
    one = z3.RealVal(1)
    false = z3.BoolVal(False)
    return State(
        term=(one, zero, one),
        voted=(one, zero, one),
        leads=(z3.BoolVal(True), false, false),
        stands=(false, false, false),
        led_since=(NEVER, NEVER, NEVER),
        grants=dict.fromkeys(PAIRS, false),
        confirmed={pair: zero if pair == (0, 2) else NEVER for pair in PAIRS},
        round_stage=dict.fromkeys(PAIRS, zero),
        round_term=dict.fromkeys(PAIRS, zero),
        round_sent=dict.fromkeys(PAIRS, zero),
        sent=(false, false, false),
        sent_term=(zero, zero, zero),
        sent_until=(NEVER, NEVER, NEVER),
    )


class Protocol:
    """Say which events a state allows under a set of rules."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules
        margin = MAX_DRIFT if rules.drift_margin else z3.RealVal(0)
        self.holder_lease = LEASE * (1 - margin)
        self.quiet = LEASE * (1 + margin)

    def events(self, state: State, clock: tuple[Real, ...]) -> list[Event]:
        """Return everything that can happen next."""
        happening = []
        for member in MEMBERS:
            happening.append(self.stand(state, clock, member))
            happening.append(self.lead(state, clock, member))
            happening.append(self.restart(state, clock, member))
            happening.append(self.send(state, clock, member))
        for pair in PAIRS:
            happening.append(self.heartbeat(state, clock, pair))
            happening.append(self.hear(state, clock, pair))
            happening.append(self.confirm(state, clock, pair))
            happening.append(self.grant(state, clock, pair))
        return happening

    def stand(
        self,
        state: State,
        clock: tuple[Real, ...],
        member: int,
    ) -> Event:
        """Let a member stand for election in a new term."""
        term = state.term[member] + 1
        return Event(
            name=f'{member} stands',
            guard=z3.Not(state.leads[member]),
            changes={
                'term': {member: term},
                'voted': {member: term},
                'stands': {member: z3.BoolVal(True)},
                'grants': {
                    pair: z3.BoolVal(False)
                    for pair in PAIRS
                    if pair[0] == member
                },
            },
        )

    def grant(
        self,
        state: State,
        clock: tuple[Real, ...],
        pair: Pair,
    ) -> Event:
        """Let `voter` vote for `candidate`, which learns of it later."""
        candidate, voter = pair
        term = state.term[candidate]
        changes: dict[str, dict[typing.Any, typing.Any]] = {
            'term': {voter: term},
            'voted': {voter: term},
            'grants': {pair: z3.BoolVal(True)},
            'stands': {voter: z3.BoolVal(False)},
        }
        if self.rules.step_down:
            changes['leads'] = {voter: z3.BoolVal(False)}
        return Event(
            name=f'{voter} votes for {candidate}',
            guard=z3.And(
                state.stands[candidate],
                state.term[voter] <= term,
                state.voted[voter] < term,
            ),
            changes=changes,
        )

    def lead(
        self,
        state: State,
        clock: tuple[Real, ...],
        member: int,
    ) -> Event:
        """Let a candidate with a majority of votes lead."""
        votes = [state.grants[pair] for pair in PAIRS if pair[0] == member]
        return Event(
            name=f'{member} leads',
            guard=z3.And(state.stands[member], z3.Or(*votes)),
            changes={
                'stands': {member: z3.BoolVal(False)},
                'leads': {member: z3.BoolVal(True)},
                'led_since': {member: clock[member]},
                'confirmed': {
                    pair: NEVER for pair in PAIRS if pair[0] == member
                },
            },
        )

    def restart(
        self,
        state: State,
        clock: tuple[Real, ...],
        member: int,
    ) -> Event:
        """Restart a member: only its ballot is left."""
        changes: dict[str, dict[typing.Any, typing.Any]] = {
            'leads': {member: z3.BoolVal(False)},
            'stands': {member: z3.BoolVal(False)},
        }
        if not self.rules.durable_vote:
            changes['voted'] = {member: z3.RealVal(0)}
        return Event(f'{member} restarts', z3.BoolVal(True), changes)

    def heartbeat(
        self,
        state: State,
        clock: tuple[Real, ...],
        pair: Pair,
    ) -> Event:
        """Send a round to a peer; one that was under way is lost."""
        leader = pair[0]
        return Event(
            name=f'{leader} sends a heartbeat to {pair[1]}',
            guard=state.leads[leader],
            changes={
                'round_stage': {pair: z3.RealVal(1)},
                'round_term': {pair: state.term[leader]},
                'round_sent': {pair: clock[leader]},
            },
        )

    def hear(
        self,
        state: State,
        clock: tuple[Real, ...],
        pair: Pair,
    ) -> Event:
        """Let the peer take the heartbeat and answer it."""
        peer = pair[1]
        term = state.round_term[pair]
        changes: dict[str, dict[typing.Any, typing.Any]] = {
            'round_stage': {pair: z3.RealVal(2)},
            'term': {peer: term},
            'stands': {peer: z3.BoolVal(False)},
        }
        if self.rules.step_down:
            changes['leads'] = {peer: z3.BoolVal(False)}
        return Event(
            name=f'{peer} hears {pair[0]}',
            guard=z3.And(
                state.round_stage[pair] == 1,
                term >= state.term[peer],
            ),
            changes=changes,
        )

    def confirm(
        self,
        state: State,
        clock: tuple[Real, ...],
        pair: Pair,
    ) -> Event:
        """Let the leader take the peer's answer."""
        leader = pair[0]
        moment = clock[leader]
        if self.rules.lease_from_send_time:
            moment = state.round_sent[pair]
        return Event(
            name=f'{leader} is confirmed by {pair[1]}',
            guard=z3.And(
                state.round_stage[pair] == 2,
                state.leads[leader],
                state.round_term[pair] == state.term[leader],
            ),
            changes={
                'round_stage': {pair: z3.RealVal(0)},
                'confirmed': {pair: moment},
            },
        )

    def holds_lease(
        self,
        state: State,
        clock: tuple[Real, ...],
        member: int,
    ) -> Bool:
        """Say whether the member's lease covers what it sends."""
        if not self.rules.majority_lease:
            return z3.BoolVal(True)
        until = clock[member]
        if self.rules.lease_covers_send:
            until += SEND_DEADLINE
        return z3.Or(
            *(
                until < state.confirmed[pair] + self.holder_lease
                for pair in PAIRS
                if pair[0] == member
            ),
        )

    def send(
        self,
        state: State,
        clock: tuple[Real, ...],
        member: int,
    ) -> Event:
        """Send an order to the platform under the member's term."""
        conditions = [state.leads[member]]
        if self.rules.check_before_send:
            conditions.append(self.holds_lease(state, clock, member))
        if self.rules.quiet_period:
            since = state.led_since[member]
            conditions.append(clock[member] >= since + self.quiet)
        conflicts = [
            self.conflicts(state, clock, member, other)
            for other in MEMBERS
            if other != member
        ]
        return Event(
            name=f'{member} sends an order',
            guard=z3.And(*conditions),
            changes={
                'sent': {member: z3.BoolVal(True)},
                'sent_term': {member: state.term[member]},
                'sent_until': {member: clock[member] + SEND_DEADLINE},
            },
            violation=z3.Or(*conflicts),
        )

    def conflicts(
        self,
        state: State,
        clock: tuple[Real, ...],
        member: int,
        other: int,
    ) -> Bool:
        """Say whether the platform can see two holders interleaved."""
        # The other one's order was sent under a newer term, or the same one,
        newer = state.sent_term[other] >= state.term[member]
        # or under an older one and can still arrive after this one.
        flying = z3.BoolVal(True)
        if self.rules.send_deadline:
            flying = clock[other] <= state.sent_until[other]
        older = z3.And(state.sent_term[other] < state.term[member], flying)
        return z3.And(state.sent[other], z3.Or(newer, older))
