"""Turn what the directory announces into orders to the platform."""

from collections import abc

from cranberryrill.authority import authority_pb2, intents
from cranberryrill.configuration import document, state
from cranberryrill.membership import directory, membership_pb2
from cranberryrill.provisioning import deciding

MILLISECONDS_PER_SECOND = 1000
# A holder that has just begun places nothing for so many seconds.
SETTLE_SECONDS = 10.0
# After a pause of so many seconds, planning begins anew.
LONGEST_PAUSE = 2.0


class Planning:
    """Plan orders from the newest state of this member."""

    def __init__(
        self,
        known: directory.Directory,
        held: state.ConfigurationState,
        orders: intents.AuthorityState,
        pace: deciding.Pace,
    ) -> None:
        self.directory = known
        self.state = held
        self.orders = orders
        self.pace = pace
        self.policy = deciding.Policy(pace)
        self.settle_seconds = min(SETTLE_SECONDS, pace.start_up_seconds)
        self.planning_since = float('-inf')
        self.planned_at = float('-inf')

    def plan(
        self,
        now: float,
        unix_ms: int,
    ) -> abc.Sequence[authority_pb2.Intent]:
        """Return the orders to place now; `now` is monotonic seconds."""
        if now > self.planned_at + LONGEST_PAUSE:
            self.planning_since = now
        self.planned_at = now
        decided = self.policy.decide(self._view(unix_ms), now)
        # A new holder's directory may lack upstreams that do run.
        if now < self.planning_since + self.settle_seconds:
            return []
        return [_intent(decision) for decision in decided]

    def is_still_needed(self, intent: authority_pb2.Intent) -> bool:
        """Say whether an upstream may still be stopped.

        Once it takes no work any more, keeping it helps nobody; before that,
        it may have become the last one of a target with demand.
        """
        upstreams = self._upstreams()
        view = deciding.View((), upstreams, {})
        chosen = [one for one in upstreams if one.name == intent.upstream]
        if any(one.leaving for one in chosen) or not chosen:
            return True
        others = [
            one
            for one in view.active(intent.target)
            if one.name != intent.upstream
        ]
        return bool(others) or not view.demand(intent.target)

    def _view(self, unix_ms: int) -> deciding.View:
        rules = self.state.configuration.list_all(
            document.UpstreamRule,
            'upstream_rules',
        )
        started_after = unix_ms - (
            self.pace.start_up_seconds * MILLISECONDS_PER_SECOND
        )
        recent = [
            intent
            for intent in self.orders.ended
            if intent.ended_unix_ms >= started_after
        ]
        return deciding.View(
            rules=rules,
            upstreams=self._upstreams(),
            expected=_expected([*self.orders.open.values(), *recent]),
            stopping={
                intent.upstream
                for intent in self.orders.open.values()
                if intent.kind == authority_pb2.STOP_UPSTREAM
            },
        )

    def _upstreams(self) -> list[deciding.Upstream]:
        return [
            deciding.Upstream(
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


def _expected(
    orders: abc.Iterable[authority_pb2.Intent],
) -> dict[deciding.Place, int]:
    expected: dict[deciding.Place, int] = {}
    for intent in orders:
        if intent.kind == authority_pb2.START_UPSTREAM:
            place = (intent.target, intent.data_centre)
            expected[place] = max(expected.get(place, 0), intent.expected)
    return expected


def _intent(decision: deciding.Decision) -> authority_pb2.Intent:
    if isinstance(decision, deciding.Start):
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
