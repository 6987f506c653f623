"""Malformed heads are rejected; curl and the reader agree on bodies."""

import contextlib
import io
import socket
import threading
import typing
from collections import abc

import hypothesis
import pycurl
import pytest

from cranberryrill import response_reader, response_syntax
from tests import response_cases

HOST = '127.0.0.1'
READ_BYTES = 65536
CHUNK_BODY = b'2\r\nab\r\n0\r\n\r\n'
FRAMING = response_reader.Framing
STATUS_LINES = (
    b'HTTP/1.1 200 OK',
    b'HTTP/1.0 200 OK',
    b'HTTP/1.1 500',
    b'HTTP/1.1 204 No Content',
    b'HTTP/1.1 304 Not Modified',
    b'HTTP/1.1 103 Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK',
)
NAMES = (
    b'Content-Length',
    b'content-length',
    b'Transfer-Encoding',
    b'Content-Length ',
    b' Content-Length',
    b'Transfer-Encoding\t',
    b'Content\x01Length',
    b'Connection',
    b'Content-Range',
    b'Trailer',
    b'',
)
VALUES = (
    b'2',
    b'02',
    b'2, 2',
    b'2,3',
    b'2;',
    b'0',
    b'9223372036854775807',
    b'9223372036854775808',
    b'chunked',
    b'Chunked',
    b'chunked, chunked',
    b', chunked',
    b'identity',
    b'close',
    b'keep-alive',
    b'bytes 0-1/9',
    b'\x0b2',
    b'',
)
FIELD_LINES = hypothesis.strategies.builds(
    b'%s%s%s%s'.__mod__,
    hypothesis.strategies.tuples(
        hypothesis.strategies.sampled_from(NAMES),
        hypothesis.strategies.sampled_from((b':', b': ', b':\t ', b'')),
        hypothesis.strategies.sampled_from(VALUES),
        hypothesis.strategies.sampled_from((b'', b' ', b'\t')),
    ),
).filter(bool)


class Server:
    """Server that sends the same response on each connection."""

    def __init__(self) -> None:
        self.response = b''
        self.listener = socket.create_server((HOST, 0))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.serve, daemon=True).start()

    def serve(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self.listener.accept()
                with connection, contextlib.suppress(OSError):
                    connection.recv(READ_BYTES)
                    connection.sendall(self.response)
                    connection.shutdown(socket.SHUT_WR)
                    connection.recv(READ_BYTES)


@pytest.fixture(scope='module')
def server() -> abc.Iterator[Server]:
    running = Server()
    yield running
    running.listener.close()


class Received:
    """What curl and the reader make of one response."""

    def __init__(self, port: int, method: str) -> None:
        self.reader = response_reader.ResponseReader(method)
        self.is_malformed = False
        self.body = io.BytesIO()
        self.curl: typing.Any = pycurl.Curl()
        self.curl.setopt(pycurl.URL, f'http://{HOST}:{port}/')
        self.curl.setopt(pycurl.PROXY, '')
        self.curl.setopt(pycurl.NOBODY, int(method == 'HEAD'))
        self.curl.setopt(pycurl.HEADERFUNCTION, self.read_line)
        self.curl.setopt(pycurl.WRITEDATA, self.body)

    def perform(self) -> bool:
        """Return whether curl succeeds."""
        try:
            self.curl.perform()
        except pycurl.error:
            return False
        finally:
            self.curl.close()
        return True

    def read_line(self, line: bytes) -> None:
        try:
            self.reader.read_line(line)
        except response_syntax.MalformedResponse:
            self.is_malformed = True


def delimited(head: response_reader.Head, sent: bytes) -> bytes:
    """Return the body that a head delimits in the bytes sent after it."""
    if head.framing is FRAMING.no_body:
        return b''
    if head.framing is FRAMING.length:
        return sent[: head.length]
    if head.framing is FRAMING.chunks:
        return b'ab'
    return sent


@hypothesis.settings(
    max_examples=1500,
    derandomize=True,
    deadline=None,
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture],
)
@hypothesis.given(
    status=hypothesis.strategies.sampled_from(STATUS_LINES),
    fields=hypothesis.strategies.lists(FIELD_LINES, max_size=3),
    method=hypothesis.strategies.sampled_from(('GET', 'HEAD')),
)
def test_curl_delimits_a_body_as_its_head_was_read(
    server: Server, status: bytes, fields: list[bytes], method: str
) -> None:
    # Guards against a head that curl and the reader understand differently.
    head = b'\r\n'.join((status, *fields, b'', b''))
    server.response = head + CHUNK_BODY
    received = Received(server.port, method)
    succeeded = received.perform()
    read = received.reader.head
    if succeeded and not received.is_malformed:
        assert read is not None
        assert read.length <= len(CHUNK_BODY)
        assert received.body.getvalue() == delimited(read, CHUNK_BODY)


def read_head(case: response_cases.Case) -> response_reader.ResponseReader:
    reader = response_reader.ResponseReader('GET')
    for line in case.response().split(b'\n')[:-1]:
        reader.read_line(b'%s\n' % line)
    return reader


@pytest.mark.parametrize(
    'case',
    response_cases.MALFORMED_HEADS.values(),
    ids=response_cases.MALFORMED_HEADS.keys(),
)
def test_malformed_head_is_refused(case: response_cases.Case) -> None:
    with pytest.raises(response_syntax.MalformedResponse):
        read_head(case)


def test_head_has_the_final_status_and_fields_alone() -> None:
    case = response_cases.SOUND_HEADS['interim heads']
    head = read_head(case).head
    assert head == response_reader.Head(
        200, (('Content-Length', '16'),), FRAMING.length, 16
    )


@pytest.mark.parametrize(
    ('method', 'status', 'framing'),
    [
        ('GET', 200, FRAMING.length),
        ('HEAD', 200, FRAMING.no_body),
        ('GET', 204, FRAMING.no_body),
        ('GET', 304, FRAMING.no_body),
    ],
)
def test_some_responses_have_no_body(
    method: str, status: int, framing: response_reader.Framing
) -> None:
    reader = response_reader.ResponseReader(method)
    reader.read_line(b'HTTP/1.1 %d\r\n' % status)
    reader.read_line(b'Content-Length: 9\r\n')
    reader.read_line(b'\r\n')
    assert reader.head is not None
    assert reader.head.framing is framing
    assert reader.is_whole is (framing is FRAMING.no_body)


def test_line_that_was_cut_off_is_not_read() -> None:
    reader = response_reader.ResponseReader('GET')
    reader.read_line(b'HTTP/1.1 200 OK\r\n')
    reader.read_line(b'Content-Length: 1')
    assert reader.head is None
    assert not reader.is_whole
