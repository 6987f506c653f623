"""Whether a body was received is told when its connection closes."""

import os
import socket
import struct
import time
from collections import abc

import pytest

from cranberryrill.forwarding import upload

HOST = '127.0.0.1'
BODY = b'x' * 10_000
PART = b'part of a response'
# Closes a connection with a reset.
NO_LINGER = struct.pack('ii', 1, 0)
WAIT_SECONDS = 5


class Connection:
    """Connection on which a whole body was sent and acknowledged."""

    def __init__(self) -> None:
        with socket.create_server((HOST, 0)) as listener:
            self.near = socket.create_connection(listener.getsockname())
            self.upstream = listener.accept()[0]
        self.near.settimeout(WAIT_SECONDS)
        self.near.sendall(BODY)
        self.upstream.sendall(PART)
        self.upstream.shutdown(socket.SHUT_WR)

    def receive(self) -> bytes:
        """Return what the upstream has sent, up to its end."""
        received = b''
        while part := self.near.recv(len(PART)):
            received += part
        return received

    def reset(self) -> None:
        """Reset the connection, and wait until that has arrived."""
        self.upstream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        self.upstream.close()
        deadline = time.monotonic() + WAIT_SECONDS
        while not upload.is_reset(self.near.fileno()):
            assert time.monotonic() < deadline

    def is_received(self) -> bool:
        """Close the near end; return whether the body counts as received."""
        watched = upload.Upload(len(BODY))
        watched.close_socket(os.dup(self.near.fileno()))
        return watched.is_received(len(BODY))


@pytest.fixture
def connection() -> abc.Iterator[Connection]:
    opened = Connection()
    yield opened
    opened.near.close()
    opened.upstream.close()


def test_body_is_received_before_an_orderly_end(
    connection: Connection,
) -> None:
    # An upstream may answer before it reads what its kernel has.
    assert connection.receive() == PART
    assert connection.is_received()


def test_body_is_not_received_before_a_reset(connection: Connection) -> None:
    # Failed when only the queue was read, which a reset empties.
    assert connection.receive() == PART
    connection.reset()
    assert not upload.unacknowledged_bytes(connection.near.fileno())
    assert not connection.is_received()


def test_reset_is_told_from_an_orderly_end(connection: Connection) -> None:
    connection.receive()
    assert not upload.is_reset(connection.near.fileno())
    connection.reset()
    assert upload.is_reset(connection.near.fileno())


def test_descriptor_is_closed_although_it_is_no_socket() -> None:
    reading, writing = os.pipe()
    watched = upload.Upload(1)
    watched.close_socket(reading)
    os.close(writing)
    with pytest.raises(OSError, match='Bad file descriptor'):
        os.fstat(reading)
