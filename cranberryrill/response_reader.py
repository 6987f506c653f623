"""Read one HTTP response by the grammar of RFC 9110 and RFC 9112.

curl ignores fields that it can't read. Without a length or chunks, the body
then seems to end with the connection. So each line that curl hands over is read
here, too, and malformed heads are rejected. With the heads that are accepted,
curl and this reader agree on where the body ends.
"""

import dataclasses
import enum
import http
import re
import typing

import pycurl
from tornado import httputil

from cranberryrill import chunked_body, response_syntax, status_line

MIN_FINAL_STATUS = 200
BODILESS_STATUSES = frozenset(
    (http.HTTPStatus.NO_CONTENT, http.HTTPStatus.NOT_MODIFIED)
)
LENGTH_HEADER = 'content-length'
CODING_HEADER = 'transfer-encoding'
CHUNKED = 'chunked'
# Bounded, as Python converts no integers of thousands of digits.
LENGTH = re.compile('[0-9]{1,20}')
# curl counts in signed integers of 64 bits.
MAX_LENGTH = 0x7FFFFFFFFFFFFFFF
# The first version of HTTP that has transfer codings.
VERSION_WITH_CODINGS = 'HTTP/1.1 '
LINE_END = b'\n'


class Framing(enum.Enum):
    """What ends the body of a response (RFC 9112, section 6.3)."""

    no_body = 'no body'
    length = 'length'
    chunks = 'chunks'
    connection_end = 'connection end'


@dataclasses.dataclass(frozen=True)
class Head:
    """Head of a final response.

    `length` is that of the body in bytes, with the framing `length`.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    framing: Framing
    length: int = 0

    def header(self, name: str) -> str | None:
        """Return the first value of a header, or None; `name` in lower case."""
        for header_name, content in self.headers:
            if header_name.lower() == name:
                return content
        return None


class ResponseReader:
    """Reader of one response, which comes as lines and parts of a body.

    `status` is that of the latest status line, 0 before the first. `head` is
    None until the whole head of the final response was read.
    """

    def __init__(self, method: str) -> None:
        self.method = method
        self.status = 0
        self.has_codings = False
        self.fields = httputil.HTTPHeaders()
        self.head: Head | None = None
        self.chunks = chunked_body.ChunkDecoder()
        # Bytes of the body's content.
        self.body_bytes = 0

    @property
    def is_whole(self) -> bool:
        """Return whether nothing of the response is missing.

        If its framing is the end of the connection, that can't be told from
        what was received.
        """
        if self.head is None:
            return False
        if self.head.framing is Framing.length:
            return self.body_bytes == self.head.length
        if self.head.framing is Framing.chunks:
            return self.chunks.is_complete
        return True

    @property
    def chunk_metadata_bytes(self) -> int:
        """Return the size of the chunks' extensions and of the trailer."""
        return self.chunks.metadata_bytes

    def prepare(self, curl: typing.Any) -> None:
        """Make curl hand over chunks as they were sent, to be read here."""
        curl.setopt(pycurl.HTTP_TRANSFER_DECODING, 0)

    def read_line(self, line: bytes) -> None:
        """Read a line of a head; one that follows the final head is ignored.

        Raises MalformedResponse.
        """
        # At the end of a connection, curl also hands over part of a line.
        if self.head is not None or not line.endswith(LINE_END):
            return
        text = line.decode('latin-1').removesuffix('\n').removesuffix('\r')
        if self.status == 0:
            self._read_status(text)
        elif text:
            response_syntax.read_field(self.fields, text)
        elif self.status < MIN_FINAL_STATUS:
            self._end_interim_head()
        else:
            self.head = self._final_head()

    def read_body(self, received: bytes) -> bytes:
        """Read a part of the body, and return its content.

        Raises MalformedResponse.
        """
        content = received
        if self.head is not None and self.head.framing is Framing.chunks:
            content = self.chunks.decode(received)
        self.body_bytes += len(content)
        return content

    def _read_status(self, line: str) -> None:
        status = status_line.parse_status(line)
        if status is None:
            raise response_syntax.MalformedResponse(
                f'no status in {response_syntax.quoted(line)}'
            )
        # Only valid after a request for an upgrade, and none is sent.
        if status == http.HTTPStatus.SWITCHING_PROTOCOLS:
            raise response_syntax.MalformedResponse(
                'a switch to another protocol'
            )
        self.status = status
        self.has_codings = line.startswith(VERSION_WITH_CODINGS)

    def _end_interim_head(self) -> None:
        for name in (LENGTH_HEADER, CODING_HEADER):
            if name in self.fields:
                raise response_syntax.MalformedResponse(
                    f'{name} in an interim response'
                )
        self.status = 0
        self.fields = httputil.HTTPHeaders()

    def _final_head(self) -> Head:
        length = _body_length(self.fields.get_list(LENGTH_HEADER))
        return Head(
            self.status,
            tuple(self.fields.get_all()),
            self._framing(length),
            length or 0,
        )

    def _framing(self, length: int | None) -> Framing:
        codings = self.fields.get_list(CODING_HEADER)
        if codings:
            self._check_codings(codings, length)
        if self.method == 'HEAD' or self.status in BODILESS_STATUSES:
            return Framing.no_body
        if codings:
            return Framing.chunks
        return Framing.connection_end if length is None else Framing.length

    def _check_codings(self, codings: list[str], length: int | None) -> None:
        """Accept chunks alone: curl asks for no other coding."""
        if [coding.lower() for coding in codings] != [CHUNKED]:
            raise response_syntax.MalformedResponse(
                f'transfer codings {response_syntax.quoted(codings)}'
            )
        if length is not None:
            raise response_syntax.MalformedResponse('a length beside chunks')
        if not self.has_codings:
            raise response_syntax.MalformedResponse(
                'a transfer coding in HTTP/1.0'
            )


def _body_length(contents: list[str]) -> int | None:
    """Return the length in the values of its header; None without any.

    Several values are valid if they are equal (RFC 9112, section 6.3).
    """
    if not contents:
        return None
    lengths = {length.strip(' \t') for length in ','.join(contents).split(',')}
    text = lengths.pop()
    if lengths or not LENGTH.fullmatch(text) or int(text) > MAX_LENGTH:
        raise response_syntax.MalformedResponse(
            f'length {response_syntax.quoted(contents)}'
        )
    return int(text)
