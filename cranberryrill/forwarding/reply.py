"""Write one answer to one caller."""

import http
import json
from collections import abc

from tornado import http1connection, httputil, iostream

from cranberryrill import failures

# A caller that reads nothing for this long is given up, in seconds.
WRITE_TIMEOUT = 20.0


class CallerLeft(Exception):
    """The caller has closed its connection."""


class Reply:
    """Answer on a connection, once and whole, or break off visibly."""

    def __init__(self, connection: http1connection.HTTP1Connection) -> None:
        self.connection = connection
        self.status = 0
        self.started = False
        # Asks the caller to open a new connection for its next request.
        self.close_connection = False

    async def send_full(
        self,
        status: int,
        headers: abc.Sequence[tuple[str, str]],
        body: bytes,
    ) -> None:
        """Send an answer that is there as a whole."""
        fields = self._fields(headers)
        fields['Content-Length'] = str(len(body))
        await self._write_head(status, fields, body)
        self.connection.finish()

    async def start(
        self,
        status: int,
        headers: abc.Sequence[tuple[str, str]],
        content: bytes,
    ) -> None:
        """Send the head and first bytes of an answer without a length."""
        await self._write_head(status, self._fields(headers), content)

    async def write(self, content: bytes) -> None:
        """Send more of the body."""
        try:
            await self.connection.write(content)
        except iostream.StreamClosedError as error:
            raise CallerLeft from error

    def finish(self) -> None:
        """Mark the answer as whole."""
        self.connection.finish()

    def abort(self) -> None:
        """Close the connection, so that the answer does not look whole."""
        self.connection.stream.close()

    async def refuse(self, failure: failures.Failure, request_id: str) -> None:
        """Send a failure of this system's own."""
        headers = [('Content-Type', 'application/json')]
        if failure.retry_after_seconds is not None:
            seconds = f'{failure.retry_after_seconds:.2f}'
            headers.append(('Retry-After', seconds))
        body = json.dumps(failures.error_body(failure, request_id))
        await self.send_full(failure.status, headers, body.encode())

    async def _write_head(
        self,
        status: int,
        fields: httputil.HTTPHeaders,
        content: bytes,
    ) -> None:
        self.started = True
        self.status = status
        line = httputil.ResponseStartLine('HTTP/1.1', status, _reason(status))
        try:
            await self.connection.write_headers(line, fields, content)
        except iostream.StreamClosedError as error:
            raise CallerLeft from error

    def _fields(
        self,
        headers: abc.Sequence[tuple[str, str]],
    ) -> httputil.HTTPHeaders:
        fields = httputil.HTTPHeaders()
        for name, content in headers:
            fields.add(name, content)
        if self.close_connection:
            fields['Connection'] = 'close'
        return fields


def _reason(status: int) -> str:
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return 'Unknown'
