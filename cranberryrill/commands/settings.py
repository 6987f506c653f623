"""Commands that check and describe the settings of a role."""

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
    """Check a settings file and print every fault with its line.

    Parameters
    ----------
    role:
        The role that the file configures.
    file:
        The YAML settings file.
    """
    loaded = loader.read_file(file, SETTINGS_TYPES[role])
    if isinstance(loaded, result.Err):
        output.fail(loaded.err_value)
    output.print_result(f'{file}: valid settings of {role}')


@APP.command
def describe(role: Role) -> None:
    """List every setting of a role with its default.

    Parameters
    ----------
    role:
        The role whose settings to list.
    """
    rows = [
        (setting.path, setting.kind, setting.default, setting.description)
        for setting in descriptions.describe(SETTINGS_TYPES[role])
    ]
    output.print_table(('setting', 'kind', 'default', 'meaning'), rows)
