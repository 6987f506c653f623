"""Command that shows usage windows and their figures."""

from cranberryrill.commands import access, admin_client, output, timestamps


def usage(
    *,
    window: int = 0,
    organisation: str = '',
    options: access.Access = access.DEFAULT,
) -> None:
    """List the usage windows, or the figures of one window.

    Parameters
    ----------
    window:
        Number of the window to show; only figures of sealed windows are
        final. 0 lists the windows.
    organisation:
        Only show figures of this organisation.
    """
    client = access.connect(options)
    if window:
        _show_window(client, window, organisation)
    else:
        _list_windows(client)


def _list_windows(client: admin_client.Client) -> None:
    content = access.content_or_exit(
        client.send(admin_client.Request('GET', 'usage'))
    )
    rows = [
        (
            window_fields['window'],
            timestamps.format_timestamp(window_fields['opened_unix_ms']),
            timestamps.format_timestamp(window_fields['sealed_unix_ms']),
            _window_state(window_fields),
        )
        for window_fields in content['windows']
    ]
    output.print_table(('window', 'opened', 'sealed', 'state'), rows)


def _show_window(
    client: admin_client.Client,
    window: int,
    organisation: str,
) -> None:
    request = admin_client.Request('GET', f'usage?window={window}')
    content = access.content_or_exit(client.send(request))
    rows = [
        (
            line['organisation'],
            line['class'],
            line['target'],
            line['requests'],
            line['prompt_tokens'],
            line['output_tokens'],
        )
        for line in content['lines']
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
    output.print_message(f'window {window} is {_window_state(content)}')


def _window_state(window_fields: admin_client.JsonObject) -> str:
    if not window_fields['sealed']:
        return 'open'
    return 'reported' if window_fields['reported'] else 'sealed'
