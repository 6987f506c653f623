"""Departures are replicated once for each incarnation, and are bounded."""

from cranberryrill.registry import departures, registry_pb2
from cranberryrill.state import commands_pb2


def departure(
    name: str = 'u1', *, started: int = 1000, removed: bool = True
) -> registry_pb2.RecordDeparture:
    return registry_pb2.RecordDeparture(
        registration=registry_pb2.Registration(
            id=name, started_unix_ms=started
        ),
        removed=removed,
    )


class Recorded:
    """State of departures, and the list of those that were taken."""

    def __init__(self) -> None:
        self.taken: list[registry_pb2.RecordDeparture] = []
        self.state = departures.DeparturesState(self.register)

    def register(
        self, departed: registry_pb2.RecordDeparture, unix_ms: int
    ) -> bool:
        self.taken.append(departed)
        return True

    def apply(self, recorded: registry_pb2.RecordDeparture) -> None:
        command = commands_pb2.Command(record_departure=recorded)
        self.state.apply(command, 1, 0)


def test_departure_is_taken_once() -> None:
    recorded = Recorded()
    recorded.apply(departure())
    recorded.apply(departure())
    assert len(recorded.taken) == 1
    assert recorded.state.covers(departure())


def test_end_follows_leaving_but_not_the_other_way_round() -> None:
    recorded = Recorded()
    recorded.apply(departure(removed=False))
    assert not recorded.state.covers(departure(removed=True))
    recorded.apply(departure(removed=True))
    recorded.apply(departure(removed=False))
    assert [one.removed for one in recorded.taken] == [False, True]


def test_next_start_under_the_same_id_may_depart_again() -> None:
    recorded = Recorded()
    recorded.apply(departure(started=1000))
    assert not recorded.state.covers(departure(started=2000))
    recorded.apply(departure(started=2000))
    recorded.apply(departure(started=1000))
    assert len(recorded.taken) == 2


def test_only_the_newest_departures_are_kept() -> None:
    recorded = Recorded()
    for number in range(departures.MAX_DEPARTURES + 5):
        recorded.apply(departure(f'u{number}'))
    assert len(recorded.state.by_id) == departures.MAX_DEPARTURES
    assert 'u4' not in recorded.state.by_id
    assert 'u5' in recorded.state.by_id


def test_snapshot_restores_the_departures() -> None:
    # Failed when a restarted member took a late heartbeat for a new upstream.
    recorded = Recorded()
    recorded.apply(departure('u1'))
    recorded.apply(departure('u2', removed=False))
    restored = Recorded()
    restored.state.load(recorded.state.dump())
    assert restored.state.dump() == recorded.state.dump()
    assert [one.registration.id for one in restored.taken] == ['u1', 'u2']
