"""Complete, cut off and damaged records, and the lock of their folder."""

import errno
import os
import pathlib

import pytest

from cranberryrill import clock
from cranberryrill.replication import disk, files, folder_lock, store

FIRST = files.frame(b'first')


def read(path: pathlib.Path) -> list[bytes]:
    return [content for _, content in files.records(path)]


@pytest.mark.parametrize('kept', range(1, len(files.frame(b'second'))))
def test_cut_off_last_record_is_skipped(
    tmp_path: pathlib.Path,
    kept: int,
) -> None:
    path = tmp_path / 'log'
    path.write_bytes(FIRST + files.frame(b'second')[:kept])
    assert read(path) == [b'first']


def test_trailing_zeros_are_skipped(tmp_path: pathlib.Path) -> None:
    path = tmp_path / 'log'
    path.write_bytes(FIRST + bytes(4096))
    assert read(path) == [b'first']


@pytest.mark.parametrize('position', range(len(FIRST)))
@pytest.mark.parametrize('last', [True, False])
def test_flipped_bit_is_reported(
    tmp_path: pathlib.Path,
    position: int,
    last: bool,
) -> None:
    path = tmp_path / 'log'
    damaged = bytearray(FIRST)
    damaged[position] ^= 1
    path.write_bytes(bytes(damaged) if last else bytes(damaged) + FIRST)
    with pytest.raises(files.CorruptRecord) as caught:
        read(path)
    assert caught.value.offset == 0


def test_replaced_file_is_complete(tmp_path: pathlib.Path) -> None:
    path = tmp_path / 'ballot'
    assert files.read_one(path) is None
    files.replace(path, b'term')
    assert files.read_one(path) == b'term'
    path.write_bytes(path.read_bytes()[:-1])
    with pytest.raises(files.CorruptRecord):
        files.read_one(path)


def test_folder_has_one_owner(tmp_path: pathlib.Path) -> None:
    opened = disk.Disk(tmp_path)
    with pytest.raises(files.FolderInUse):
        disk.Disk(tmp_path)
    opened.close()
    disk.Disk(tmp_path).close()


def test_folder_can_be_locked_before_it_is_opened(
    tmp_path: pathlib.Path,
) -> None:
    lock = folder_lock.acquire(tmp_path)
    assert lock is not None
    assert lock.locked_at <= clock.monotonic_seconds()
    assert folder_lock.acquire(tmp_path) is None
    opened = disk.Disk(tmp_path, lock)
    assert opened.lock.locked_at == lock.locked_at
    opened.close()
    assert folder_lock.acquire(tmp_path) is not None


def test_folder_that_fails_to_open_is_unlocked(
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    lock = folder_lock.acquire(tmp_path)

    def fail(descriptor: int) -> None:
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    with monkeypatch.context() as patched:
        patched.setattr(os, 'fsync', fail)
        with pytest.raises(OSError, match='No space'):
            store.Store(tmp_path, lock)
    # The folder can be locked and opened again once writes succeed.
    store.Store(tmp_path).close()
