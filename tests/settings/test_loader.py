"""Every fault in a document is reported with its path and line."""

import pytest
import result

from cranberryrill.configuration import document, validation


def test_fault_has_path_and_line() -> None:
    text = 'classes:\n- name: urgent\n  tier: 9\n'
    checked = validation.read_document(text, 'document')
    assert isinstance(checked, result.Err)
    fault = checked.err_value.faults[0]
    assert fault.line == 3
    assert fault.path == 'classes.0.tier'
    assert 'less than or equal to 6' in fault.message


def test_unknown_reference_is_a_fault() -> None:
    text = 'models:\n- {name: wobble, default_class: none}\n'
    checked = validation.read_document(text, 'document')
    assert isinstance(checked, result.Err)
    assert checked.err_value.faults[0].path == 'models.0.default_class'


FAULTY_DOCUMENT = """\
organisations:
- name: clinics
- name: clinics
classes:
- {name: urgent, tier: 1}
models:
- name: wobble
  default_class: none
class_rules:
- name: rule
  organisation: nobody
  target: wobble
  class_name: urgent
upstream_rules:
- name: wobble-dc-1
  target: wobble
  data_centre: dc-1
  least: 3
  most: 2
"""


def test_faults_across_objects_have_their_lines() -> None:
    checked = validation.read_document(FAULTY_DOCUMENT, 'document')
    assert isinstance(checked, result.Err)
    found = {fault.path: fault.line for fault in checked.err_value.faults}
    assert found == {
        'organisations.1.name': 3,
        'models.0.default_class': 8,
        'class_rules.0.organisation': 11,
        'upstream_rules.0.least': 18,
    }


def test_duplicate_key_of_a_mapping_is_a_fault() -> None:
    text = 'organisations:\n- name: clinics\nclasses: []\norganisations: []\n'
    checked = validation.read_document(text, 'document')
    assert isinstance(checked, result.Err)
    fault = checked.err_value.faults[0]
    assert (fault.path, fault.line) == ('organisations', 4)
    assert 'twice' in fault.message


@pytest.mark.parametrize(
    'text',
    ['a: [', '[' * 5000, '- 1', 'just text', '\0', '? {a: 1}\n: 2'],
)
def test_unreadable_document_is_a_fault(text: str) -> None:
    checked = validation.read_document(text, 'document')
    assert isinstance(checked, result.Err)
    assert checked.err_value.faults


def test_empty_text_is_the_empty_document() -> None:
    checked = validation.read_document('', 'document')
    assert checked == result.Ok(document.Document())
