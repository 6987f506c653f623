"""Show, compare and apply configurations."""

import getpass
import pathlib
import sys
import typing

import cyclopts
import result

from cranberryrill import identifiers
from cranberryrill.commands import access, admin_client, output, timestamps
from cranberryrill.configuration import comparison, document, validation

APP = cyclopts.App(name='config', help='Show and change the configuration.')
STANDARD_INPUT = '-'
ConfigurationFile = typing.Annotated[
    pathlib.Path,
    cyclopts.Parameter(help='YAML file; - reads standard input'),
]


@APP.command
def show(*, reach: access.Access = access.DEFAULT) -> None:
    """Print the configuration in force as YAML."""
    held = _held(access.connect(reach))
    output.print_message(f'revision {held["revision"]}')
    sys.stdout.write(held['document'])


@APP.command
def diff(
    file: ConfigurationFile,
    *,
    reach: access.Access = access.DEFAULT,
) -> None:
    """Print what applying this file would add, change and remove."""
    wanted = _read(_text(file), str(file))
    held = _held(access.connect(reach))
    for difference in _compare(held, wanted):
        output.print_result(str(difference))
    output.print_message(
        f'compared with revision {held["revision"]}; '
        f'apply with --base-revision {held["revision"]}',
    )


@APP.command
def apply(
    file: ConfigurationFile,
    *,
    base_revision: int,
    change_id: str = '',
    wait: bool = True,
    reach: access.Access = access.DEFAULT,
) -> None:
    """Put this file in force, unless the base revision was superseded.

    Parameters
    ----------
    base_revision:
        The revision that the file was written against.
    change_id:
        Names the change, to send one again whose answer was lost.
    wait:
        Return only when every process has it in force.
    """
    text = _text(file)
    _read(text, str(file))
    chosen = change_id or identifiers.new_identifier('change')
    question = admin_client.Request(
        'POST',
        'configuration',
        {
            'document': text,
            'base_revision': base_revision,
            'change_id': chosen,
            'operator': getpass.getuser(),
            'wait': wait,
        },
    )
    asked = access.connect(reach).send(question)
    if asked.is_err() and isinstance(
        asked.unwrap_err(), admin_client.Unreachable
    ):
        output.print_message(f'send it again with --change-id {chosen}')
    answer = access.content_or_exit(asked)
    place = 'in force everywhere' if wait else 'accepted'
    output.print_result(f'revision {answer["revision"]} is {place} ({chosen})')


@APP.command
def history(*, reach: access.Access = access.DEFAULT) -> None:
    """List the accepted changes, newest first."""
    question = admin_client.Request('GET', 'configuration/history')
    answer = access.content_or_exit(access.connect(reach).send(question))
    rows = [
        (
            change['revision'],
            timestamps.format_timestamp(change['unix_ms']),
            change['operator'],
            change['change_id'],
            _summary(change),
        )
        for change in answer['changes']
    ]
    output.print_table(
        ('revision', 'accepted', 'operator', 'change id', 'changed'),
        rows,
    )


def _text(file: pathlib.Path) -> str:
    if str(file) == STANDARD_INPUT:
        return sys.stdin.read()
    try:
        return file.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        output.fail(
            access.InvalidUsage(f'the file can not be read: {error}'),
            output.USAGE_ERROR,
        )


def _read(text: str, source: str) -> document.Document:
    checked = validation.read_document(text, source)
    if isinstance(checked, result.Err):
        output.fail(checked.err_value)
    return checked.ok_value


def _held(client: admin_client.Client) -> admin_client.JsonObject:
    question = admin_client.Request('GET', 'configuration')
    return access.content_or_exit(client.send(question))


def _compare(
    held: admin_client.JsonObject,
    wanted: document.Document,
) -> list[comparison.Difference]:
    source = f'revision {held["revision"]}'
    return comparison.compare(_read(held['document'], source), wanted)


def _summary(change: admin_client.JsonObject) -> str:
    named = ' '.join(change['changed'])
    more = change['changed_count'] - len(change['changed'])
    return f'{named} and {more} more' if more else named
