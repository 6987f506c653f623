"""Receive request bodies within limits of size and time."""

import asyncio
import dataclasses

from tornado import web

from cranberryrill import decimal_numbers, failures
from cranberryrill.callers import refusals

# An oversized body is read and discarded up to this multiple of the size limit,
# so that the connection stays open for the caller to read the refusal.
DISCARD_LIMIT_FACTOR = 8


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits of one request body: its size, and the time to receive it."""

    body_bytes: int
    body_seconds: float


@web.stream_request_body
class BodyHandler(web.RequestHandler):
    """Base handler that collects the body or refuses it with a typed error."""

    limits: Limits
    request_id: str
    body_timer: asyncio.TimerHandle | None

    def enforce_body_limits(self) -> None:
        """Refuse a declared length over the limit; start the body timer."""
        connection = self.request.connection
        limit = self.limits.body_bytes * DISCARD_LIMIT_FACTOR
        connection.set_max_body_size(limit)  # type: ignore[union-attr]
        length = decimal_numbers.parse(
            self.request.headers.get('Content-Length', '')
        )
        if length is not None and length > self.limits.body_bytes:
            self._refuse_too_large()
            return
        self.body_timer = asyncio.get_running_loop().call_later(
            self.limits.body_seconds,
            self._refuse_too_slow,
        )

    def data_received(self, chunk: bytes) -> None:
        """Append a chunk to the body; refuse the body once it is too large."""
        if self._finished:
            return
        self.request.body += chunk
        if len(self.request.body) > self.limits.body_bytes:
            self._refuse_too_large()

    def cancel_body_timer(self) -> None:
        """Cancel the timer that refuses a slow body."""
        if self.body_timer is not None:
            self.body_timer.cancel()

    def on_connection_close(self) -> None:
        """Cancel the body timer when the caller disconnects."""
        self.cancel_body_timer()

    def refuse(self, failure: failures.Failure) -> None:
        """Respond with the failure's status and a typed error body."""
        self.set_status(failure.status)
        if failure.retry_after_seconds is not None:
            seconds = max(1, round(failure.retry_after_seconds))
            self.set_header('Retry-After', str(seconds))
        self.finish(failures.error_body(failure, self.request_id))

    def _refuse_too_large(self) -> None:
        self.request.body = b''
        self.set_header('Connection', 'close')
        self.refuse(
            refusals.BodyTooLarge(
                f'a body holds at most {self.limits.body_bytes} bytes',
            ),
        )

    def _refuse_too_slow(self) -> None:
        if self._finished:
            return
        self.set_header('Connection', 'close')
        self.refuse(
            refusals.BodyTooSlow(
                f'a body must arrive in {self.limits.body_seconds} seconds',
            ),
        )
