"""Tell whether an upstream has received the whole body of a request."""

import array
import fcntl
import logging
import os
import socket
import termios
import typing

import pycurl

LOGGER = logging.getLogger(__name__)
# State in `tcp_info` (linux/tcp.h) of a connection that was reset, before its
# socket is closed; an orderly end by the peer leads to CLOSE_WAIT.
TCP_CLOSE = 7


class Upload:
    """Body of one request on its way to an upstream.

    curl has sent a body once the kernel has it; the upstream's kernel may not
    have acknowledged it when the connection ends. A reset drops what is not
    acknowledged, or not read.
    """

    def __init__(self, body_bytes: int) -> None:
        self.body_bytes = body_bytes
        # Both are set when the connection is closed.
        self.unacknowledged_bytes = 0
        self.was_reset = False

    def watch(self, curl: typing.Any) -> None:
        """Look at the connection of a request with a body when it is closed."""
        if self.body_bytes:
            curl.setopt(pycurl.CLOSESOCKETFUNCTION, self.close_socket)

    def is_received(self, sent_bytes: int) -> bool:
        """Return whether the upstream has received the body.

        `sent_bytes` is how much of it curl has sent. Call it after the
        connection is closed.
        """
        if self.was_reset or self.unacknowledged_bytes:
            return False
        return sent_bytes >= self.body_bytes

    def close_socket(self, descriptor: int) -> int:
        """Close a socket in place of curl, and keep the state of its upload."""
        try:
            self.unacknowledged_bytes = unacknowledged_bytes(descriptor)
            # Read last: a reset that comes first empties the queue.
            self.was_reset = is_reset(descriptor)
        except OSError as error:
            LOGGER.debug('upload not known', extra={'cause': str(error)})
        finally:
            os.close(descriptor)
        return 0


def unacknowledged_bytes(descriptor: int) -> int:
    """Return how many bytes the peer of a TCP socket has not acknowledged."""
    queued = array.array('i', [0])
    fcntl.ioctl(descriptor, termios.TIOCOUTQ, queued)
    return queued[0]


def is_reset(descriptor: int) -> bool:
    """Return whether the connection of an open TCP socket was reset."""
    connection = socket.socket(fileno=descriptor)
    try:
        state = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    finally:
        # Keeps the descriptor open.
        connection.detach()
    return state[0] == TCP_CLOSE
