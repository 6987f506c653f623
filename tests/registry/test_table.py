"""Which upstreams there are, whatever the order in which they are heard."""

import random

from cranberryrill.registry import cursor, registry_pb2, table, timing

NOW = 100.0


def registration(
    name: str = 'u1',
    *,
    started: int = 1000,
    sequence: int = 1,
    port: int = 80,
    leaving: bool = False,
) -> registry_pb2.Registration:
    return registry_pb2.Registration(
        id=name,
        service='model',
        host='10.0.0.1',
        port=port,
        slots=4,
        leaving=leaving,
        started_unix_ms=started,
        sequence=sequence,
    )


def test_late_heartbeat_does_not_undo_leaving() -> None:
    held = table.RegistrationTable()
    held.record(registration(sequence=5, leaving=True), NOW)
    assert not held.record(registration(sequence=4), NOW + 1)
    assert held.registrations()['u1'].leaving


def test_ended_upstream_does_not_come_back() -> None:
    held = table.RegistrationTable()
    held.record(registration(sequence=5), NOW)
    held.remove('u1', NOW + 1)
    assert not held.record(registration(sequence=6), NOW + 2)
    assert not held.registrations()


def test_new_start_under_the_same_id_counts_anew() -> None:
    held = table.RegistrationTable()
    held.record(registration(sequence=500), NOW)
    assert held.record(registration(started=2000, sequence=1), NOW + 1)
    assert held.registrations()['u1'].started_unix_ms == 2000


def test_address_belongs_to_its_latest_holder() -> None:
    held = table.RegistrationTable()
    held.record(registration('old', started=1000), NOW)
    held.record(registration('new', started=2000), NOW + 1)
    assert set(held.registrations()) == {'new'}
    assert not held.record(
        registration('old', started=1000, sequence=9), NOW + 2
    )


def test_silent_upstream_is_dropped_and_may_return() -> None:
    held = table.RegistrationTable(heartbeat_seconds=1)
    held.record(registration(sequence=1), NOW)
    lifetime = timing.MISSED_HEARTBEATS
    assert not held.expire(NOW + lifetime - 0.1)
    assert held.expire(NOW + lifetime) == ['u1']
    assert held.record(registration(sequence=2), NOW + lifetime + 1)


def test_members_agree_in_any_order() -> None:
    heard = [
        registration('a', sequence=1),
        registration('a', sequence=2, leaving=True),
        registration('b', started=900, port=81),
        registration('c', started=950, port=81),
    ]
    results = set()
    rng = random.Random(7)
    for _ in range(20):
        first = table.RegistrationTable()
        second = table.RegistrationTable()
        for one in rng.sample(heard, len(heard)):
            first.record(one, NOW)
        for sighting in first.sightings_since(0, NOW):
            second.merge(sighting, NOW)
        assert first.registrations() == second.registrations()
        results.add(
            tuple(
                sorted(
                    (name, known.leaving)
                    for name, known in second.registrations().items()
                ),
            ),
        )
    assert results == {(('a', True), ('c', False))}


def test_watcher_is_told_of_changes_alone() -> None:
    held = table.RegistrationTable()
    reader = cursor.Cursor()
    held.record(registration(sequence=1), NOW)
    first = reader.next_update(held)
    assert first is not None and first.full
    held.record(registration(sequence=2), NOW + 1)
    assert reader.next_update(held) is None
    held.record(registration(sequence=3, leaving=True), NOW + 2)
    changed = reader.next_update(held)
    assert changed is not None and changed.present[0].leaving
    held.remove('u1', NOW + 3)
    gone = reader.next_update(held)
    assert gone is not None and list(gone.gone) == ['u1']
