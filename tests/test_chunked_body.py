"""Chunks are decoded from pieces of any size, and malformed ones refused."""

import itertools

import pytest

from cranberryrill import chunked_body, response_syntax
from tests import response_cases

TWO_CHUNKS = b'2;a=b\r\nok\r\nE\r\n, and 16 bytes\r\n00\r\nX-Odd: 1\r\n\r\n'


def pieces(body: bytes, size: int) -> list[bytes]:
    starts = range(0, len(body), size)
    return [body[start : start + size] for start in starts]


@pytest.mark.parametrize('size', range(1, len(TWO_CHUNKS) + 1))
def test_pieces_of_any_size_are_decoded(size: int) -> None:
    decoder = chunked_body.ChunkDecoder()
    content = b''
    for piece in pieces(TWO_CHUNKS, size):
        assert not decoder.is_complete
        content += decoder.decode(piece)
    assert decoder.is_complete
    assert content == response_cases.BODY
    assert decoder.metadata_bytes == len(';a=bX-Odd: 1')


@pytest.mark.parametrize('size', [1, 3, 100])
@pytest.mark.parametrize(
    'case',
    response_cases.MALFORMED_CHUNKS.values(),
    ids=response_cases.MALFORMED_CHUNKS.keys(),
)
def test_malformed_chunks_are_refused(
    case: response_cases.Case, size: int
) -> None:
    decoder = chunked_body.ChunkDecoder()
    with pytest.raises(response_syntax.MalformedResponse):
        for piece in pieces(case.body, size):
            decoder.decode(piece)


@pytest.mark.parametrize('sent_bytes', range(len(TWO_CHUNKS)))
def test_body_that_is_cut_off_is_not_complete(sent_bytes: int) -> None:
    decoder = chunked_body.ChunkDecoder()
    decoder.decode(TWO_CHUNKS[:sent_bytes])
    assert not decoder.is_complete


def test_bytes_after_the_end_are_ignored() -> None:
    decoder = chunked_body.ChunkDecoder()
    assert decoder.decode(b'0\r\n\r\n2\r\nok\r\n') == b''
    assert decoder.decode(b'2\r\nok\r\n') == b''
    assert decoder.is_complete


@pytest.mark.parametrize('start', [b'', b'2;', b'0\r\nX-Odd: '])
def test_line_without_end_is_bounded(start: bytes) -> None:
    decoder = chunked_body.ChunkDecoder()
    decoder.decode(start)
    part = b'0' * 1000
    with pytest.raises(response_syntax.MalformedResponse, match='over 8192'):
        for _ in itertools.repeat(None, 10):
            decoder.decode(part)


def test_large_chunk_is_no_long_line() -> None:
    decoder = chunked_body.ChunkDecoder()
    content = b'x' * 0x10000
    assert decoder.decode(b'10000\r\n%s\r\n0\r\n\r\n' % content) == content
    assert decoder.is_complete
