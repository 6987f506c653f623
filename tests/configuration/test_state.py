"""Verdicts on changes of the configuration and of keys."""

import pytest

from bench import examples
from cranberryrill.configuration import document, state
from cranberryrill.state import commands_pb2

Verdict = commands_pb2.ChangeOutcome
UNIX_MS = 1_700_000_000_000


@pytest.fixture
def current() -> state.ConfigurationState:
    """Return a state with one configuration in force."""
    created = state.ConfigurationState()
    configure(created, examples.nivelar(), 'first')
    return created


def configure(
    current: state.ConfigurationState,
    new_document: document.Document,
    change_id: str,
    base_revision: int | None = None,
) -> commands_pb2.ChangeOutcome:
    base = (
        current.configuration.revision
        if base_revision is None
        else base_revision
    )
    change = commands_pb2.ApplyConfiguration(
        change_id=change_id,
        base_revision=base,
        changes=current.changes_to(new_document),
        operator='ana',
    )
    outcome = current.apply(
        commands_pb2.Command(apply_configuration=change),
        1,
        UNIX_MS,
    )
    assert isinstance(outcome, commands_pb2.ChangeOutcome)
    return outcome


def put_key(
    current: state.ConfigurationState,
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
    outcome = current.apply(commands_pb2.Command(put_key=change), 2, UNIX_MS)
    assert isinstance(outcome, commands_pb2.ChangeOutcome)
    return outcome


def without_clinics() -> document.Document:
    complete = examples.nivelar()
    return document.Document(
        organisations=tuple(
            known for known in complete.organisations if known.name != 'clinics'
        ),
        classes=complete.classes,
    )


def test_key_is_withdrawn_with_its_organisation(
    current: state.ConfigurationState,
) -> None:
    assert put_key(current, b'a', change='k1').verdict == Verdict.ACCEPTED
    configure(current, without_clinics(), 'second')
    configure(current, examples.nivelar(), 'third')
    assert current.configuration.organisation_for_key(b'a') is None


def test_withdrawn_key_can_not_be_restored(
    current: state.ConfigurationState,
) -> None:
    put_key(current, b'a', change='k1')
    put_key(current, b'a', change='k2', withdrawn=True)
    assert put_key(current, b'a', change='k3').verdict == Verdict.KEY_DIFFERS
    assert current.configuration.organisation_for_key(b'a') is None


def test_key_can_not_change_its_organisation(
    current: state.ConfigurationState,
) -> None:
    put_key(current, b'a', change='k1')
    moved = put_key(current, b'a', change='k2', organisation='guides')
    assert moved.verdict == Verdict.KEY_DIFFERS
    assert current.configuration.organisation_for_key(b'a') == 'clinics'


def test_name_of_a_key_is_unique(current: state.ConfigurationState) -> None:
    put_key(current, b'a', change='k1')
    again = put_key(current, b'b', change='k2')
    assert again.verdict == Verdict.KEY_NAME_TAKEN
    assert current.configuration.organisation_for_key(b'b') is None


def test_snapshot_keeps_change_records(
    current: state.ConfigurationState,
) -> None:
    put_key(current, b'a', change='k1')
    restored = state.ConfigurationState()
    restored.load(current.dump())
    assert list(restored.records) == list(current.records)
    newest = restored.records[-1]
    assert (newest.revision, list(newest.changed)) == (2, ['keys/front'])
    assert restored.records[0].operator == 'ana'


def test_new_key_does_not_make_a_base_revision_stale(
    current: state.ConfigurationState,
) -> None:
    put_key(current, b'a', change='k1')
    restored = state.ConfigurationState()
    restored.load(current.dump())
    assert configure(current, without_clinics(), 'c2', 1).revision == 3
    outcome = configure(restored, without_clinics(), 'c2', 1)
    assert outcome.verdict == Verdict.ACCEPTED


@pytest.mark.parametrize('base', [0, 1, 3])
def test_stale_or_future_base_revision_is_refused(
    current: state.ConfigurationState, base: int
) -> None:
    configure(current, without_clinics(), 'second')
    outcome = configure(current, examples.nivelar(), 'third', base)
    assert outcome.verdict == Verdict.STALE_REVISION


def test_refused_change_is_not_recorded(
    current: state.ConfigurationState,
) -> None:
    put_key(current, b'a', change='k1', organisation='nobody')
    assert [record.change_id for record in current.records] == ['first']
