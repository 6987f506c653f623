"""Decode a body in chunks by the grammar of RFC 9112, section 7.1.

curl ignores whatever follows the digits of a size, so that it accepts malformed
sizes.
"""

import enum
import re

from tornado import httputil

from cranberryrill import response_syntax

LINE_END = b'\r\n'
# Largest line of a chunk's size or of the trailer.
MAX_LINE_BYTES = 8192
TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
QUOTED_STRING = (
    rb'"(?:[\t\x20\x21\x23-\x5b\x5d-\x7e\x80-\xff]'
    rb'|\\[\t\x20-\x7e\x80-\xff])*"'
)
EXTENSION = rb'[ \t]*;[ \t]*%s(?:[ \t]*=[ \t]*(?:%s|%s))?' % (
    TOKEN,
    TOKEN,
    QUOTED_STRING,
)
SIZE_LINE = re.compile(rb'([0-9A-Fa-f]{1,16})((?:%s)*)' % EXTENSION)
SIZE_BASE = 16


class Part(enum.Enum):
    """Part of a body in chunks that comes next."""

    size = 'size'
    content = 'content'
    chunk_end = 'chunk end'
    trailer = 'trailer'
    nothing = 'nothing'


class ChunkDecoder:
    """Decoder of one body, which comes in pieces of any size.

    Extensions and the trailer are checked and dropped; `metadata_bytes` is how
    long they are together. Bytes after the end are ignored.
    """

    def __init__(self) -> None:
        self.next_part = Part.size
        # What was received of the next part, if more of it has to come.
        self.pending = b''
        # Bytes of the current chunk that are still to come.
        self.bytes_left = 0
        self.metadata_bytes = 0
        self.trailer = httputil.HTTPHeaders()

    @property
    def is_complete(self) -> bool:
        """Return whether the body has ended."""
        return self.next_part is Part.nothing

    def decode(self, received: bytes) -> bytes:
        """Return the content in the next piece; raises MalformedResponse."""
        encoded = self.pending + received
        decoded: list[bytes] = []
        start, end = -1, 0
        while start < end < len(encoded):
            start = end
            end = self._decode_part(encoded, start, decoded)
        self.pending = encoded[end:]
        return b''.join(decoded)

    def _decode_part(
        self, encoded: bytes, start: int, decoded: list[bytes]
    ) -> int:
        """Decode the part at `start`; return its end, or `start`.

        It is `start` if more of the part has to come.
        """
        if self.next_part is Part.size:
            return self._decode_size(encoded, start, decoded)
        if self.next_part is Part.content:
            return self._decode_content(encoded, start, decoded)
        if self.next_part is Part.chunk_end:
            return self._decode_chunk_end(encoded, start)
        if self.next_part is Part.trailer:
            return self._decode_trailer(encoded, start)
        return len(encoded)

    def _decode_size(
        self, encoded: bytes, start: int, decoded: list[bytes]
    ) -> int:
        line = _line_at(encoded, start)
        if line is None:
            return start
        match = SIZE_LINE.fullmatch(line)
        if match is None:
            raise response_syntax.MalformedResponse(
                f'no size of a chunk in {response_syntax.quoted(line)}'
            )
        size = int(match.group(1), SIZE_BASE)
        self.metadata_bytes += len(match.group(2))
        content_start = start + len(line) + len(LINE_END)
        content_end = content_start + size
        chunk_end = content_end + len(LINE_END)
        # Mostly, the rest of a chunk was received with its size.
        if size and encoded[content_end:chunk_end] == LINE_END:
            decoded.append(encoded[content_start:content_end])
            return chunk_end
        self.bytes_left = size
        self.next_part = Part.content if size else Part.trailer
        return content_start

    def _decode_content(
        self, encoded: bytes, start: int, decoded: list[bytes]
    ) -> int:
        content = encoded[start : start + self.bytes_left]
        decoded.append(content)
        self.bytes_left -= len(content)
        if not self.bytes_left:
            self.next_part = Part.chunk_end
        return start + len(content)

    def _decode_chunk_end(self, encoded: bytes, start: int) -> int:
        end = start + len(LINE_END)
        received = encoded[start:end]
        if not LINE_END.startswith(received):
            raise response_syntax.MalformedResponse(
                'a chunk is longer than its size'
            )
        if received != LINE_END:
            return start
        self.next_part = Part.size
        return end

    def _decode_trailer(self, encoded: bytes, start: int) -> int:
        line = _line_at(encoded, start)
        if line is None:
            return start
        if line:
            self.metadata_bytes += len(line)
            response_syntax.read_field(self.trailer, line.decode('latin-1'))
        else:
            self.next_part = Part.nothing
        return start + len(line) + len(LINE_END)


def _line_at(encoded: bytes, start: int) -> bytes | None:
    """Return the line at `start` without its end; None if that is missing."""
    longest_end = start + MAX_LINE_BYTES + len(LINE_END)
    end = encoded.find(LINE_END, start, longest_end)
    if end >= 0:
        return encoded[start:end]
    if len(encoded) >= longest_end:
        raise response_syntax.MalformedResponse(
            f'a line of over {MAX_LINE_BYTES} bytes within chunks'
        )
    return None
