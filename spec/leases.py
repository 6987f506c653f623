"""Specification of leader leases, elections and orders in z3 terms.

Three members exchange heartbeats and votes. Their clocks drift within a bound,
messages can be lost or delayed for any time, and members can restart. Time is
a real number, so any time can pass between two steps. A trace breaks safety if
orders of two holders can interleave at the platform; `spec.search` looks for
such traces.
"""

import dataclasses
import typing

import z3

MEMBERS = range(3)
# Fraction by which a clock may run faster or slower than real time.
MAX_DRIFT = z3.Q(1, 10)
# Times share one arbitrary unit.
LEASE_DURATION = z3.RealVal(10)
SEND_TIMEOUT = z3.RealVal(4)
# A clock reading long before the start of every trace.
NEVER = z3.RealVal(-1000)
# z3 terms, which carry no types.
Bool = typing.Any
Real = typing.Any
# (leader, peer) of a heartbeat, or (candidate, voter) of a vote.
Pair = tuple[int, int]


@dataclasses.dataclass(frozen=True)
class Rules:
    """Rules of the protocol, each of which the search can disable."""

    # A lease starts when the heartbeat that it is based on was sent, not when
    # the response arrives.
    lease_from_send_time: bool = True
    # The holder shortens its lease by the maximum drift, and a new holder
    # extends its quiet period by it.
    drift_margin: bool = True
    # The lease is checked in the same step that sends an order.
    check_before_send: bool = True
    # The lease must cover the whole time in which an order can be in transit.
    lease_covers_send: bool = True
    # A new holder waits until the previous holder's lease has certainly
    # expired.
    quiet_period: bool = True
    # An order that isn't delivered by its deadline is abandoned.
    send_deadline: bool = True
    # A member that sees a higher term stops leading.
    step_down: bool = True
    # A member votes once per term, even if it restarts.
    durable_vote: bool = True
    # Two of three members must confirm a lease.
    majority_lease: bool = True


@dataclasses.dataclass(frozen=True)
class State:
    """Variables of all members after a step, by member or by pair."""

    term: tuple[Real, ...]
    voted_term: tuple[Real, ...]
    is_leader: tuple[Bool, ...]
    is_candidate: tuple[Bool, ...]
    leader_since: tuple[Real, ...]
    votes: dict[Pair, Bool]
    # The leader's clock reading from which the peer's confirmation counts.
    confirmed_at: dict[Pair, Real]
    # Heartbeat round: 0 none, 1 request in transit, 2 response in transit.
    round_stage: dict[Pair, Real]
    round_term: dict[Pair, Real]
    round_sent_at: dict[Pair, Real]
    order_sent: tuple[Bool, ...]
    order_term: tuple[Real, ...]
    order_deadline: tuple[Real, ...]


@dataclasses.dataclass(frozen=True)
class Event:
    """Possible transition: its guard and the variables that it changes.

    `changes` maps the name of a `State` field to new values by member or pair.
    `violation` is the condition under which the event breaks safety.
    """

    name: str
    guard: Bool
    changes: dict[str, dict[typing.Any, typing.Any]]
    violation: Bool = False


PAIRS = tuple(
    (first, second)
    for first in MEMBERS
    for second in MEMBERS
    if first != second
)


def initial_state() -> State:
    """Return a state in which member 0 has long been leader.

    Member 2 has just confirmed the leader's lease; member 1 is still in an
    older term.
    """
    zero = z3.RealVal(0)
    one = z3.RealVal(1)
    false = z3.BoolVal(False)
    return State(
        term=(one, zero, one),
        voted_term=(one, zero, one),
        is_leader=(z3.BoolVal(True), false, false),
        is_candidate=(false, false, false),
        leader_since=(NEVER, NEVER, NEVER),
        votes=dict.fromkeys(PAIRS, false),
        confirmed_at={
            pair: zero if pair == (0, 2) else NEVER for pair in PAIRS
        },
        round_stage=dict.fromkeys(PAIRS, zero),
        round_term=dict.fromkeys(PAIRS, zero),
        round_sent_at=dict.fromkeys(PAIRS, zero),
        order_sent=(false, false, false),
        order_term=(zero, zero, zero),
        order_deadline=(NEVER, NEVER, NEVER),
    )


