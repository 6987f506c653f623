"""Build the single binary and run each role from it.

The unpacking script must be replaced by the program: each role is one
process, with no shell left above it.
"""

import os
import pathlib
import subprocess
from collections import abc

import psutil
import pytest

from bench import cluster, examples, web

ROOT = pathlib.Path(__file__).parent.parent.parent
BUILD_SECONDS = 280
ROLES = ('control-0', 'entry', 'agent')

pytestmark = pytest.mark.timeout(BUILD_SECONDS + 60)


@pytest.fixture(scope='module')
def binary(tmp_path_factory: pytest.TempPathFactory) -> pathlib.Path:
    """Build the binary and return its path."""
    target = tmp_path_factory.mktemp('binary') / 'cranberryrill'
    subprocess.run(
        [str(ROOT / 'scripts' / 'build'), str(target)],
        check=True,
        timeout=BUILD_SECONDS,
    )
    return target


@pytest.fixture(scope='module')
def system(
    binary: pathlib.Path,
    tmp_path_factory: pytest.TempPathFactory,
) -> abc.Iterator[cluster.Cluster]:
    """Start every role from the binary, which has not been unpacked yet."""
    folder = tmp_path_factory.mktemp('built')
    running = cluster.Cluster(folder, members=1)
    unpacked = folder / 'unpacked'
    running.role_command = [
        'env',
        f'CRANBERRYRILL_UNPACKED={unpacked}',
        str(binary),
    ]
    try:
        running.start_control()
        running.apply(examples.nivelar())
        running.add_standin('engine', 'engine', model=examples.MODEL)
        running.add_agent('agent', 'engine', target=examples.MODEL)
        running.add_entry('entry')
        running.wait_ready('entry', agents=1)
        yield running
    finally:
        running.stop()


def test_each_role_is_one_process(system: cluster.Cluster) -> None:
    for name in ROLES:
        popen = system.processes[name].popen
        assert popen is not None
        process = psutil.Process(popen.pid)
        assert not process.children(recursive=True)
        assert pathlib.Path(process.exe()).name == 'cranberryrill'
        assert process.ppid() == os.getpid()
        settings = str(system.folder / f'{name}.yaml')
        process_ids = [
            other.pid
            for other in psutil.process_iter(['cmdline'])
            if settings in (other.info['cmdline'] or [])
        ]
        assert process_ids == [popen.pid]


def test_built_program_answers_a_request(system: cluster.Cluster) -> None:
    key = system.issue_key('clinics')
    url = f'{system.entry_url("entry")}/v1'
    web.wait_until(
        lambda: web.request(f'{url}/models', key=key).status == 200,
        'the entry to accept the key',
    )
    body = {
        'model': examples.MODEL,
        'messages': [{'role': 'user', 'content': 'it wobbles'}],
        'max_tokens': 3,
    }
    reply = web.request(f'{url}/chat/completions', 'POST', body, key)
    assert reply.status == 200
    assert reply.json()['usage']['completion_tokens'] == 3


def test_binary_unpacks_once(system: cluster.Cluster) -> None:
    unpacked = list((system.folder / 'unpacked').iterdir())
    assert len(unpacked) == 1
    assert not unpacked[0].name.startswith('unpacking')
