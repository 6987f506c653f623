"""Plan orders from announcements, and withdraw stops no longer allowed."""

import pytest

from cranberryrill.authority import authority_pb2, intents
from cranberryrill.configuration import document, state
from cranberryrill.membership import directory, membership_pb2
from cranberryrill.provisioning import autoscaler, planner
from cranberryrill.state import commands_pb2

TARGET = 'wobble'
START_UP_SECONDS = 30
UNIX_MS = 1_000_000


def encoded_announcement(
    name: str, running: int = 0, leaving: bool = False
) -> bytes:
    announcement = membership_pb2.Announcement(
        process=name,
        role=membership_pb2.Role.AGENT,
        data_centre='dc-1',
        offer=membership_pb2.Offer(target=TARGET, slots=8),
        load=membership_pb2.Load(running=running),
        leaving=leaving,
    )
    return announcement.SerializeToString()


class PlannerFixture:
    """A planner with its directory, one rule and the open orders."""

    def __init__(self, *announcements: bytes) -> None:
        self.directory = directory.Directory(0)
        for content in announcements:
            announcement = membership_pb2.Announcement.FromString(content)
            self.directory.record(announcement, 'control-0', 0)
        configuration_state = state.ConfigurationState()
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
        configuration_state.configuration.update(1, [change], [])
        self.orders = intents.AuthorityState()
        self.planner = planner.Planner(
            self.directory,
            configuration_state,
            self.orders,
            autoscaler.ScalingParameters(start_up_seconds=START_UP_SECONDS),
        )

    def plan_when_settled(
        self, unix_ms: int = UNIX_MS
    ) -> list[authority_pb2.Intent]:
        """Plan each second of the settling time and return the first orders."""
        seconds = int(planner.SETTLE_SECONDS)
        for second in range(seconds):
            assert not self.planner.plan(second, unix_ms)
        return list(self.planner.plan(seconds, unix_ms))

    def place(self, intent: authority_pb2.Intent) -> authority_pb2.Intent:
        """Apply an order to the log state and return it."""
        placed = authority_pb2.PlaceIntent(intent=intent)
        self.orders.apply(commands_pb2.Command(place_intent=placed), 1, UNIX_MS)
        return self.orders.open[self.orders.next_number - 1]


def stop_order(name: str) -> authority_pb2.Intent:
    return authority_pb2.Intent(
        kind=authority_pb2.STOP_UPSTREAM,
        target=TARGET,
        data_centre='dc-1',
        upstream=name,
    )


def test_start_in_progress_is_not_ordered_again() -> None:
    fixture = PlannerFixture()
    planned = fixture.plan_when_settled()
    assert [intent.kind for intent in planned] == [authority_pb2.START_UPSTREAM]
    number = fixture.place(planned[0]).number
    assert not fixture.planner.plan(11, UNIX_MS)
    ended = authority_pb2.EndIntent(number=number, status=202)
    fixture.orders.apply(commands_pb2.Command(end_intent=ended), 2, UNIX_MS)
    assert not fixture.planner.plan(12, UNIX_MS + 29_000)
    # The start-up time has passed without an announcement, so it is ordered
    # again.
    assert fixture.planner.plan(13, UNIX_MS + 31_000)


def test_planner_settles_again_after_a_gap() -> None:
    fixture = PlannerFixture()
    assert fixture.plan_when_settled()
    assert not fixture.planner.plan(60, UNIX_MS)


@pytest.mark.parametrize(
    ('announcements', 'needed'),
    [
        ((encoded_announcement('a'), encoded_announcement('b', 3)), True),
        ((encoded_announcement('a', 3),), False),
        ((encoded_announcement('a'),), True),
        ((encoded_announcement('a', 3, leaving=True),), True),
        (
            (
                encoded_announcement('a'),
                encoded_announcement('b', 3, leaving=True),
            ),
            False,
        ),
    ],
)
def test_last_upstream_with_demand_is_kept(
    announcements: tuple[bytes, ...],
    needed: bool,
) -> None:
    fixture = PlannerFixture(*announcements)
    intent = fixture.place(stop_order('a'))
    assert fixture.planner.is_still_needed(intent) is needed
