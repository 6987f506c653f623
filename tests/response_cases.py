"""Responses by name, with sound and malformed heads and chunks."""

import dataclasses

BODY = b'ok, and 16 bytes'
CHUNKED_BODY = b'10\r\n%s\r\n0\r\n\r\n' % BODY
OK = b'HTTP/1.1 200 OK\r\n'
LENGTH = b'Content-Length: 16\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n'


@dataclasses.dataclass(frozen=True)
class Case:
    """A response in parts; `start` holds its status line and fields."""

    start: bytes
    body: bytes = BODY

    def with_body(self, content: bytes) -> 'Case':
        """Return the case with other content, of as many bytes."""
        return Case(self.start, self.body.replace(BODY, content))

    def response(self, identity: bytes = b'') -> bytes:
        """Return the response with the fields of `identity` at its end."""
        return b'%s%s\r\n%s' % (self.start, identity, self.body)


def _case(*parts: bytes, body: bytes = BODY) -> Case:
    """Return a case whose start is given in parts."""
    return Case(b''.join(parts), body)


def _fields(*lines: bytes) -> Case:
    """Return a case with these lines after the status line."""
    return _case(OK, *(b'%s\r\n' % line for line in lines))


def _chunks(*parts: bytes) -> Case:
    """Return a case whose body in chunks is given in parts."""
    return _case(OK, CHUNKED, body=b''.join(parts))


