"""Refuse invalid requests with a typed error, and keep serving."""

import asyncio
import json
import typing
from collections import abc

import pytest
import result
from tornado import httpserver, testing, web

from cranberryrill import clock
from cranberryrill.callers import chat, readiness, request_body, services
from cranberryrill.configuration import active, document
from cranberryrill.keys import digests
from cranberryrill.relay import deadlines, dispatcher, relay_pb2, request_ids
from cranberryrill.state import commands_pb2

HOST = '127.0.0.1'
KEY = f'{digests.KEY_PREFIX}{"k" * 43}'
LIMITS = request_body.Limits(body_bytes=1000, body_seconds=0.3)
ORDER = '/orders/feet'
CHAT = '/v1/chat/completions'
CHAT_BODY = b'{"model": "wobble", "messages": [{"role": "user"}]}'
CHAT_LENGTH = f'Content-Length: {len(CHAT_BODY)}'


class Holder:
    """Holder of a configuration that is always proved current."""

    def __init__(self) -> None:
        self.configuration = active.ActiveConfiguration()
        config_objects: list[document.ConfigObject] = [
            document.Organisation(name='clinics'),
            document.RequestClass(name='urgent', tier=1),
            document.Model(name='wobble', default_class='urgent'),
            document.Route(
                name='parts',
                path_prefix='/orders',
                service='desk',
                default_class='urgent',
            ),
        ]
        kinds = ('organisations', 'classes', 'models', 'routes')
        changes = [
            commands_pb2.ObjectChange(
                kind=kind,
                name=config_object.name,
                json=document.encode(kind, config_object),
            )
            for kind, config_object in zip(kinds, config_objects)
        ]
        key = commands_pb2.KeyRecord(
            digest=digests.digest_of(KEY),
            organisation='clinics',
        )
        self.configuration.update(1, changes, [key])

    def may_serve(self, now: float) -> bool:
        return now <= clock.monotonic_seconds()


class Gateway:
    """Gateway that records each call and returns its body as the answer."""

    def __init__(self) -> None:
        self.request_ids = request_ids.RequestIdGenerator()
        self.calls: list[relay_pb2.Call] = []

    async def deliver(
        self,
        request_id: str,
        call: relay_pb2.Call,
        sink: dispatcher.Sink,
        deadline: deadlines.Deadline,
    ) -> dispatcher.Outcome:
        self.calls.append(call)
        await sink.start(relay_pb2.Head(status=201))
        await sink.write_part(call.body)
        return result.Ok(relay_pb2.Final(length=len(call.body)))


class Entry:
    """Entry that serves callers from the test's process."""

    def __init__(self) -> None:
        self.gateway = Gateway()
        self.readiness = readiness.Readiness()
        shared: dict[str, typing.Any] = {
            'shared_gateway': self.gateway,
            'holder': Holder(),
            'open_requests': set(),
            'entry': self.readiness,
            'limits': LIMITS,
        }
        self.server = httpserver.HTTPServer(
            web.Application(
                [
                    (CHAT, chat.ChatHandler, shared),
                    ('/.*', services.ServiceHandler, shared),
                ],
            ),
            max_body_size=LIMITS.body_bytes,
        )
        bound = testing.bind_unused_port()
        self.port = bound[1]
        self.server.add_socket(bound[0])


@pytest.fixture
async def entry() -> abc.AsyncIterator[Entry]:
    started_entry = Entry()
    yield started_entry
    started_entry.server.stop()
    await started_entry.server.close_all_connections()


async def send(entry: Entry, *parts: bytes) -> tuple[int, dict[str, str]]:
    """Send raw bytes and return the status and the typed error."""
    reader, writer = await asyncio.open_connection(HOST, entry.port)
    for part in parts:
        writer.write(part)
        await writer.drain()
    head = await reader.readuntil(b'\r\n\r\n')
    status = int(head.split(b' ')[1])
    length = head.lower().partition(b'content-length: ')[2].split(b'\r')[0]
    body = await reader.readexactly(int(length)) if length else b''
    writer.close()
    try:
        return status, dict(json.loads(body)['error'])
    except (ValueError, KeyError):
        return status, {}


