"""Show what organisations used."""

from cranberryrill.commands import access, admin_client, output, timestamps


def usage(
    *,
    window: int = 0,
    organisation: str = '',
    reach: access.Access = access.DEFAULT,
) -> None:
    """List the windows of usage, or one window's figures.

    Parameters
    ----------
    window:
        Show this window's figures; only a sealed window's are final.
    organisation:
        Show only this one's figures.
    """
    client = access.connect(reach)
    if window:
        _show_window(client, window, organisation)
    else:
        _list_windows(client)


def _list_windows(client: admin_client.Client) -> None:
    answer = access.content_or_exit(
        client.send(admin_client.Request('GET', 'usage'))
    )
    rows = [
        (
            known['window'],
            timestamps.format_timestamp(known['opened_unix_ms']),
            timestamps.format_timestamp(known['sealed_unix_ms']),
            _state(known),
        )
        for known in answer['windows']
    ]
    output.print_table(('window', 'opened', 'sealed', 'state'), rows)


def _show_window(
    client: admin_client.Client,
    window: int,
    organisation: str,
) -> None:
    question = admin_client.Request('GET', f'usage?window={window}')
    answer = access.content_or_exit(client.send(question))
    rows = [
        (
            line['organisation'],
            line['class'],
            line['target'],
            line['requests'],
            line['prompt_tokens'],
            line['output_tokens'],
        )
        for line in answer['lines']
        if organisation in {'', line['organisation']}
    ]
    output.print_table(
        (
            'organisation',
            'class',
            'target',
            'requests',
            'prompt tokens',
            'output tokens',
        ),
        rows,
    )
    output.print_message(f'window {window} is {_state(answer)}')


def _state(known: admin_client.JsonObject) -> str:
    if not known['sealed']:
        return 'open'
    return 'reported' if known['reported'] else 'sealed'
