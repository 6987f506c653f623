"""Exit with status 1 and a one-line reason when a data folder is unusable.

An incomplete last record is not a fault: it is dropped at the start.
"""

from collections import abc

import pytest

from bench import cluster, processes

INCOMPLETE_RECORD_BYTES = 5


@pytest.fixture(scope='module')
def system(
    tmp_path_factory: pytest.TempPathFactory,
) -> abc.Iterator[cluster.Cluster]:
    """Start a single control member; each test leaves its folder usable."""
    running = cluster.Cluster(tmp_path_factory.mktemp('start'), members=1)
    try:
        running.start_control()
        yield running
    finally:
        running.stop()


def last_line(process: processes.Process) -> str:
    return process.log.read_text().splitlines()[-1]


def stop(system: cluster.Cluster) -> None:
    system.processes['control-0'].kill()


def restart(system: cluster.Cluster) -> processes.Process:
    process = system.processes['control-0']
    process.start()
    return process


def test_corrupt_record_prevents_the_start(system: cluster.Cluster) -> None:
    stop(system)
    log = system.folder / 'control-0' / 'log'
    intact = log.read_bytes()
    corrupt = bytearray(intact)
    corrupt[-1] ^= 1
    log.write_bytes(corrupt)
    process = restart(system)
    assert process.wait() == 1
    assert last_line(process).startswith('cranberryrill: control can not start')
    assert 'corrupt record at byte' in last_line(process)
    log.write_bytes(intact)


def test_incomplete_last_record_is_dropped(system: cluster.Cluster) -> None:
    stop(system)
    log = system.folder / 'control-0' / 'log'
    before = log.read_bytes()
    log.write_bytes(before + before[:INCOMPLETE_RECORD_BYTES])
    restart(system)
    assert system.leader() == 'control-0'
    assert log.read_bytes().startswith(before)


def test_second_process_on_a_data_folder_exits(system: cluster.Cluster) -> None:
    first = system.processes['control-0']
    if not first.is_running():
        first.start()
    second = processes.Process(
        'second',
        first.command,
        system.folder / 'second.log',
    )
    second.start()
    assert second.wait() == 1
    assert 'in use by another process' in last_line(second)
    assert first.is_running()


def test_full_disk_stops_the_process(system: cluster.Cluster) -> None:
    stop(system)
    # The new ballot is written to this file; /dev/full has no space left.
    partial = system.folder / 'control-0' / 'ballot.partial'
    partial.symlink_to('/dev/full')
    process = restart(system)
    assert process.wait() == 1
    assert last_line(process).startswith('cranberryrill: control stopped')
    assert 'No space left on device' in last_line(process)
    partial.unlink()
    restart(system)
    assert system.leader() == 'control-0'
