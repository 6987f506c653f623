"""Commands that show the control members and all processes."""

import result

from cranberryrill.commands import access, admin_client, output

STATUS_REQUEST = admin_client.Request('GET', 'status')


def members(*, options: access.Access = access.DEFAULT) -> None:
    """Show the state that each control member reports."""
    client = access.connect(options)
    rows = []
    for url, response in zip(
        client.members,
        client.send_to_each(STATUS_REQUEST),
        strict=True,
    ):
        if isinstance(response, result.Err):
            rows.append((url, '', 'unreachable', '', '', ''))
            output.print_message(f'cranberryrill: {response.err_value}')
            continue
        member_status = response.ok_value
        rows.append(
            (
                url,
                member_status['member'],
                member_status['standing'],
                'yes' if member_status['current'] else 'no',
                member_status['term'],
                member_status['revision'],
            ),
        )
    output.print_table(
        ('address', 'member', 'standing', 'current', 'term', 'revision'),
        rows,
    )


def status(*, options: access.Access = access.DEFAULT) -> None:
    """Show the revision in force and the load of each process."""
    client = access.connect(options)
    statuses = [
        response.ok_value
        for response in client.send_to_each(STATUS_REQUEST)
        if isinstance(response, result.Ok)
    ]
    current = [content for content in statuses if content['current']]
    if not current:
        output.fail(
            admin_client.Unreachable('no member can prove that it is current'),
            output.OUTCOME_UNKNOWN,
        )
    newest = max(current, key=_revision)
    rows = [
        (
            process['process'],
            process['role'],
            process['data_centre'],
            process['revision'],
            process['target'],
            process['running'],
            process['waiting'],
            'leaving' if process['leaving'] else '',
        )
        for process in newest['processes']
    ]
    output.print_message(
        f'revision {newest["revision"]}, reported by {newest["member"]}'
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


def _revision(content: admin_client.JsonObject) -> int:
    return int(content['revision'])
