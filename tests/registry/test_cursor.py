"""Updates of the registry for a watcher, also from a member that restarted."""

from cranberryrill.registry import cursor, registry_pb2, table

HEARTBEAT_SECONDS = 1.2
STARTED_AT = 100.0
COMPLETE_AT = STARTED_AT + 1.25 * HEARTBEAT_SECONDS


def make_registration(
    number: int, *, sequence: int = 1
) -> registry_pb2.Registration:
    return registry_pb2.Registration(
        id=f'u{number}',
        service='model',
        host=f'10.0.0.{number}',
        port=80,
        started_unix_ms=1,
        sequence=sequence,
    )


class Watcher:
    """Upstreams that an entry knows, with the updates applied to them."""

    def __init__(self, count: int) -> None:
        self.known = {f'u{number}' for number in range(count)}
        self.cursor = cursor.Cursor()

    def update(self, registry: table.RegistrationTable, now: float) -> None:
        update = self.cursor.next_update(registry, now)
        if update is None:
            return
        if update.full:
            self.known.clear()
        self.known.update(one.id for one in update.present)
        self.known.difference_update(update.gone)


def make_table() -> table.RegistrationTable:
    return table.RegistrationTable(HEARTBEAT_SECONDS, STARTED_AT)


def test_restarted_control_group_makes_entries_forget_no_upstream() -> None:
    # All members lose power during a burst. Nine upstreams run on, and their
    # heartbeats reach the new members one by one.
    registry = make_table()
    watcher = Watcher(9)
    fewest = 9
    for number in range(9):
        now = STARTED_AT + number * HEARTBEAT_SECONDS / 9
        registry.record(make_registration(number), now)
        watcher.update(registry, now)
        fewest = min(fewest, len(watcher.known))
    watcher.update(registry, COMPLETE_AT)
    assert fewest == 9
    assert len(watcher.known) == 9


def test_upstream_that_ended_meanwhile_is_dropped_once_complete() -> None:
    registry = make_table()
    watcher = Watcher(3)
    for number in range(2):
        registry.record(make_registration(number), STARTED_AT + 1)
    watcher.update(registry, STARTED_AT + 1)
    assert watcher.known == {'u0', 'u1', 'u2'}
    watcher.update(registry, COMPLETE_AT)
    assert watcher.known == {'u0', 'u1'}


def test_upstream_that_leaves_before_completion_is_dropped_at_once() -> None:
    registry = make_table()
    watcher = Watcher(3)
    registry.record(make_registration(0), STARTED_AT + 0.1)
    registry.record(
        make_registration(0, sequence=2), STARTED_AT + 0.2, removed=True
    )
    watcher.update(registry, STARTED_AT + 0.2)
    assert watcher.known == {'u1', 'u2'}


def test_later_updates_hold_changes_only() -> None:
    registry = make_table()
    registry.record(make_registration(0), STARTED_AT)
    updates = cursor.Cursor()
    first = updates.next_update(registry, COMPLETE_AT)
    assert first is not None
    assert first.full
    assert updates.next_update(registry, COMPLETE_AT) is None
    registry.record(make_registration(1), COMPLETE_AT)
    second = updates.next_update(registry, COMPLETE_AT)
    assert second is not None
    assert not second.full
    assert [one.id for one in second.present] == ['u1']
