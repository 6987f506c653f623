"""Read records back, whole, torn or damaged, and hold their folder."""

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
def test_torn_last_record_ends(tmp_path: pathlib.Path, kept: int) -> None:
    path = tmp_path / 'log'
    path.write_bytes(FIRST + files.frame(b'second')[:kept])
    assert read(path) == [b'first']


def test_unwritten_zeros_end(tmp_path: pathlib.Path) -> None:
    path = tmp_path / 'log'
    path.write_bytes(FIRST + bytes(4096))
    assert read(path) == [b'first']


@pytest.mark.parametrize('position', range(len(FIRST)))
@pytest.mark.parametrize('last', [True, False])
def test_flipped_byte_is_named(
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


def test_replaced_file_is_whole(tmp_path: pathlib.Path) -> None:
    path = tmp_path / 'ballot'
    assert files.read_one(path) is None
    files.replace(path, b'term')
    assert files.read_one(path) == b'term'
    path.write_bytes(path.read_bytes()[:-1])
    with pytest.raises(files.CorruptRecord):
        files.read_one(path)


def test_one_process_holds_a_folder(tmp_path: pathlib.Path) -> None:
    held = disk.Disk(tmp_path)
    with pytest.raises(files.FolderInUse):
        disk.Disk(tmp_path)
    held.close()
    disk.Disk(tmp_path).close()


def test_a_folder_may_be_locked_before_it_is_opened(
    tmp_path: pathlib.Path,
) -> None:
    early = folder_lock.acquire(tmp_path)
    assert early is not None
    assert early.locked_at <= clock.monotonic_seconds()
    assert folder_lock.acquire(tmp_path) is None
    held = disk.Disk(tmp_path, early)
    assert held.lock.locked_at == early.locked_at
    held.close()
    assert folder_lock.acquire(tmp_path) is not None


def test_a_folder_that_can_not_be_opened_is_given_up(
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    early = folder_lock.acquire(tmp_path)

    def fail(descriptor: int) -> None:
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    with monkeypatch.context() as patched:
        patched.setattr(os, 'fsync', fail)
        with pytest.raises(OSError, match='No space'):
            store.Store(tmp_path, early)
    # Whoever locked it early goes on when the disk takes writes again.
    store.Store(tmp_path).close()