class Protocol:
    """Events that are possible under a set of rules."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules
        margin = MAX_DRIFT if rules.drift_margin else z3.RealVal(0)
        self.holder_lease = LEASE_DURATION * (1 - margin)
        self.quiet_time = LEASE_DURATION * (1 + margin)

    def events(self, state: State, clock: tuple[Real, ...]) -> list[Event]:
        """Return all events; their guards state which are possible."""
        possible = []
        for member in MEMBERS:
            possible.append(self.start_election(state, clock, member))
            possible.append(self.become_leader(state, clock, member))
            possible.append(self.restart_member(state, clock, member))
            possible.append(self.send_order(state, clock, member))
        for pair in PAIRS:
            possible.append(self.send_heartbeat(state, clock, pair))
            possible.append(self.receive_heartbeat(state, clock, pair))
            possible.append(self.receive_confirmation(state, clock, pair))
            possible.append(self.vote(state, clock, pair))
        return possible

    def start_election(
        self, state: State, clock: tuple[Real, ...], member: int
    ) -> Event:
        """Return the event in which a member starts an election."""
        term = state.term[member] + 1
        return Event(
            name=f'{member} starts an election',
            guard=z3.Not(state.is_leader[member]),
            changes={
                'term': {member: term},
                'voted_term': {member: term},
                'is_candidate': {member: z3.BoolVal(True)},
                'votes': {
                    pair: z3.BoolVal(False)
                    for pair in PAIRS
                    if pair[0] == member
                },
            },
        )

    def vote(self, state: State, clock: tuple[Real, ...], pair: Pair) -> Event:
        """Return the event in which a voter votes for a candidate.

        The candidate counts the vote in a later step.
        """
        candidate, voter = pair
        term = state.term[candidate]
        changes: dict[str, dict[typing.Any, typing.Any]] = {
            'term': {voter: term},
            'voted_term': {voter: term},
            'votes': {pair: z3.BoolVal(True)},
            'is_candidate': {voter: z3.BoolVal(False)},
        }
        if self.rules.step_down:
            changes['is_leader'] = {voter: z3.BoolVal(False)}
        return Event(
            name=f'{voter} votes for {candidate}',
            guard=z3.And(
                state.is_candidate[candidate],
                state.term[voter] <= term,
                state.voted_term[voter] < term,
            ),
            changes=changes,
        )

    def become_leader(
        self, state: State, clock: tuple[Real, ...], member: int
    ) -> Event:
        """Return the event in which a majority elects a candidate.

        Its own vote and one other are a majority of three.
        """
        received_votes = [
            state.votes[pair] for pair in PAIRS if pair[0] == member
        ]
        return Event(
            name=f'{member} becomes leader',
            guard=z3.And(state.is_candidate[member], z3.Or(*received_votes)),
            changes={
                'is_candidate': {member: z3.BoolVal(False)},
                'is_leader': {member: z3.BoolVal(True)},
                'leader_since': {member: clock[member]},
                'confirmed_at': {
                    pair: NEVER for pair in PAIRS if pair[0] == member
                },
            },
        )

    def restart_member(
        self, state: State, clock: tuple[Real, ...], member: int
    ) -> Event:
        """Return the event of a restart, which preserves only term and vote."""
        changes: dict[str, dict[typing.Any, typing.Any]] = {
            'is_leader': {member: z3.BoolVal(False)},
            'is_candidate': {member: z3.BoolVal(False)},
        }
        if not self.rules.durable_vote:
            changes['voted_term'] = {member: z3.RealVal(0)}
        return Event(f'{member} restarts', z3.BoolVal(True), changes)

    def send_heartbeat(
        self, state: State, clock: tuple[Real, ...], pair: Pair
    ) -> Event:
        """Return the event in which a leader sends a heartbeat to a peer.

        A round that is still in transit between the two is lost.
        """
        leader = pair[0]
        return Event(
            name=f'{leader} sends a heartbeat to {pair[1]}',
            guard=state.is_leader[leader],
            changes={
                'round_stage': {pair: z3.RealVal(1)},
                'round_term': {pair: state.term[leader]},
                'round_sent_at': {pair: clock[leader]},
            },
        )

    def receive_heartbeat(
        self, state: State, clock: tuple[Real, ...], pair: Pair
    ) -> Event:
        """Return the event in which a peer answers a heartbeat."""
        peer = pair[1]
        term = state.round_term[pair]
        changes: dict[str, dict[typing.Any, typing.Any]] = {
            'round_stage': {pair: z3.RealVal(2)},
            'term': {peer: term},
            'is_candidate': {peer: z3.BoolVal(False)},
        }
        if self.rules.step_down:
            changes['is_leader'] = {peer: z3.BoolVal(False)}
        return Event(
            name=f'{peer} receives the heartbeat of {pair[0]}',
            guard=z3.And(
                state.round_stage[pair] == 1, term >= state.term[peer]
            ),
            changes=changes,
        )

    def receive_confirmation(
        self, state: State, clock: tuple[Real, ...], pair: Pair
    ) -> Event:
        """Return the event in which a leader receives a peer's response."""
        leader = pair[0]
        lease_start = clock[leader]
        if self.rules.lease_from_send_time:
            lease_start = state.round_sent_at[pair]
        return Event(
            name=f'{leader} is confirmed by {pair[1]}',
            guard=z3.And(
                state.round_stage[pair] == 2,
                state.is_leader[leader],
                state.round_term[pair] == state.term[leader],
            ),
            changes={
                'round_stage': {pair: z3.RealVal(0)},
                'confirmed_at': {pair: lease_start},
            },
        )

    def has_lease(
        self, state: State, clock: tuple[Real, ...], member: int
    ) -> Bool:
        """Return the condition that a member's lease covers its next order."""
        if not self.rules.majority_lease:
            return z3.BoolVal(True)
        deadline = clock[member]
        if self.rules.lease_covers_send:
            deadline += SEND_TIMEOUT
        return z3.Or(
            *(
                deadline < state.confirmed_at[pair] + self.holder_lease
                for pair in PAIRS
                if pair[0] == member
            ),
        )

    def send_order(
        self, state: State, clock: tuple[Real, ...], member: int
    ) -> Event:
        """Return the event in which a member sends an order under its term."""
        conditions = [state.is_leader[member]]
        if self.rules.check_before_send:
            conditions.append(self.has_lease(state, clock, member))
        if self.rules.quiet_period:
            since = state.leader_since[member]
            conditions.append(clock[member] >= since + self.quiet_time)
        conflicts = [
            self.conflicts_with(state, clock, member, other)
            for other in MEMBERS
            if other != member
        ]
        return Event(
            name=f'{member} sends an order',
            guard=z3.And(*conditions),
            changes={
                'order_sent': {member: z3.BoolVal(True)},
                'order_term': {member: state.term[member]},
                'order_deadline': {member: clock[member] + SEND_TIMEOUT},
            },
            violation=z3.Or(*conflicts),
        )

    def conflicts_with(
        self, state: State, clock: tuple[Real, ...], member: int, other: int
    ) -> Bool:
        """Return the condition that the platform can see interleaved orders.

        `member` sends an order now; `other` may have sent one before.
        """
        # The other member has sent an order under the same or a newer term.
        not_older = state.order_term[other] >= state.term[member]
        # Its order from an older term can still arrive after this one.
        in_transit = z3.BoolVal(True)
        if self.rules.send_deadline:
            in_transit = clock[other] <= state.order_deadline[other]
        late = z3.And(state.order_term[other] < state.term[member], in_transit)
        return z3.And(state.order_sent[other], z3.Or(not_older, late))
