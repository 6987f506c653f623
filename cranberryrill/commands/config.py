"""Commands that show, compare and apply configurations."""

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
    cyclopts.Parameter(help='YAML file; - for standard input'),
]


@APP.command
def show(*, options: access.Access = access.DEFAULT) -> None:
    """Print the configuration in force as YAML."""
    current = _fetch_current(access.connect(options))
    output.print_message(f'revision {current["revision"]}')
    sys.stdout.write(current['document'])


@APP.command
def diff(
    file: ConfigurationFile,
    *,
    options: access.Access = access.DEFAULT,
) -> None:
    """Print what applying this file would add, change and remove."""
    new_document = _parse_document(_read_text(file), str(file))
    current = _fetch_current(access.connect(options))
    for difference in _compare(current, new_document):
        output.print_result(str(difference))
    output.print_message(
        f'compared with revision {current["revision"]}; '
        f'apply with --base-revision {current["revision"]}',
    )


@APP.command
def apply(
    file: ConfigurationFile,
    *,
    base_revision: int,
    change_id: str = '',
    wait: bool = True,
    options: access.Access = access.DEFAULT,
) -> None:
    """Put this file in force unless the base revision is out of date.

    Parameters
    ----------
    base_revision:
        The revision that the file was derived from.
    change_id:
        Identifies the change; give the same id to retry after a lost
        response.
    wait:
        Return only once it is in force in every process.
    """
    text = _read_text(file)
    _parse_document(text, str(file))
    chosen_id = change_id or identifiers.new_identifier('change')
    request = admin_client.Request(
        'POST',
        'configuration',
        {
            'document': text,
            'base_revision': base_revision,
            'change_id': chosen_id,
            'operator': getpass.getuser(),
            'wait': wait,
        },
    )
    response = access.connect(options).send(request)
    if response.is_err() and isinstance(
        response.unwrap_err(), admin_client.Unreachable
    ):
        output.print_message(
            f'to retry, run it again with --change-id {chosen_id}'
        )
    content = access.content_or_exit(response)
    state = 'in force everywhere' if wait else 'accepted'
    output.print_result(
        f'revision {content["revision"]} is {state} ({chosen_id})'
    )


@APP.command
def history(*, options: access.Access = access.DEFAULT) -> None:
    """List the accepted changes, newest first."""
    request = admin_client.Request('GET', 'configuration/history')
    content = access.content_or_exit(access.connect(options).send(request))
    rows = [
        (
            change['revision'],
            timestamps.format_timestamp(change['unix_ms']),
            change['operator'],
            change['change_id'],
            _changed_names(change),
        )
        for change in content['changes']
    ]
    output.print_table(
        ('revision', 'accepted', 'operator', 'change id', 'changed'),
        rows,
    )


def _read_text(file: pathlib.Path) -> str:
    if str(file) == STANDARD_INPUT:
        return sys.stdin.read()
    try:
        return file.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        output.fail(
            access.InvalidUsage(f'the file cannot be read: {error}'),
            output.USAGE_ERROR,
        )


def _parse_document(text: str, source: str) -> document.Document:
    checked = validation.read_document(text, source)
    if isinstance(checked, result.Err):
        output.fail(checked.err_value)
    return checked.ok_value


def _fetch_current(client: admin_client.Client) -> admin_client.JsonObject:
    request = admin_client.Request('GET', 'configuration')
    return access.content_or_exit(client.send(request))


def _compare(
    current: admin_client.JsonObject,
    new_document: document.Document,
) -> list[comparison.Difference]:
    source = f'revision {current["revision"]}'
    return comparison.compare(
        _parse_document(current['document'], source), new_document
    )


def _changed_names(change: admin_client.JsonObject) -> str:
    names = ' '.join(change['changed'])
    more = change['changed_count'] - len(change['changed'])
    return f'{names} and {more} more' if more else names
