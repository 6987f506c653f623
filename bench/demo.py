"""Demonstrate a streamed answer, an order and the usage reports."""

import json
import pathlib
import signal
import sys
import tempfile
import typing

import cyclopts

from bench import cluster, examples, web

APP = cyclopts.App(name='demo', help='Run the whole system on loopback.')
PROMPT = 'The table rocks on a tiled floor. What now?'


def _start(system: cluster.Cluster) -> str:
    system.add_standin('platform', 'platform')
    system.start_control()
    system.apply(examples.nivelar())
    for number in range(2):
        engine = f'engine-{number}'
        system.add_standin(engine, 'engine', model=examples.MODEL)
        system.add_agent(f'agent-{number}', engine, target=examples.MODEL)
    system.add_standin('desk', 'desk')
    system.add_agent('agent-desk', 'desk', target=examples.DESK, is_model=False)
    key = system.issue_key('installers')
    for number in range(2):
        system.add_entry(f'entry-{number}')
    for number in range(2):
        system.wait_ready(f'entry-{number}', agents=3)
    return key


def _run_requests(system: cluster.Cluster, key: str) -> None:
    chat = {
        'model': examples.MODEL,
        'messages': [{'role': 'user', 'content': PROMPT}],
        'stream': True,
    }
    url = system.entry_url('entry-0')
    answer = web.request(f'{url}/v1/chat/completions', 'POST', chat, key)
    print(f'streamed answer ({answer.status}):')
    print(answer.body.decode())
    order = web.request(
        f'{system.entry_url("entry-1")}/orders',
        'POST',
        {'part': 'foot M10', 'count': 4},
        key,
        {'Idempotency-Key': 'demo-order-1'},
    )
    print(f'order ({order.status}): {order.body.decode()}')
    reports = web.wait_until(
        lambda: _usage_reports(system), 'the usage reports'
    )
    print('usage reports that the platform received:')
    print(json.dumps(reports, indent=2))


def _usage_reports(system: cluster.Cluster) -> list[dict[str, typing.Any]]:
    contents = [line['content'] for line in system.ledger('platform')]
    reports = [content for content in contents if content.get('lines')]
    targets = {line['target'] for report in reports for line in report['lines']}
    return reports if {examples.MODEL, examples.DESK} <= targets else []


def _serve(system: cluster.Cluster, key: str) -> None:
    print(
        json.dumps(
            {
                'entries': [
                    system.entry_url(f'entry-{number}') for number in range(2)
                ],
                'administration': system.admin_url(),
                'administration_token': cluster.TOKEN,
                'key': key,
            },
        ),
        flush=True,
    )
    while True:
        signal.pause()


class StopRequested(Exception):
    """The process received a signal to stop."""


def _raise_stop(number: int, frame: object) -> None:
    raise StopRequested(signal.Signals(number).name)


@APP.default
def run(*, serve: bool = False, folder: pathlib.Path | None = None) -> None:
    """Run a system, send example requests and print the answers.

    Parameters
    ----------
    serve:
        Print the URLs and a key instead, and serve until SIGTERM or SIGINT.
    folder:
        Folder for settings, data and logs; by default a temporary one.
    """
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, _raise_stop)
    with tempfile.TemporaryDirectory() as scratch:
        system = cluster.Cluster(folder or pathlib.Path(scratch))
        try:
            key = _start(system)
            if serve:
                _serve(system, key)
            else:
                _run_requests(system, key)
        except StopRequested as stop_signal:
            print(f'stopping: {stop_signal}')
        finally:
            system.stop()
    if not serve:
        print('stopped cleanly')
    sys.exit(0)


if __name__ == '__main__':
    APP()
