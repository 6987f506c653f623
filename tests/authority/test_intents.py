"""Orders are numbered in log order; those of former holders are rejected."""

from cranberryrill.authority import authority_pb2, intents
from cranberryrill.state import commands_pb2


def place_intent(
    state: intents.AuthorityState,
    fencing: int,
    target: str = 'wobble',
) -> authority_pb2.IntentOutcome:
    intent = authority_pb2.Intent(fencing=fencing, target=target)
    request = authority_pb2.PlaceIntent(intent=intent)
    outcome = state.apply(commands_pb2.Command(place_intent=request), 1, 1000)
    assert isinstance(outcome, authority_pb2.IntentOutcome)
    return outcome


def take_authority(state: intents.AuthorityState, fencing: int) -> bool:
    request = authority_pb2.TakeAuthority(fencing=fencing)
    outcome = state.apply(
        commands_pb2.Command(take_authority=request),
        1,
        1000,
    )
    assert isinstance(outcome, authority_pb2.IntentOutcome)
    return outcome.accepted


def end_intent(state: intents.AuthorityState, number: int) -> None:
    request = authority_pb2.EndIntent(number=number, status=202)
    state.apply(commands_pb2.Command(end_intent=request), 1, 2000)


def test_orders_are_numbered_in_sequence() -> None:
    state = intents.AuthorityState()
    numbers = [place_intent(state, 3).intent.number for _ in range(3)]
    assert numbers == [1, 2, 3]


def test_former_holder_is_rejected() -> None:
    state = intents.AuthorityState()
    assert take_authority(state, 5)
    assert not place_intent(state, 4).accepted
    assert not take_authority(state, 4)
    assert not state.open


def test_new_holder_does_not_change_open_order() -> None:
    state = intents.AuthorityState()
    place_intent(state, 3, 'anvil')
    take_authority(state, 5)
    assert state.open[1].fencing == 3
    assert state.open[1].target == 'anvil'


def test_order_ends_once() -> None:
    state = intents.AuthorityState()
    place_intent(state, 3)
    end_intent(state, 1)
    end_intent(state, 1)
    assert [intent.number for intent in state.ended] == [1]
    assert state.ended[0].ended_unix_ms == 2000


def test_snapshot_contains_whole_state() -> None:
    state = intents.AuthorityState()
    place_intent(state, 3)
    place_intent(state, 3)
    end_intent(state, 1)
    restored = intents.AuthorityState()
    restored.load(state.dump())
    assert restored.dump() == state.dump()
    assert place_intent(restored, 4).intent.number == 3
    assert not take_authority(restored, 3)