MALFORMED_HEADS = {
    # Invalid lengths.
    'length beyond 64 bits': _fields(b'Content-Length: 99999999999999999999'),
    'length of 64 bits': _fields(b'Content-Length: 9223372036854775808'),
    'length of thousands of digits': _fields(
        b'Content-Length: %s' % (b'9' * 5000)
    ),
    'length with a unit': _fields(b'Content-Length: 16x'),
    'signed length': _fields(b'Content-Length: +16'),
    'negative length': _fields(b'Content-Length: -1'),
    'hexadecimal length': _fields(b'Content-Length: 0x10'),
    'decimal length': _fields(b'Content-Length: 16.0'),
    'length in two parts': _fields(b'Content-Length: 1 6'),
    'empty length': _fields(b'Content-Length:'),
    'length in other digits': _fields(b'Content-Length: \xb2'),
    'two lengths': _fields(b'Content-Length: 16', b'Content-Length: 15'),
    'list of two lengths': _fields(b'Content-Length: 16, 15'),
    'list with an empty length': _fields(b'Content-Length: 16,'),
    # Invalid names.
    'blank after length': _fields(b'Content-Length : 16'),
    'tab after length': _fields(b'Content-Length\t: 16'),
    'blank in length': _fields(b'Content Length: 16'),
    'control byte in length': _fields(b'Content\x01-Length: 16'),
    'delete byte in length': _fields(b'Content-Length\x7f: 16'),
    'separator in length': _fields(b'Content(Length): 16'),
    'byte beyond ASCII in length': _fields(b'Content-Length\xa0: 16'),
    'vertical tab before length': _fields(b'\x0bContent-Length: 16'),
    'blank after transfer coding': _case(
        OK, b'Transfer-Encoding : chunked\r\n', body=CHUNKED_BODY
    ),
    'control byte in transfer coding': _case(
        OK, b'Transfer-\x02Encoding: chunked\r\n', body=CHUNKED_BODY
    ),
    'blank in a name': _fields(b'X Odd: 1', b'Content-Length: 16'),
    'control byte in a name': _fields(b'X-\x01Odd: 1', b'Content-Length: 16'),
    # Lines that are no fields.
    'no name': _fields(b': 16', b'Content-Length: 16'),
    'no colon': _fields(b'Content-Length 16'),
    'no colon in another line': _fields(b'Odd', b'Content-Length: 16'),
    'blank before the first line': _fields(b' Content-Length: 16'),
    'tab before the first line': _fields(b'\tContent-Length: 16'),
    'blank before another first line': _fields(
        b' X-Odd: 1', b'Content-Length: 16'
    ),
    'blank before chunks': _case(
        OK, b' Transfer-Encoding: chunked\r\n', body=CHUNKED_BODY
    ),
    # Invalid values.
    'control byte in a value': _fields(b'X-Odd: a\x01b', b'Content-Length: 16'),
    'delete byte in a value': _fields(b'X-Odd: a\x7f', b'Content-Length: 16'),
    'vertical tab in a value': _fields(b'X-Odd: \x0ba', b'Content-Length: 16'),
    'null byte in a value': _fields(b'X-Odd: a\x00', b'Content-Length: 16'),
    'carriage return in a value': _fields(
        b'X-Odd: a\rb', b'Content-Length: 16'
    ),
    # Transfer codings that leave the end of the body open.
    'identity': _fields(b'Transfer-Encoding: identity'),
    'no coding': _fields(b'Transfer-Encoding:'),
    'another coding': _fields(b'Transfer-Encoding: gzip'),
    'odd coding': _fields(b'Transfer-Encoding: xchunked'),
    'chunks twice in a line': _case(
        OK, b'Transfer-Encoding: chunked, chunked\r\n', body=CHUNKED_BODY
    ),
    'chunks twice': _case(OK, CHUNKED, CHUNKED, body=CHUNKED_BODY),
    'chunks, then identity': _case(
        OK, b'Transfer-Encoding: chunked, identity\r\n', body=CHUNKED_BODY
    ),
    'chunks with a parameter': _case(
        OK, b'Transfer-Encoding: chunked;a=b\r\n', body=CHUNKED_BODY
    ),
    'chunks and a length': _case(OK, CHUNKED, LENGTH, body=CHUNKED_BODY),
    'length and chunks': _case(OK, LENGTH, CHUNKED, body=CHUNKED_BODY),
    'chunks in HTTP/1.0': _case(
        b'HTTP/1.0 200 OK\r\n', CHUNKED, body=CHUNKED_BODY
    ),
    # Invalid status lines.
    'control byte in the reason': _case(b'HTTP/1.1 200 O\x01K\r\n', LENGTH),
    'two blanks before the status': _case(b'HTTP/1.1  200 OK\r\n', LENGTH),
    'another version': _case(b'HTTP/2 200 OK\r\n', LENGTH),
    'odd version': _case(b'HTTP/1..1 200 OK\r\n', LENGTH),
    'fields before the status line': _case(LENGTH, OK, LENGTH),
    'empty line before the status line': _case(b'\r\n', OK, LENGTH),
    'two status lines': _case(OK, OK, LENGTH),
    # Invalid interim heads.
    'blank before an interim line': _case(
        b'HTTP/1.1 103 Hints\r\n Link: x\r\n\r\n', OK, LENGTH
    ),
    'control byte in an interim value': _case(
        b'HTTP/1.1 103 Hints\r\nLink: x\x01\r\n\r\n', OK, LENGTH
    ),
    'blank in an interim name': _case(
        b'HTTP/1.1 103 Hints\r\nLink : x\r\n\r\n', OK, LENGTH
    ),
    'interim length': _case(
        b'HTTP/1.1 103 Hints\r\n', LENGTH, b'\r\n', OK, LENGTH
    ),
    'interim chunks': _case(
        b'HTTP/1.1 100 Continue\r\n', CHUNKED, b'\r\n', OK, body=CHUNKED_BODY
    ),
    'another protocol': _case(
        b'HTTP/1.1 101 Switching Protocols\r\n\r\n', OK, LENGTH
    ),
}

