"""Turn what the directory announces into orders to the platform."""

from collections import abc

from cranberryrill.authority import authority_pb2, intents
from cranberryrill.configuration import document, state
from cranberryrill.membership import directory, membership_pb2
from cranberryrill.provisioning import autoscaler

MILLISECONDS_PER_SECOND = 1000
# A holder that has just begun places nothing for so many seconds.
SETTLE_SECONDS = 10.0
# After a pause of so many seconds, planning begins anew.
MAX_PLAN_GAP_SECONDS = 2.0


class Planner:
    """Plan orders from the newest state of this member."""

    def __init__(
        self,
        known: directory.Directory,
        serving_state: state.ConfigurationState,
        orders: intents.AuthorityState,
        parameters: autoscaler.ScalingParameters,
    ) -> None:
        self.directory = known
        self.state = serving_state
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
        """Return the orders to place now; `now` is monotonic seconds."""
        if now > self.planned_at + MAX_PLAN_GAP_SECONDS:
            self.settling_since = now
        self.planned_at = now
        decided = self.policy.decide(self._view(unix_ms), now)
        # A new holder's directory may lack upstreams that do run.
        if now < self.settling_since + self.settle_seconds:
            return []
        return [_to_intent(decision) for decision in decided]

    def is_still_needed(self, intent: authority_pb2.Intent) -> bool:
        """Say whether an upstream may still be stopped.

        Once it takes no work any more, keeping it helps nobody; before that,
        it may have become the last one of a target with demand.
        """
        upstreams = self._upstreams()
        view = autoscaler.FleetState((), upstreams, {})
        chosen = [one for one in upstreams if one.name == intent.upstream]
        if any(one.leaving for one in chosen) or not chosen:
            return True
        others = [
            one
            for one in view.active(intent.target)
            if one.name != intent.upstream
        ]
        return bool(others) or not view.demand(intent.target)

    def _view(self, unix_ms: int) -> autoscaler.FleetState:
        rules = self.state.configuration.list_all(
            document.UpstreamRule,
            'upstream_rules',
        )
        started_after = unix_ms - (
            self.parameters.start_up_seconds * MILLISECONDS_PER_SECOND
        )
        recent = [
            intent
            for intent in self.orders.ended
            if intent.ended_unix_ms >= started_after
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
            place = (intent.target, intent.data_centre)
            expected[place] = max(expected.get(place, 0), intent.expected)
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
