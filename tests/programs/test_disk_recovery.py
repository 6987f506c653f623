"""A control member waits while its disk rejects writes."""

import asyncio
import os
import pathlib
import signal

import pytest

from cranberryrill.programs import disk_recovery


def test_probe_leaves_no_file(tmp_path: pathlib.Path) -> None:
    assert disk_recovery.is_writable(tmp_path)
    assert not list(tmp_path.iterdir())
    assert not disk_recovery.is_writable(tmp_path / 'missing')


async def test_wait_ends_when_folder_is_writable(
    tmp_path: pathlib.Path,
) -> None:
    folder = tmp_path / 'data'
    wait_task = asyncio.create_task(disk_recovery.wait_writable(folder))
    await asyncio.sleep(disk_recovery.PROBE_PERIOD_SECONDS * 2)
    assert not wait_task.done()
    folder.mkdir()
    async with asyncio.timeout(disk_recovery.PROBE_PERIOD_SECONDS * 5):
        assert await wait_task


async def test_first_probe_follows_after_a_pause(
    tmp_path: pathlib.Path,
) -> None:
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    assert await disk_recovery.wait_writable(tmp_path)
    assert loop.time() - started_at >= disk_recovery.PROBE_PERIOD_SECONDS * 0.9


async def test_stop_signal_ends_the_wait(
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(disk_recovery, 'is_writable', lambda folder: False)
    wait_task = asyncio.create_task(disk_recovery.wait_writable(tmp_path))
    await asyncio.sleep(0.05)
    os.kill(os.getpid(), signal.SIGTERM)
    async with asyncio.timeout(2):
        assert not await wait_task
