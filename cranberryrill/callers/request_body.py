"""Receive a caller's body within its limits of size and time."""

import asyncio
import dataclasses

from tornado import web

from cranberryrill import failures
from cranberryrill.callers import refusals

# So much of a body that is too large is read, for the caller to see why.
DISCARDED_BODIES = 8


@dataclasses.dataclass(frozen=True)
class Limits:
    """Bound what one caller may send."""

    body_bytes: int
    body_seconds: float


@web.stream_request_body
class BodyHandler(web.RequestHandler):
    """Collect the body, or refuse it with a typed error."""

    limits: Limits
    request_id: str
    timer: asyncio.TimerHandle | None

    def expect_body(self) -> None:
        """Start to wait for the body."""
        connection = self.request.connection
        limit = self.limits.body_bytes * DISCARDED_BODIES
        connection.set_max_body_size(limit)  # type: ignore[union-attr]
        length = self.request.headers.get('Content-Length', '')
        if length.isdigit() and int(length) > self.limits.body_bytes:
            self._refuse_size()
            return
        self.timer = asyncio.get_running_loop().call_later(
            self.limits.body_seconds,
            self._refuse_slowness,
        )

    def data_received(self, chunk: bytes) -> None:
        """Take a part of the body."""
        if self._finished:
            return
        self.request.body += chunk
        if len(self.request.body) > self.limits.body_bytes:
            self._refuse_size()

    def body_arrived(self) -> None:
        """Stop to wait for the body."""
        if self.timer is not None:
            self.timer.cancel()

    def on_connection_close(self) -> None:
        """Stop to wait for a caller who left."""
        self.body_arrived()

    def refuse(self, failure: failures.Failure) -> None:
        """Answer with a typed error."""
        self.set_status(failure.status)
        if failure.retry_after_seconds is not None:
            seconds = max(1, round(failure.retry_after_seconds))
            self.set_header('Retry-After', str(seconds))
        self.finish(failures.error_body(failure, self.request_id))

    def _refuse_size(self) -> None:
        self.request.body = b''
        self.set_header('Connection', 'close')
        self.refuse(
            refusals.BodyTooLarge(
                f'a body holds at most {self.limits.body_bytes} bytes',
            ),
        )

    def _refuse_slowness(self) -> None:
        if self._finished:
            return
        self.set_header('Connection', 'close')
        self.refuse(
            refusals.BodyTooSlow(
                f'a body must arrive in {self.limits.body_seconds} seconds',
            ),
        )
