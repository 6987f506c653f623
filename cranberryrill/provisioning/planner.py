"""Plan the platform orders that start and stop upstreams."""

from collections import abc

from cranberryrill.authority import authority_pb2, intents
from cranberryrill.configuration import document, state
from cranberryrill.membership import directory, membership_pb2
from cranberryrill.provisioning import autoscaler

MILLISECONDS_PER_SECOND = 1000
# A new holder of authority places no orders for this long, because its
# directory may still lack upstreams that run.
SETTLE_SECONDS = 10.0
# After a longer gap between two plans, the settling time starts again.
MAX_PLAN_GAP_SECONDS = 2.0


class Planner:
    """Compute orders from this member's directory, rules and open orders."""

    def __init__(
        self,
        process_directory: directory.Directory,
        configuration_state: state.ConfigurationState,
        orders: intents.AuthorityState,
        parameters: autoscaler.ScalingParameters,
    ) -> None:
        self.directory = process_directory
        self.state = configuration_state
        self.orders = orders
        self.parameters = parameters
        self.policy = autoscaler.Policy(parameters)
        self.settle_seconds = min(SETTLE_SECONDS, parameters.start_up_seconds)
        self.settling_since = float('-inf')
        self.planned_at = float('-inf')

    def plan(
        self,
        now: float,
        unix_ms: int,
    ) -> abc.Sequence[authority_pb2.Intent]:
        """Return the orders to place at `now`, in monotonic seconds.

        Empty until plans have been computed throughout the settling time,
        with no gap above `MAX_PLAN_GAP_SECONDS`. `unix_ms` is the wall-clock
        time; it decides which ended start orders are recent.
        """
        if now > self.planned_at + MAX_PLAN_GAP_SECONDS:
            self.settling_since = now
        self.planned_at = now
        decisions = self.policy.decide(self._fleet_state(unix_ms), now)
        if now < self.settling_since + self.settle_seconds:
            return []
        return [_to_intent(decision) for decision in decisions]

    def is_still_needed(self, intent: authority_pb2.Intent) -> bool:
        """Return whether the upstream of a stop order may still be stopped.

        True once it accepts no work or is gone, since keeping it has no use.
        False if it has become the last active upstream of a target with
        demand.
        """
        upstreams = self._upstreams()
        fleet_state = autoscaler.FleetState((), upstreams, {})
        stopped = [
            upstream
            for upstream in upstreams
            if upstream.name == intent.upstream
        ]
        if any(upstream.leaving for upstream in stopped) or not stopped:
            return True
        others = [
            upstream
            for upstream in fleet_state.active(intent.target)
            if upstream.name != intent.upstream
        ]
        return bool(others) or not fleet_state.demand(intent.target)

    def _fleet_state(self, unix_ms: int) -> autoscaler.FleetState:
        rules = self.state.configuration.list_all(
            document.UpstreamRule,
            'upstream_rules',
        )
        # The upstream of a start order that ended within the start-up time may
        # not have announced itself yet.
        oldest_unix_ms = unix_ms - (
            self.parameters.start_up_seconds * MILLISECONDS_PER_SECOND
        )
        recent = [
            intent
            for intent in self.orders.ended
            if intent.ended_unix_ms >= oldest_unix_ms
        ]
        return autoscaler.FleetState(
            rules=rules,
            upstreams=self._upstreams(),
            expected=_expected_counts([*self.orders.open.values(), *recent]),
            stopping={
                intent.upstream
                for intent in self.orders.open.values()
                if intent.kind == authority_pb2.STOP_UPSTREAM
            },
        )

    def _upstreams(self) -> list[autoscaler.Upstream]:
        return [
            autoscaler.Upstream(
                name=announcement.process,
                target=announcement.offer.target,
                data_centre=announcement.data_centre,
                slots=announcement.offer.slots,
                price_micros_per_hour=announcement.offer.price_micros_per_hour,
                running=announcement.load.running,
                waiting=announcement.load.waiting,
                leaving=announcement.leaving,
            )
            for announcement in self.directory.announcements().values()
            if announcement.role == membership_pb2.Role.AGENT
        ]


def _expected_counts(
    orders: abc.Iterable[authority_pb2.Intent],
) -> dict[autoscaler.PoolKey, int]:
    expected: dict[autoscaler.PoolKey, int] = {}
    for intent in orders:
        if intent.kind == authority_pb2.START_UPSTREAM:
            pool = (intent.target, intent.data_centre)
            expected[pool] = max(expected.get(pool, 0), intent.expected)
    return expected


def _to_intent(decision: autoscaler.Decision) -> authority_pb2.Intent:
    if isinstance(decision, autoscaler.Start):
        return authority_pb2.Intent(
            kind=authority_pb2.START_UPSTREAM,
            target=decision.target,
            data_centre=decision.data_centre,
            expected=decision.expected,
        )
    return authority_pb2.Intent(
        kind=authority_pb2.STOP_UPSTREAM,
        target=decision.upstream.target,
        data_centre=decision.upstream.data_centre,
        upstream=decision.upstream.name,
    )
