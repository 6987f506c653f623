"""Fetch with tornado's curl client, and reject malformed responses.

tornado passes on any number as a status, and accepts a truncated head.
"""

import typing
from collections import abc

import pycurl
from tornado import curl_httpclient, httpclient

from cranberryrill import response_reader, response_syntax

# Returned to curl in place of the number of bytes taken, it ends the transfer.
ABORT = -1
MAX_BODY_BYTES = 67_108_864


def discard(content: bytes) -> None:
    """Drop a part of a body that is not needed, so that none is collected."""


async def fetch(
    client: curl_httpclient.CurlAsyncHTTPClient,
    request: httpclient.HTTPRequest,
    on_content: abc.Callable[[bytes], None] = discard,
) -> response_reader.Head:
    """Return the head of the response, once the response was read as a whole.

    `on_content` is called with each part of the body. Raises
    MalformedResponse, or what `client` raises if it gets no response.
    """
    receiver = _Receiver(request, on_content)
    request.prepare_curl_callback = receiver.prepare
    # A length counts the bytes that curl would decode.
    request.decompress_response = False
    try:
        await client.fetch(request, raise_error=False)
    except httpclient.HTTPError as error:
        if receiver.failure is not None:
            raise receiver.failure from error
        raise
    return receiver.whole_head()


class _Receiver:
    """Reader of the response to one request, called by curl."""

    def __init__(
        self,
        request: httpclient.HTTPRequest,
        on_content: abc.Callable[[bytes], None],
    ) -> None:
        self.prepare_request = request.prepare_curl_callback
        self.on_content = on_content
        self.reader = response_reader.ResponseReader(request.method)
        self.failure: response_syntax.MalformedResponse | None = None

    def prepare(self, curl: typing.Any) -> None:
        """Make curl hand the response to this reader."""
        if self.prepare_request is not None:
            self.prepare_request(curl)
        curl.setopt(pycurl.HEADERFUNCTION, self._read_line)
        curl.setopt(pycurl.WRITEFUNCTION, self._read_body)
        self.reader.prepare(curl)

    def whole_head(self) -> response_reader.Head:
        """Return the head, unless a part of the response is missing."""
        if self.reader.head is None:
            raise response_syntax.MalformedResponse('the response had no head')
        if not self.reader.is_whole:
            raise response_syntax.MalformedResponse(
                'the body does not end as its head says'
            )
        return self.reader.head

    def _read_line(self, line: bytes) -> int | None:
        try:
            self.reader.read_line(line)
        except response_syntax.MalformedResponse as error:
            self.failure = error
            return ABORT
        return None

    def _read_body(self, received: bytes) -> int | None:
        try:
            self.on_content(self._bounded_content(received))
        except response_syntax.MalformedResponse as error:
            self.failure = error
            return ABORT
        return None

    def _bounded_content(self, received: bytes) -> bytes:
        content = self.reader.read_body(received)
        if self.reader.body_bytes > MAX_BODY_BYTES:
            raise response_syntax.MalformedResponse(
                f'a body of over {MAX_BODY_BYTES} bytes'
            )
        return content
