"""Turn announcements into orders, and withdraw what became wrong."""

import pytest

from cranberryrill.authority import authority_pb2, intents
from cranberryrill.configuration import document, state
from cranberryrill.membership import directory, membership_pb2
from cranberryrill.provisioning import autoscaler, planner
from cranberryrill.state import commands_pb2

TARGET = 'wobble'
START_UP_SECONDS = 30
UNIX_MS = 1_000_000


def announced(name: str, running: int = 0, leaving: bool = False) -> bytes:
    announcement = membership_pb2.Announcement(
        process=name,
        role=membership_pb2.Role.AGENT,
        data_centre='dc-1',
        offer=membership_pb2.Offer(target=TARGET, slots=8),
        load=membership_pb2.Load(running=running),
        leaving=leaving,
    )
    return announcement.SerializeToString()


class Plans:
    """Hold a plan and what it is made on."""

    def __init__(self, *announcements: bytes) -> None:
        self.directory = directory.Directory(0)
        for content in announcements:
            announcement = membership_pb2.Announcement.FromString(content)
            self.directory.record(announcement, 'control-0', 0)
        held = state.ConfigurationState()
        rule = document.UpstreamRule(
            name='rule',
            target=TARGET,
            data_centre='dc-1',
            least=1,
            most=3,
        )
        change = commands_pb2.ObjectChange(
            kind='upstream_rules',
            name=rule.name,
            json=document.encode('upstream_rules', rule),
        )
        held.configuration.update(1, [change], [])
        self.orders = intents.AuthorityState()
        self.planner = planner.Planner(
            self.directory,
            held,
            self.orders,
            autoscaler.ScalingParameters(start_up_seconds=START_UP_SECONDS),
        )

    def settled(self, unix_ms: int = UNIX_MS) -> list[authority_pb2.Intent]:
        """Plan once a second until the plan counts, and return it."""
        seconds = int(planner.SETTLE_SECONDS)
        for second in range(seconds):
            assert not self.planner.plan(second, unix_ms)
        return list(self.planner.plan(seconds, unix_ms))

    def place(self, intent: authority_pb2.Intent) -> authority_pb2.Intent:
        """Commit an order."""
        placing = authority_pb2.PlaceIntent(intent=intent)
        self.orders.apply(
            commands_pb2.Command(place_intent=placing), 1, UNIX_MS
        )
        return self.orders.open[self.orders.next_number - 1]


def stop(name: str) -> authority_pb2.Intent:
    return authority_pb2.Intent(
        kind=authority_pb2.STOP_UPSTREAM,
        target=TARGET,
        data_centre='dc-1',
        upstream=name,
    )


def test_a_start_in_progress_is_not_ordered_again() -> None:
    plans = Plans()
    planned = plans.settled()
    assert [intent.kind for intent in planned] == [authority_pb2.START_UPSTREAM]
    number = plans.place(planned[0]).number
    assert not plans.planner.plan(11, UNIX_MS)
    ending = authority_pb2.EndIntent(number=number, status=202)
    plans.orders.apply(commands_pb2.Command(end_intent=ending), 2, UNIX_MS)
    assert not plans.planner.plan(12, UNIX_MS + 29_000)
    # Whatever was ordered is not coming any more.
    assert plans.planner.plan(13, UNIX_MS + 31_000)


def test_a_holder_that_was_away_settles_again() -> None:
    plans = Plans()
    assert plans.settled()
    assert not plans.planner.plan(60, UNIX_MS)


@pytest.mark.parametrize(
    ('announcements', 'wanted'),
    [
        ((announced('a'), announced('b', 3)), True),
        ((announced('a', 3),), False),
        ((announced('a'),), True),
        ((announced('a', 3, leaving=True),), True),
        ((announced('a'), announced('b', 3, leaving=True)), False),
    ],
)
def test_the_last_one_with_demand_is_kept(
    announcements: tuple[bytes, ...],
    wanted: bool,
) -> None:
    plans = Plans(*announcements)
    intent = plans.place(stop('a'))
    assert plans.planner.is_still_needed(intent) is wanted
