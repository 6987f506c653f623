"""Accept and refuse changes the same way on every member."""

import pytest

from bench import examples
from cranberryrill.configuration import document, state
from cranberryrill.state import commands_pb2

Verdict = commands_pb2.ChangeOutcome
UNIX_MS = 1_700_000_000_000


@pytest.fixture
def held() -> state.ConfigurationState:
    """Return a state with one configuration in force."""
    fresh = state.ConfigurationState()
    configure(fresh, examples.nivelar(), 'first')
    return fresh


def configure(
    held: state.ConfigurationState,
    wanted: document.Document,
    change_id: str,
    base_revision: int | None = None,
) -> commands_pb2.ChangeOutcome:
    base = (
        held.configuration.revision if base_revision is None else base_revision
    )
    change = commands_pb2.ApplyConfiguration(
        change_id=change_id,
        base_revision=base,
        changes=held.changes_to(wanted),
        operator='ana',
    )
    outcome = held.apply(
        commands_pb2.Command(apply_configuration=change),
        1,
        UNIX_MS,
    )
    assert isinstance(outcome, commands_pb2.ChangeOutcome)
    return outcome


def put_key(
    held: state.ConfigurationState,
    digest: bytes,
    **fields: object,
) -> commands_pb2.ChangeOutcome:
    key = commands_pb2.KeyRecord(
        digest=digest,
        organisation=str(fields.get('organisation', 'clinics')),
        name=str(fields.get('name', 'front')),
        withdrawn=bool(fields.get('withdrawn')),
    )
    change = commands_pb2.PutKey(change_id=str(fields['change']), key=key)
    outcome = held.apply(commands_pb2.Command(put_key=change), 2, UNIX_MS)
    assert isinstance(outcome, commands_pb2.ChangeOutcome)
    return outcome


def without_clinics() -> document.Document:
    whole = examples.nivelar()
    return document.Document(
        organisations=tuple(
            one for one in whole.organisations if one.name != 'clinics'
        ),
        classes=whole.classes,
    )


def test_key_dies_with_its_organisation(held: state.ConfigurationState) -> None:
    assert put_key(held, b'a', change='k1').verdict == Verdict.ACCEPTED
    configure(held, without_clinics(), 'second')
    configure(held, examples.nivelar(), 'third')
    assert held.configuration.organisation_for_key(b'a') is None


def test_withdrawn_key_is_not_revived(held: state.ConfigurationState) -> None:
    put_key(held, b'a', change='k1')
    put_key(held, b'a', change='k2', withdrawn=True)
    assert put_key(held, b'a', change='k3').verdict == Verdict.KEY_DIFFERS
    assert held.configuration.organisation_for_key(b'a') is None


def test_key_keeps_its_organisation(held: state.ConfigurationState) -> None:
    put_key(held, b'a', change='k1')
    moved = put_key(held, b'a', change='k2', organisation='guides')
    assert moved.verdict == Verdict.KEY_DIFFERS
    assert held.configuration.organisation_for_key(b'a') == 'clinics'


def test_name_belongs_to_one_key(held: state.ConfigurationState) -> None:
    put_key(held, b'a', change='k1')
    again = put_key(held, b'b', change='k2')
    assert again.verdict == Verdict.KEY_NAME_TAKEN
    assert held.configuration.organisation_for_key(b'b') is None


def test_records_survive_a_snapshot(held: state.ConfigurationState) -> None:
    put_key(held, b'a', change='k1')
    restored = state.ConfigurationState()
    restored.load(held.dump())
    assert list(restored.records) == list(held.records)
    newest = restored.records[-1]
    assert (newest.revision, list(newest.changed)) == (2, ['keys/front'])
    assert restored.records[0].operator == 'ana'


def test_issued_key_does_not_supersede_a_base(
    held: state.ConfigurationState,
) -> None:
    put_key(held, b'a', change='k1')
    restored = state.ConfigurationState()
    restored.load(held.dump())
    assert configure(held, without_clinics(), 'c2', 1).revision == 3
    outcome = configure(restored, without_clinics(), 'c2', 1)
    assert outcome.verdict == Verdict.ACCEPTED


@pytest.mark.parametrize('base', [0, 1, 3])
def test_other_base_is_refused(
    held: state.ConfigurationState, base: int
) -> None:
    configure(held, without_clinics(), 'second')
    outcome = configure(held, examples.nivelar(), 'third', base)
    assert outcome.verdict == Verdict.STALE_REVISION


def test_refused_change_is_not_recorded(held: state.ConfigurationState) -> None:
    put_key(held, b'a', change='k1', organisation='nobody')
    assert [record.change_id for record in held.records] == ['first']
