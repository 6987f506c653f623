"""Results of attempts: which of them point to an upstream that has ended."""

import pycurl
import pytest

from cranberryrill.forwarding import (
    attempts,
    curl_multi,
    exchange,
    upstream_request,
)
from cranberryrill.settings import response_limits
from tests.forwarding import conftest

REQUEST = upstream_request.OutgoingRequest('127.0.0.1', 80, 'GET', '/', (), b'')


@pytest.mark.parametrize(
    ('error_code', 'connection_lost'),
    [
        (pycurl.E_GOT_NOTHING, True),
        (pycurl.E_PARTIAL_FILE, True),
        (pycurl.E_RECV_ERROR, True),
        (pycurl.E_SEND_ERROR, True),
        (pycurl.E_OPERATION_TIMEDOUT, False),
        (pycurl.E_FTP_WEIRD_SERVER_REPLY, False),
    ],
)
async def test_lost_connection_is_told_from_other_interruptions(
    error_code: int, connection_lost: bool
) -> None:
    call = exchange.Exchange(
        REQUEST,
        curl_multi.Driver(),
        response_limits.ResponseLimits(),
        conftest.make_buffers(),
    )
    call._on_end(error_code, 'cause', sent_bytes=10, sent_body_bytes=0)
    assert attempts.interrupted(call).connection_lost is connection_lost


async def test_exceeded_limit_is_no_lost_connection() -> None:
    call = exchange.Exchange(
        REQUEST,
        curl_multi.Driver(),
        response_limits.ResponseLimits(),
        conftest.make_buffers(),
    )
    call.violation = 'a body of over 10 bytes'
    call._on_end(pycurl.E_RECV_ERROR, '', sent_bytes=10, sent_body_bytes=0)
    assert not attempts.interrupted(call).connection_lost
