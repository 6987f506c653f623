"""A control member stands aside while its disk takes no writes."""

import asyncio
import os
import pathlib
import signal

import pytest

from cranberryrill.programs import disk_recovery


def test_probe_leaves_nothing_behind(tmp_path: pathlib.Path) -> None:
    assert disk_recovery.is_writable(tmp_path)
    assert not list(tmp_path.iterdir())
    assert not disk_recovery.is_writable(tmp_path / 'missing')


async def test_member_waits_until_its_disk_takes_writes(
    tmp_path: pathlib.Path,
) -> None:
    folder = tmp_path / 'data'
    waiting = asyncio.create_task(disk_recovery.wait_writable(folder))
    await asyncio.sleep(disk_recovery.PROBE_PERIOD_SECONDS * 2)
    assert not waiting.done()
    folder.mkdir()
    async with asyncio.timeout(disk_recovery.PROBE_PERIOD_SECONDS * 5):
        assert await waiting


async def test_failures_never_follow_without_a_pause(
    tmp_path: pathlib.Path,
) -> None:
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    assert await disk_recovery.wait_writable(tmp_path)
    assert loop.time() - began_at >= disk_recovery.PROBE_PERIOD_SECONDS * 0.9


async def test_member_that_waits_can_be_stopped(
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(disk_recovery, 'is_writable', lambda folder: False)
    waiting = asyncio.create_task(disk_recovery.wait_writable(tmp_path))
    await asyncio.sleep(0.05)
    os.kill(os.getpid(), signal.SIGTERM)
    async with asyncio.timeout(2):
        assert not await waiting