SOUND_HEADS = {
    'length': _fields(b'Content-Length: 16'),
    'no blank after the colon': _fields(b'Content-Length:16'),
    'blanks around the length': _fields(b'Content-Length: \t16 \t'),
    'zeros before the length': _fields(b'Content-Length: 0016'),
    'small letters': _fields(b'content-length: 16'),
    'the same length twice': _case(OK, LENGTH, LENGTH),
    'list of the same length': _fields(b'Content-Length: 16, 16'),
    'chunks': _case(OK, CHUNKED, body=CHUNKED_BODY),
    'chunks in capitals': _case(
        OK, b'TRANSFER-ENCODING: CHUNKED\r\n', body=CHUNKED_BODY
    ),
    'end of the connection': _case(OK),
    'HTTP/1.0': _case(b'HTTP/1.0 200 OK\r\n', LENGTH),
    'no reason': _case(b'HTTP/1.1 200\r\n', LENGTH),
    'blank in place of a reason': _case(b'HTTP/1.1 200 \r\n', LENGTH),
    'reason beyond ASCII': _case(b'HTTP/1.1 200 \xc3\xa4\r\n', LENGTH),
    'ends of lines without a return': _case(
        b'HTTP/1.1 200 OK\nContent-Length: 16\n'
    ),
    'empty value': _fields(b'X-Odd:', b'Content-Length: 16'),
    'value beyond ASCII': _fields(b'X-Odd: \xe4\xff', b'Content-Length: 16'),
    'tab in a value': _fields(b'X-Odd: a\t b', b'Content-Length: 16'),
    'colon in a value': _fields(b'X-Odd: a:b', b'Content-Length: 16'),
    'all bytes of names': _fields(
        b"!#$%&'*+-.^_`|~09AZaz: 1", b'Content-Length: 16'
    ),
    'value of two lines': _fields(b'X-Odd: a', b'\tb', b'Content-Length: 16'),
    'interim heads': _case(
        b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: x\r\n\r\n',
        OK,
        LENGTH,
    ),
}

MALFORMED_CHUNKS = {
    'size with another letter': _chunks(b'10x\r\n', BODY, b'\r\n0\r\n\r\n'),
    'last size with another letter': _chunks(
        b'10\r\n', BODY, b'\r\n0x\r\n\r\n'
    ),
    'blank after the size': _chunks(b'10 \r\n', BODY, b'\r\n0\r\n\r\n'),
    'control byte after the size': _chunks(
        b'10\x01\r\n', BODY, b'\r\n0\r\n\r\n'
    ),
    'hexadecimal prefix': _chunks(b'0x10\r\n', BODY, b'\r\n0\r\n\r\n'),
    'signed size': _chunks(b'+10\r\n', BODY, b'\r\n0\r\n\r\n'),
    'no size': _chunks(b'\r\n', BODY, b'\r\n0\r\n\r\n'),
    'size beyond 64 bits': _chunks(
        b'10000000000000000\r\n', BODY, b'\r\n0\r\n\r\n'
    ),
    'size line without a return': _chunks(b'10\n', BODY, b'\r\n0\r\n\r\n'),
    'end of a chunk without a return': _chunks(b'10\r\n', BODY, b'\n0\r\n\r\n'),
    'chunk that is too long': _chunks(b'f\r\n', BODY, b'\r\n0\r\n\r\n'),
    'extension without a name': _chunks(b'10;=a\r\n', BODY, b'\r\n0\r\n\r\n'),
    'control byte in an extension': _chunks(
        b'10;a\x01\r\n', BODY, b'\r\n0\r\n\r\n'
    ),
    'trailer without a colon': _chunks(
        b'10\r\n', BODY, b'\r\n0\r\nOdd\r\n\r\n'
    ),
    'trailer with a blank in its name': _chunks(
        b'10\r\n', BODY, b'\r\n0\r\nX Odd: 1\r\n\r\n'
    ),
    'trailer with a control byte': _chunks(
        b'10\r\n', BODY, b'\r\n0\r\nX-Odd: \x01\r\n\r\n'
    ),
    'trailer without a return': _chunks(
        b'10\r\n', BODY, b'\r\n0\r\nX-Odd: 1\n\r\n'
    ),
}

SOUND_CHUNKS = {
    'zeros before the sizes': _chunks(b'00010\r\n', BODY, b'\r\n00000\r\n\r\n'),
    'extensions': _chunks(
        b'10;a;b=c ; d = "e; f"\r\n', BODY, b'\r\n0;last\r\n\r\n'
    ),
    'trailer': _chunks(
        b'10\r\n', BODY, b'\r\n0\r\nX-Odd: 1\r\nExpires: x\r\n\r\n'
    ),
    'bytes after the end': _chunks(CHUNKED_BODY, b'HTTP/1.1 200 OK\r\n'),
}
