"""Commands take no result from a response that isn't HTTP."""

import pytest
import result

from cranberryrill.commands import admin_client
from tests import response_cases
from tests.relay import test_upstream as scripted

CONTENT = {'answered': 16}
JSON_BODY = b'{"answered": 16}'
REQUEST = admin_client.Request('GET', 'status')
MALFORMED = {
    **response_cases.MALFORMED_HEADS,
    **response_cases.MALFORMED_CHUNKS,
}
SOUND = {**response_cases.SOUND_HEADS, **response_cases.SOUND_CHUNKS}
NO_STATUSES = (b'000', b'099', b'600', b'999', b'2000', b'0200')


def send(response: bytes) -> admin_client.Response:
    """Return the response of a member that sends this."""
    server = scripted.ScriptedServer(1, response, reads_one_more=False)
    client = admin_client.Client(
        [f'http://{scripted.HOST}:{server.port}'], 'token', authority=None
    )
    responses = client.send_to_each(REQUEST)
    server.close()
    return responses[0]


@pytest.mark.parametrize(
    'case',
    MALFORMED.values(),
    ids=MALFORMED.keys(),
)
def test_malformed_response_is_none(case: response_cases.Case) -> None:
    received = send(case.with_body(JSON_BODY).response())
    assert isinstance(received.err(), admin_client.Unreachable)


@pytest.mark.parametrize('status', NO_STATUSES)
def test_number_that_is_no_status_is_no_response(status: bytes) -> None:
    received = send(
        b'HTTP/1.1 %s OK\r\nContent-Length: 16\r\n\r\n%s' % (status, JSON_BODY)
    )
    assert isinstance(received.err(), admin_client.Unreachable)


@pytest.mark.parametrize('sent', [b'', b'Content-Length: 16'])
def test_head_that_stops_midway_is_no_response(sent: bytes) -> None:
    received = send(b'HTTP/1.1 200 OK\r\n%s' % sent)
    assert isinstance(received.err(), admin_client.Unreachable)


@pytest.mark.parametrize(
    'case',
    SOUND.values(),
    ids=SOUND.keys(),
)
def test_sound_response_is_read(case: response_cases.Case) -> None:
    assert send(case.with_body(JSON_BODY).response()) == result.Ok(CONTENT)


def test_refusal_is_read() -> None:
    body = b'{"error": {"code": "denied", "message": "no"}}'
    received = send(
        b'HTTP/1.1 403 Forbidden\r\nContent-Length: %d\r\n\r\n%s'
        % (len(body), body)
    )
    assert received == result.Err(admin_client.Refused('denied', 'no'))
