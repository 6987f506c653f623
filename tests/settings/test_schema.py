"""Checks on settings of the roles, and their descriptions."""

import pytest
import result

from cranberryrill.settings import descriptions, loader, schema

CONTROL_SETTINGS = """\
process:
  name: control-0
  data_centre: dc-1
  listen: {{host: 10.0.0.1, port: 7001}}
  tls: {{authority: a.pem, certificate: c.pem, key: k.key}}
administration: {{host: {host}, port: 7002}}
administration_token_sha256: {digest}
members:
- name: control-0
  address: {{host: 10.0.0.1, port: 7001}}
data_folder: data
{rest}"""
TLS_SETTINGS = 'administration_tls: {certificate: a.pem, key: a.key}\n'


def load_control(host: str, rest: str = '') -> object:
    text = CONTROL_SETTINGS.format(host=host, rest=rest, digest='a' * 64)
    return loader.read_text(text, schema.ControlSettings, 'file')


@pytest.mark.parametrize(
    ('host', 'rest'),
    [('127.0.0.1', ''), ('10.0.0.1', TLS_SETTINGS)],
)
def test_loopback_or_tls_protects_administration(host: str, rest: str) -> None:
    assert isinstance(load_control(host, rest), result.Ok)


@pytest.mark.parametrize('host', ['10.0.0.1', 'control.example'])
def test_administration_without_tls_is_refused(host: str) -> None:
    checked = load_control(host)
    assert isinstance(checked, result.Err)
    fault = checked.err_value.faults[0]
    assert 'administration_tls is required' in fault.message
    assert fault.line == 1


def test_unknown_nested_setting_is_a_fault() -> None:
    text = 'upstream:\n  base_url: http://10.0.0.1\n  target: m\n  slot: 4\n'
    checked = loader.read_text(text, schema.AgentSettings, 'file')
    assert isinstance(checked, result.Err)
    lines_by_path = {
        fault.path: fault.line for fault in checked.err_value.faults
    }
    assert lines_by_path['upstream.slot'] == 4


@pytest.mark.parametrize(
    'settings_class',
    [schema.ControlSettings, schema.EntrySettings, schema.AgentSettings],
)
def test_every_setting_has_a_description(settings_class: type[object]) -> None:
    settings = descriptions.describe(settings_class)
    assert all(setting.description for setting in settings)
    assert 'process.log_level' in {setting.path for setting in settings}
