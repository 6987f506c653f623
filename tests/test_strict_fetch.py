"""A fetched response is whole, bounded and as it was sent."""

import pytest
from tornado import curl_httpclient, httpclient

from cranberryrill import response_reader, response_syntax, strict_fetch
from tests import response_cases
from tests.relay import test_upstream as scripted

SOUND = response_cases.SOUND_HEADS['length'].response()


async def fetch(
    response: bytes,
) -> tuple[response_reader.Head, bytes, scripted.ScriptedServer]:
    server = scripted.ScriptedServer(1, response, reads_one_more=False)
    client = curl_httpclient.CurlAsyncHTTPClient(force_instance=True)
    received = bytearray()
    request = httpclient.HTTPRequest(f'http://{scripted.HOST}:{server.port}/')
    try:
        head = await strict_fetch.fetch(client, request, received.extend)
    finally:
        client.close()
        server.close()
    return head, bytes(received), server


async def test_whole_response_is_returned() -> None:
    head, body, _ = await fetch(SOUND)
    assert head.status == 200
    assert body == response_cases.BODY


async def test_no_encoding_is_asked_for() -> None:
    # A length would be that of the encoded body.
    _, _, server = await fetch(SOUND)
    assert b'accept-encoding' not in server.received[0].lower()


async def test_malformed_head_says_what_is_wrong() -> None:
    case = response_cases.MALFORMED_HEADS['blank after length']
    with pytest.raises(
        response_syntax.MalformedResponse, match='Content-Length : 16'
    ):
        await fetch(case.response())


async def test_body_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(strict_fetch, 'MAX_BODY_BYTES', 15)
    with pytest.raises(response_syntax.MalformedResponse, match='over 15'):
        await fetch(SOUND)


async def test_lost_connection_is_no_response() -> None:
    with pytest.raises(httpclient.HTTPError):
        await fetch(b'')
