"""Exit with one line per fault when settings or their files are unusable."""

import os
import pathlib
import socket
import subprocess
import sys
import typing
from collections import abc

import pytest
import yaml

from bench import cluster

START_SECONDS = 20.0
EXIT_FAILURE = 1


@pytest.fixture(scope='module')
def system(
    tmp_path_factory: pytest.TempPathFactory,
) -> abc.Iterator[cluster.Cluster]:
    """Write settings for one process of each role; none keeps running."""
    folder: pathlib.Path = tmp_path_factory.mktemp('bad')
    configured = cluster.Cluster(folder, members=1)
    configured.standins['engine'] = f'http://{cluster.HOST}:1'
    for process in (
        configured.add_control('control-0'),
        configured.add_entry('entry'),
        configured.add_agent('agent', 'engine', target='m'),
    ):
        process.kill()
    yield configured


def read_settings(system: cluster.Cluster, name: str) -> dict[str, typing.Any]:
    text = (system.folder / f'{name}.yaml').read_text()
    return dict(yaml.safe_load(text))


def start_and_read_errors(
    system: cluster.Cluster,
    role: str,
    settings: dict[str, typing.Any] | str,
) -> list[str]:
    """Start a role that must fail; return its messages to the operator.

    `settings` that are text are written to the file as they are.
    """
    path = system.folder / 'tried.yaml'
    is_text = isinstance(settings, str)
    path.write_text(str(settings) if is_text else yaml.safe_dump(settings))
    completed = subprocess.run(
        [sys.executable, '-m', 'cranberryrill', role, str(path)],
        capture_output=True,
        text=True,
        timeout=START_SECONDS,
        check=False,
        env=dict(os.environ),
    )
    assert completed.returncode == EXIT_FAILURE
    assert 'Traceback' not in completed.stderr
    lines = completed.stderr.splitlines()
    return [line for line in lines if line.startswith('cranberryrill: ')]


def test_settings_that_are_not_yaml(system: cluster.Cluster) -> None:
    messages = start_and_read_errors(system, 'entry', 'process: [')
    assert len(messages) == 1
    assert 'tried.yaml: line 1' in messages[0]


def test_every_faulty_setting_is_named(system: cluster.Cluster) -> None:
    settings = read_settings(system, 'entry')
    settings['max_body_bytes'] = 0
    settings['colour'] = 'red'
    messages = start_and_read_errors(system, 'entry', settings)
    assert len(messages) == 2
    assert any('max_body_bytes: ' in line for line in messages)
    assert any('colour: ' in line for line in messages)


@pytest.mark.parametrize(
    ('role', 'name', 'setting_path'),
    [
        ('control', 'control-0', ('process', 'listen')),
        ('control', 'control-0', ('administration',)),
        ('entry', 'entry', ('callers',)),
        ('agent', 'agent', ('process', 'listen')),
    ],
)
def test_port_in_use_is_named(
    system: cluster.Cluster,
    role: str,
    name: str,
    setting_path: tuple[str, ...],
) -> None:
    settings = read_settings(system, name)
    with socket.socket() as listener:
        listener.bind((cluster.HOST, 0))
        listener.listen()
        address: typing.Any = settings
        for part in setting_path:
            address = address[part]
        address['port'] = listener.getsockname()[1]
        messages = start_and_read_errors(system, role, settings)
    assert len(messages) == 1
    assert 'ddress already in use' in messages[0]
    assert str(address['port']) in messages[0]


def test_data_folder_that_is_a_file_is_named(system: cluster.Cluster) -> None:
    settings = read_settings(system, 'control-0')
    blocked = system.folder / 'blocked'
    blocked.write_text('')
    settings['data_folder'] = str(blocked)
    messages = start_and_read_errors(system, 'control', settings)
    assert len(messages) == 1
    assert str(blocked) in messages[0]


@pytest.mark.parametrize(
    ('file', 'content'),
    [('certificate', None), ('key', 'no key'), ('authority', 'nobody')],
)
def test_unusable_tls_file_is_named(
    system: cluster.Cluster,
    file: str,
    content: str | None,
) -> None:
    settings = read_settings(system, 'agent')
    path = system.folder / f'broken-{file}.pem'
    path.unlink(missing_ok=True)
    if content is not None:
        path.write_text(content)
    settings['process']['tls'][file] = str(path)
    messages = start_and_read_errors(system, 'agent', settings)
    assert len(messages) == 1
    assert str(path) in messages[0]
