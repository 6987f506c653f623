"""Read and write checksummed records in files that survive a crash."""

import os
import pathlib
import struct
from collections import abc

import crc32c

LENGTH = struct.Struct('<I')
# Content length, checksum of that length, checksum of the content.
HEADER = struct.Struct('<III')


class StorageFailure(Exception):
    """The data folder is not reliable; the process has to stop."""

    def __init__(self, path: pathlib.Path, detail: str) -> None:
        super().__init__(f'{path}: {detail}')
        self.path = path


class CorruptRecord(StorageFailure):
    """A record's checksum does not match its content."""

    def __init__(self, path: pathlib.Path, offset: int) -> None:
        super().__init__(path, f'corrupt record at byte {offset}')
        self.offset = offset


class FolderInUse(StorageFailure):
    """Another process has locked the data folder."""

    def __init__(self, path: pathlib.Path) -> None:
        super().__init__(path, 'in use by another process')


class DiskFailed(StorageFailure):
    """A write or sync failed; the written data may be lost."""

    def __init__(self, path: pathlib.Path, cause: OSError) -> None:
        super().__init__(path, f'disk failed: {cause.strerror or cause}')


def frame(content: bytes) -> bytes:
    """Return `content` prefixed with its length and checksums."""
    length = len(content)
    header = HEADER.pack(
        length,
        _length_checksum(length),
        crc32c.crc32c(content),
    )
    return header + content


def records(path: pathlib.Path) -> abc.Iterator[tuple[int, bytes]]:
    """Yield the end offset in bytes and the content of each record.

    The iteration ends at a record that the end of the file cuts off, and at
    zeros up to the end: neither was ever synced. Any other damage raises
    `CorruptRecord`, since it may affect a record that was acknowledged.
    """
    raw = path.read_bytes()
    offset = 0
    while offset + HEADER.size <= len(raw):
        length, length_checksum, checksum = HEADER.unpack_from(raw, offset)
        start = offset + HEADER.size
        end = start + length
        if length_checksum != _length_checksum(length):
            if not any(raw[offset:]):
                return
            raise CorruptRecord(path, offset)
        if end > len(raw):
            return
        content = raw[start:end]
        if crc32c.crc32c(content) != checksum:
            raise CorruptRecord(path, offset)
        yield end, content
        offset = end


def read_one(path: pathlib.Path) -> bytes | None:
    """Return the only record of a file, or None if there is no file.

    Raises `CorruptRecord` if the file does not hold a complete record.
    """
    if not path.exists():
        return None
    for end, content in records(path):
        if end == path.stat().st_size:
            return content
    raise CorruptRecord(path, 0)


def replace(path: pathlib.Path, content: bytes) -> None:
    """Replace the file at `path` atomically with one synced record."""
    partial = path.with_suffix('.partial')
    with partial.open('wb') as stream:
        stream.write(frame(content))
        stream.flush()
        os.fsync(stream.fileno())
    partial.rename(path)
    sync_folder(path.parent)


def sync_folder(folder: pathlib.Path) -> None:
    """Sync the directory entries of `folder` to disk."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def make_folder(folder: pathlib.Path) -> None:
    """Create `folder` and missing parents so that they survive a crash."""
    if folder.is_dir():
        return
    make_folder(folder.parent)
    folder.mkdir(exist_ok=True)
    sync_folder(folder.parent)


def _length_checksum(length: int) -> int:
    return int(crc32c.crc32c(LENGTH.pack(length)))
