"""Structured logs: one JSON object per line, written without blocking."""

import asyncio
import collections
import logging
import os
import sys

from pythonjsonlogger import json as json_logger

LOG_FORMAT = '%(asctime)s %(levelname)s %(name)s %(message)s'
# When more is buffered, new lines are dropped and counted.
MAX_BUFFERED_BYTES = 1024 * 1024
# Further lines within a second are dropped and counted, except warnings and
# errors.
MAX_LINES_PER_SECOND = 1500
# Delay before another write when the reader of the logs lags behind.
RETRY_DELAY_SECONDS = 0.05


def configure(level: str, process: str) -> 'BoundedHandler':
    """Write all logs of this process to standard output as JSON.

    The returned handler must be flushed before the process exits.
    """
    handler = BoundedHandler(sys.stdout.fileno())
    _install(handler, level, process)
    return handler


def _install(handler: logging.Handler, level: str, process: str) -> None:
    formatter = json_logger.JsonFormatter(
        LOG_FORMAT,
        rename_fields={'levelname': 'level', 'asctime': 'time'},
        static_fields={'process_name': process},
    )
    handler.setFormatter(formatter)
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    # Requests are logged by this project; tornado's access log repeats them.
    logging.getLogger('tornado.access').setLevel(logging.CRITICAL)
    # grpclib logs each stream that a peer ends, which is normal here.
    logging.getLogger('grpclib').setLevel(logging.WARNING)


class BoundedHandler(logging.Handler):
    """Handler that buffers a bounded number of bytes and drops further lines.

    `descriptor` becomes non-blocking, so that a slow reader of the logs never
    blocks the event loop. The number of dropped lines is logged.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self.descriptor = descriptor
        os.set_blocking(descriptor, False)
        self.buffered: collections.deque[bytes] = collections.deque()
        self.buffered_bytes = 0
        self.dropped = 0
        self.second = 0
        self.second_lines = 0
        self.is_scheduled = False

    def emit(self, record: logging.LogRecord) -> None:
        """Buffer one line, or count it as dropped."""
        if not self._accepts(record):
            self.dropped += 1
            return
        line = f'{self.format(record)}\n'.encode()
        self.buffered.append(line)
        self.buffered_bytes += len(line)
        self._schedule()

    def flush_now(self) -> None:
        """Write as much of the buffer as is possible without blocking."""
        self.is_scheduled = False
        if self.dropped:
            notice = (
                f'{{"message": "lines dropped", "count": {self.dropped}}}\n'
            )
            self.buffered.append(notice.encode())
            self.buffered_bytes += len(notice)
            self.dropped = 0
        while self.buffered:
            pending = b''.join(self.buffered)
            self.buffered.clear()
            self.buffered_bytes = 0
            try:
                written = os.write(self.descriptor, pending)
            except BlockingIOError:
                written = 0
            except OSError:
                # The reader is gone, so the error can't be logged either.
                return
            if written < len(pending):
                self.buffered.append(pending[written:])
                self.buffered_bytes = len(pending) - written
                self._schedule(delay_seconds=RETRY_DELAY_SECONDS)
                return

    def _accepts(self, record: logging.LogRecord) -> bool:
        if self.buffered_bytes > MAX_BUFFERED_BYTES:
            return False
        second = int(record.created)
        if second != self.second:
            self.second = second
            self.second_lines = 0
        self.second_lines += 1
        if record.levelno >= logging.WARNING:
            return True
        return self.second_lines <= MAX_LINES_PER_SECOND

    def _schedule(self, delay_seconds: float = 0) -> None:
        if self.is_scheduled:
            return
        loop = _running_loop()
        if loop is None:
            self.flush_now()
            return
        self.is_scheduled = True
        loop.call_later(delay_seconds, self.flush_now)


def _running_loop() -> asyncio.AbstractEventLoop | None:
    try:
        return asyncio.get_running_loop()
    except RuntimeError:
        return None
