"""Ports are given once, and a wait that fails shows the ended processes."""

import os
import pathlib
import subprocess
import sys

import pytest

from bench import processes, web

# Below the range that other tests draw from.
PORTS = (9_990, 10_000)
# Runs at the same time must not meet in a range as small as this.
FIRST_PORT = 9_000 + os.getpid() % 900
TWO_PORTS = (FIRST_PORT, FIRST_PORT + 2)
DRAW_PORTS = """
import sys
from bench import web
web.PORT_RANGE = (int(sys.argv[1]), int(sys.argv[2]))
print(web.free_port(), web.free_port())
"""


@pytest.fixture(autouse=True)
def own_reservations(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Keep reservations apart from those of other runs."""
    monkeypatch.setenv('TMPDIR', str(tmp_path))
    name = f'cranberryrill-ports-{os.getuid()}'
    reservations = web.PortReservations(tmp_path / name)
    monkeypatch.setattr(web, '_reservations', lambda: reservations)


def test_port_is_not_given_twice(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(web, 'PORT_RANGE', PORTS)
    ports = [web.free_port() for _ in range(6)]
    drawn_elsewhere = subprocess.run(
        [sys.executable, '-c', DRAW_PORTS, *(str(port) for port in PORTS)],
        capture_output=True,
        text=True,
        check=True,
    )
    ports.extend(int(port) for port in drawn_elsewhere.stdout.split())
    assert len(set(ports)) == 8


def test_exhausted_ports_are_an_error(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(web, 'PORT_RANGE', TWO_PORTS)
    web.free_port()
    web.free_port()
    with pytest.raises(web.NoFreePort):
        web.free_port()


def test_failed_wait_shows_the_last_lines_of_ended_processes(
    tmp_path: pathlib.Path,
) -> None:
    process = processes.Process(
        'control-7',
        [sys.executable, '-c', 'print("cannot start"); raise SystemExit(3)'],
        tmp_path / 'log',
    )
    process.start()
    process.wait()
    with pytest.raises(web.WaitTimeout, match='a leader') as caught:
        web.wait_until(bool, 'a leader', 0)
    assert 'control-7 ended with 3' in str(caught.value)
    assert 'cannot start' in str(caught.value)
