"""Check and describe the settings of the roles."""

import pathlib
import types
import typing

import cyclopts
import result

from cranberryrill.commands import output
from cranberryrill.settings import descriptions, loader, schema

APP = cyclopts.App(name='settings', help='Check and describe settings.')
Role = typing.Literal['entry', 'agent', 'control']
SETTINGS_TYPES: types.MappingProxyType[str, type[typing.Any]] = (
    types.MappingProxyType(
        {
            'entry': schema.EntrySettings,
            'agent': schema.AgentSettings,
            'control': schema.ControlSettings,
        }
    )
)


@APP.command
def check(role: Role, file: pathlib.Path) -> None:
    """Check a settings file; every fault is named with its line.

    Parameters
    ----------
    role:
        Whose settings they are.
    file:
        The YAML file.
    """
    read = loader.read_file(file, SETTINGS_TYPES[role])
    if isinstance(read, result.Err):
        output.fail(read.err_value)
    output.print_result(f'{file}: valid settings of {role}')


@APP.command
def describe(role: Role) -> None:
    """List every setting of a role with its default.

    Parameters
    ----------
    role:
        Whose settings to list.
    """
    rows = [
        (setting.path, setting.kind, setting.default, setting.description)
        for setting in descriptions.describe(SETTINGS_TYPES[role])
    ]
    output.print_table(('setting', 'kind', 'default', 'meaning'), rows)
