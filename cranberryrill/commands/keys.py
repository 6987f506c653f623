"""Commands that issue, list and withdraw callers' keys."""

import getpass

import cyclopts
import result

from cranberryrill import identifiers
from cranberryrill.commands import access, admin_client, output
from cranberryrill.keys import digests

APP = cyclopts.App(name='keys', help="Issue, list and withdraw callers' keys.")


@APP.command
def issue(
    name: str,
    organisation: str,
    *,
    wait: bool = True,
    options: access.Access = access.DEFAULT,
) -> None:
    """Generate a key locally, send only its digest, and print the key once.

    Parameters
    ----------
    name:
        Name of the key in `keys list` and `keys withdraw`.
    organisation:
        The organisation whose callers use the key.
    wait:
        Return only once every process accepts the key.
    """
    key = digests.new_key()
    request = admin_client.Request(
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
    response = access.connect(options).send(request)
    if isinstance(response, result.Err):
        if isinstance(response.err_value, admin_client.Unreachable):
            output.print_message(
                f'the key may have been issued; withdraw {name!r}'
            )
        access.content_or_exit(response)
    output.print_result(key)
    output.print_message(f'key {name!r} of {organisation} is not shown again')


@APP.command(name='list')
def show(
    *,
    organisation: str = '',
    options: access.Access = access.DEFAULT,
) -> None:
    """List the names, states and shortened digests of keys.

    Parameters
    ----------
    organisation:
        Only list keys of this organisation.
    """
    request = admin_client.Request('GET', 'keys')
    content = access.content_or_exit(access.connect(options).send(request))
    rows = [
        (
            key['organisation'],
            key['name'],
            'withdrawn' if key['withdrawn'] else 'valid',
            key['digest'],
        )
        for key in content['keys']
        if organisation in {'', key['organisation']}
    ]
    output.print_table(('organisation', 'name', 'state', 'digest'), rows)


@APP.command
def withdraw(
    name: str,
    *,
    wait: bool = True,
    options: access.Access = access.DEFAULT,
) -> None:
    """Withdraw a key and end its open requests.

    Parameters
    ----------
    name:
        The name under which the key was issued.
    wait:
        Return only once no process accepts the key.
    """
    request = admin_client.Request(
        'DELETE',
        'keys',
        {
            'name': name,
            'change_id': identifiers.new_identifier('withdrawal'),
            'operator': getpass.getuser(),
            'wait': wait,
        },
    )
    content = access.content_or_exit(access.connect(options).send(request))
    scope = 'everywhere' if wait else 'in seconds'
    output.print_result(
        f'key {name!r} is withdrawn {scope} (revision {content["revision"]})',
    )
