"""Show the members and the revision in force in each process."""

import result

from cranberryrill.commands import access, admin_client, output

STATUS_REQUEST = admin_client.Request('GET', 'status')


def members(*, reach: access.Access = access.DEFAULT) -> None:
    """Show each control member as it describes itself."""
    client = access.connect(reach)
    rows = []
    for url, asked in zip(
        client.members,
        client.send_to_each(STATUS_REQUEST),
        strict=True,
    ):
        if isinstance(asked, result.Err):
            rows.append((url, '', 'unreachable', '', '', ''))
            output.print_message(f'cranberryrill: {asked.err_value}')
            continue
        said = asked.ok_value
        rows.append(
            (
                url,
                said['member'],
                said['standing'],
                'yes' if said['current'] else 'no',
                said['term'],
                said['revision'],
            ),
        )
    output.print_table(
        ('address', 'member', 'standing', 'current', 'term', 'revision'),
        rows,
    )


def status(*, reach: access.Access = access.DEFAULT) -> None:
    """Show the revision in force in each process."""
    client = access.connect(reach)
    answers = [
        asked.ok_value
        for asked in client.send_to_each(STATUS_REQUEST)
        if isinstance(asked, result.Ok)
    ]
    current = [said for said in answers if said['current']]
    if not current:
        output.fail(
            admin_client.Unreachable('no member can prove that it is current'),
            output.OUTCOME_UNKNOWN,
        )
    newest = max(current, key=_revision)
    rows = [
        (
            known['process'],
            known['role'],
            known['data_centre'],
            known['revision'],
            known['target'],
            known['running'],
            known['waiting'],
            'leaving' if known['leaving'] else '',
        )
        for known in newest['processes']
    ]
    output.print_message(
        f'revision {newest["revision"]}, as {newest["member"]} says'
    )
    output.print_table(
        (
            'process',
            'role',
            'data centre',
            'revision',
            'target',
            'running',
            'waiting',
            '',
        ),
        rows,
    )


def _revision(said: admin_client.JsonObject) -> int:
    return int(said['revision'])
