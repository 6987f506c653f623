"""Set up structured logs: one JSON object a line, which never block."""

import asyncio
import collections
import logging
import os
import sys

from pythonjsonlogger import json as json_logger

FIELDS = '%(asctime)s %(levelname)s %(name)s %(message)s'
# What waits to be written beyond this is dropped and counted.
MAX_BUFFERED_BYTES = 1024 * 1024
# Lines beyond this in one second are dropped and counted; warnings are kept.
MAX_LINES_PER_SECOND = 1500
# A reader that lags is offered the rest after so many seconds.
RETRY_DELAY_SECONDS = 0.05


def configure(level: str, process: str) -> 'BoundedHandler':
    """Send all logs of this process to standard output as JSON."""
    handler = BoundedHandler(sys.stdout.fileno())
    _install(handler, level, process)
    return handler


def _install(handler: logging.Handler, level: str, process: str) -> None:
    formatter = json_logger.JsonFormatter(
        FIELDS,
        rename_fields={'levelname': 'level', 'asctime': 'time'},
        static_fields={'process_name': process},
    )
    handler.setFormatter(formatter)
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    # The HTTP server's own access lines would repeat ours.
    logging.getLogger('tornado.access').setLevel(logging.CRITICAL)
    # A stream that its caller ends is no event of its own.
    logging.getLogger('grpclib').setLevel(logging.WARNING)


class BoundedHandler(logging.Handler):
    """Write lines as fast as the reader takes them, and drop the rest."""

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self.descriptor = descriptor
        os.set_blocking(descriptor, False)
        self.waiting: collections.deque[bytes] = collections.deque()
        self.waiting_bytes = 0
        self.dropped = 0
        self.second = 0
        self.lines = 0
        self.is_scheduled = False

    def emit(self, record: logging.LogRecord) -> None:
        """Queue one line."""
        if not self._has_room(record):
            self.dropped += 1
            return
        line = f'{self.format(record)}\n'.encode()
        self.waiting.append(line)
        self.waiting_bytes += len(line)
        self._schedule()

    def flush_now(self) -> None:
        """Write what the reader takes at once."""
        self.is_scheduled = False
        if self.dropped:
            note = f'{{"message": "lines dropped", "count": {self.dropped}}}\n'
            self.waiting.append(note.encode())
            self.waiting_bytes += len(note)
            self.dropped = 0
        while self.waiting:
            content = b''.join(self.waiting)
            self.waiting.clear()
            self.waiting_bytes = 0
            try:
                written = os.write(self.descriptor, content)
            except BlockingIOError:
                written = 0
            except OSError:
                # Nobody reads any more, so nothing can be told.
                return
            if written < len(content):
                self.waiting.append(content[written:])
                self.waiting_bytes = len(content) - written
                self._schedule(after=RETRY_DELAY_SECONDS)
                return

    def _has_room(self, record: logging.LogRecord) -> bool:
        if self.waiting_bytes > MAX_BUFFERED_BYTES:
            return False
        second = int(record.created)
        if second != self.second:
            self.second = second
            self.lines = 0
        self.lines += 1
        if record.levelno >= logging.WARNING:
            return True
        return self.lines <= MAX_LINES_PER_SECOND

    def _schedule(self, after: float = 0) -> None:
        if self.is_scheduled:
            return
        loop = _running_loop()
        if loop is None:
            self.flush_now()
            return
        self.is_scheduled = True
        loop.call_later(after, self.flush_now)


def _running_loop() -> asyncio.AbstractEventLoop | None:
    try:
        return asyncio.get_running_loop()
    except RuntimeError:
        return None
