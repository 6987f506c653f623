"""Issue, list and withdraw callers' keys."""

import getpass

import cyclopts
import result

from cranberryrill import identifiers
from cranberryrill.commands import access, admin_client, output
from cranberryrill.keys import digests

APP = cyclopts.App(name='keys', help="Issue and withdraw callers' keys.")


@APP.command
def issue(
    name: str,
    organisation: str,
    *,
    wait: bool = True,
    reach: access.Access = access.DEFAULT,
) -> None:
    """Make a key here, send only its digest, and show the key once.

    Parameters
    ----------
    name:
        Names the key for `keys list` and `keys withdraw`.
    organisation:
        Whose requests carry the key.
    wait:
        Return only when every process knows the key.
    """
    key = digests.new_key()
    question = admin_client.Request(
        'POST',
        'keys',
        {
            'name': name,
            'organisation': organisation,
            'sha256': digests.digest_of(key).hex(),
            'change_id': identifiers.new_identifier('key'),
            'operator': getpass.getuser(),
            'wait': wait,
        },
    )
    asked = access.connect(reach).send(question)
    if isinstance(asked, result.Err):
        if isinstance(asked.err_value, admin_client.Unreachable):
            output.print_message(f'the key may be in force; withdraw {name!r}')
        access.content_or_exit(asked)
    output.print_result(key)
    output.print_message(f'key {name!r} of {organisation} is shown this once')


@APP.command(name='list')
def show(
    *,
    organisation: str = '',
    reach: access.Access = access.DEFAULT,
) -> None:
    """List the keys, without the keys themselves.

    Parameters
    ----------
    organisation:
        List only this one's.
    """
    question = admin_client.Request('GET', 'keys')
    answer = access.content_or_exit(access.connect(reach).send(question))
    rows = [
        (
            key['organisation'],
            key['name'],
            'withdrawn' if key['withdrawn'] else 'valid',
            key['digest'],
        )
        for key in answer['keys']
        if organisation in {'', key['organisation']}
    ]
    output.print_table(('organisation', 'name', 'state', 'digest'), rows)


@APP.command
def withdraw(
    name: str,
    *,
    wait: bool = True,
    reach: access.Access = access.DEFAULT,
) -> None:
    """Stop a key; its open requests end too.

    Parameters
    ----------
    name:
        The name that the key was issued under.
    wait:
        Return only when no process serves the key any more.
    """
    question = admin_client.Request(
        'DELETE',
        'keys',
        {
            'name': name,
            'change_id': identifiers.new_identifier('withdrawal'),
            'operator': getpass.getuser(),
            'wait': wait,
        },
    )
    answer = access.content_or_exit(access.connect(reach).send(question))
    place = 'everywhere' if wait else 'in seconds'
    output.print_result(
        f'key {name!r} is withdrawn {place} (revision {answer["revision"]})',
    )