def head(method: str, path: str, *lines: str, version: str = '1.1') -> bytes:
    return '\r\n'.join(
        (
            f'{method} {path} HTTP/{version}',
            'Host: entry',
            f'Authorization: Bearer {KEY}',
            *lines,
            '\r\n',
        ),
    ).encode()


@pytest.mark.parametrize(
    ('parts', 'status', 'code'),
    [
        (
            (head('POST', ORDER, 'Content-Length: 1001'), b'x' * 1001),
            413,
            'body_too_large',
        ),
        (
            # The caller waits for a response before it sends the body.
            (head('POST', ORDER, 'Content-Length: 1001'),),
            413,
            'body_too_large',
        ),
        (
            (
                head('POST', ORDER, 'Transfer-Encoding: chunked'),
                b'3e9\r\n%b\r\n0\r\n\r\n' % (b'x' * 1001),
            ),
            413,
            'body_too_large',
        ),
        (
            (head('POST', ORDER, 'Content-Length: 1000'), b'x'),
            408,
            'body_too_slow',
        ),
        (
            (head('POST', CHAT, 'Content-Length: 1'), b'{'),
            400,
            'malformed_request',
        ),
        (
            (
                head('POST', CHAT, CHAT_LENGTH, 'X-Request-Class: no'),
                CHAT_BODY,
            ),
            400,
            'unknown_class',
        ),
        ((head('GET', '/nowhere'),), 404, 'unknown_route'),
        ((head('GET', ORDER, version='1.0'),), 400, 'malformed_request'),
        (
            (head('GET', ORDER, 'Content-Length: 1'), b'x'),
            400,
            'malformed_request',
        ),
        ((head('POST', '/orders/../x'),), 400, 'malformed_request'),
        (
            (
                head(
                    'POST',
                    ORDER,
                    'Content-Length: 1',
                    f'Idempotency-Key: {"k" * 256}',
                ),
                b'x',
            ),
            400,
            'malformed_request',
        ),
        ((head('BREW', ORDER),), 405, 'method_not_allowed'),
    ],
)
async def test_invalid_request_is_refused(
    entry: Entry,
    parts: tuple[bytes, ...],
    status: int,
    code: str,
) -> None:
    refusal = await asyncio.wait_for(send(entry, *parts), 5)
    assert (refusal[0], refusal[1].get('code')) == (status, code)
    assert refusal[1]['ran'] == 'no'
    assert refusal[1]['request_id'].startswith('req-')
    assert not entry.gateway.calls
    # The entry still serves.
    response = await send(entry, head('POST', ORDER, 'Content-Length: 1'), b'x')
    assert response[0] == 201


async def test_largest_body_is_accepted(entry: Entry) -> None:
    request_head = head('POST', ORDER, 'Content-Length: 1000')
    assert (await send(entry, request_head, b'x' * 1000))[0] == 201
    assert entry.gateway.calls[0].body == b'x' * 1000


@pytest.mark.parametrize('garbage', [b'nonsense\r\n\r\n', b'\x16\x03\x01\x02'])
async def test_garbage_does_not_stop_the_entry(
    entry: Entry,
    garbage: bytes,
) -> None:
    _, writer = await asyncio.open_connection(HOST, entry.port)
    writer.write(garbage)
    await writer.drain()
    writer.close()
    request_head = head('POST', ORDER, 'Content-Length: 1')
    assert (await send(entry, request_head, b'x'))[0] == 201


async def test_stopping_entry_refuses_and_closes(entry: Entry) -> None:
    entry.readiness.unready = True
    request_head = head('POST', ORDER, 'Content-Length: 1')
    assert (await send(entry, request_head, b'x'))[0] == 201
    entry.readiness.stopping = True
    status, error = await send(entry, request_head, b'x')
    assert (status, error['code'], error['ran']) == (503, 'stopping', 'no')


async def test_open_requests_are_counted_until_they_end(entry: Entry) -> None:
    request_head = head('POST', ORDER, 'Content-Length: 1')
    _, writer = await asyncio.open_connection(HOST, entry.port)
    writer.write(request_head)
    await writer.drain()
    while entry.readiness.idle.is_set():
        await asyncio.sleep(0.01)
    writer.close()
    await asyncio.wait_for(entry.readiness.idle.wait(), 5)
    await send(entry, request_head, b'x')
    await asyncio.wait_for(entry.readiness.idle.wait(), 5)
