"""HTTP client that sends messages to the platform under the leader lease.

Each message is sent at most once per call; the caller decides about retries.
"""

import dataclasses
import logging
import socket
import struct
import typing

import pycurl
import result
from tornado import curl_httpclient, httpclient

from cranberryrill import clock, response_syntax, strict_fetch
from cranberryrill.authority import holder, timing

LOGGER = logging.getLogger(__name__)
MILLISECONDS_PER_SECOND = 1000
MAX_CONNECTIONS = 8
# SO_LINGER on with 0 seconds: closing the socket drops undelivered bytes.
LINGER_ZERO = struct.pack('ii', 1, 0)
KEY_HEADER = 'Idempotency-Key'
SENDER_HEADER = 'X-Sender'
FENCING_HEADER = 'X-Fencing'


@dataclasses.dataclass(frozen=True)
class HeaderNames:
    """Names of the headers for sender, fencing number and idempotency key."""

    sender: str = SENDER_HEADER
    fencing: str = FENCING_HEADER
    # Empty when the receiver recognises duplicates by their content.
    key: str = KEY_HEADER


DEFAULT_HEADER_NAMES = HeaderNames()


@dataclasses.dataclass(frozen=True)
class Message:
    """A request to the platform; `key` is the same on every retry."""

    path: str
    key: str
    body: bytes


@dataclasses.dataclass(frozen=True)
class NotInCharge:
    """Nothing was sent: the lease is too short, or no connection was made."""


@dataclasses.dataclass(frozen=True)
class NoAnswer:
    """The platform may or may not have received the message."""

    cause: str


SendFailure = NotInCharge | NoAnswer
SendResult = result.Result[int, SendFailure]


class PlatformClient:
    """Send messages to the platform in the name of this control member.

    `authority` decides for each message whether it may be sent.
    """

    def __init__(
        self,
        base_url: str,
        name: str,
        authority: holder.Authority,
        header_names: HeaderNames = DEFAULT_HEADER_NAMES,
    ) -> None:
        self.header_names = header_names
        self.base_url = base_url
        self.name = name
        self.authority = authority
        self.client = curl_httpclient.CurlAsyncHTTPClient(
            max_clients=MAX_CONNECTIONS,
            force_instance=True,
        )

    async def send(self, message: Message, tenure: holder.Tenure) -> SendResult:
        """Send a message and return the HTTP status of the answer.

        The errors are `NotInCharge` when nothing was sent, and `NoAnswer` when
        the message may have arrived. A redirect is not followed.
        """
        guard = LeaseGuard(self.authority, tenure)
        request = httpclient.HTTPRequest(
            self.base_url + message.path,
            method='POST',
            body=message.body,
            headers=self._headers(message, tenure),
            connect_timeout=timing.SEND_TIMEOUT_SECONDS,
            request_timeout=timing.SEND_TIMEOUT_SECONDS,
            follow_redirects=False,
            decompress_response=False,
            prepare_curl_callback=guard.prepare,
        )
        try:
            head = await strict_fetch.fetch(self.client, request)
        except response_syntax.MalformedResponse as error:
            return result.Err(NoAnswer(str(error)))
        except (httpclient.HTTPError, OSError) as error:
            if not guard.sent:
                return result.Err(NotInCharge())
            return result.Err(NoAnswer(str(error)))
        return result.Ok(head.status)

    def _headers(
        self,
        message: Message,
        tenure: holder.Tenure,
    ) -> dict[str, str]:
        headers = {
            'Content-Type': 'application/json',
            self.header_names.sender: self.name,
            self.header_names.fencing: str(tenure.fencing),
        }
        if self.header_names.key:
            headers[self.header_names.key] = message.key
        return headers


class LeaseGuard:
    """Check the lease of one request again just before the send."""

    def __init__(
        self,
        authority: holder.Authority,
        tenure: holder.Tenure,
    ) -> None:
        self.authority = authority
        self.tenure = tenure
        self.sent = False

    def prepare(self, curl: typing.Any) -> None:
        """Make curl check the lease before the send, and send at most once."""
        disable_resending(curl)
        curl.setopt(pycurl.OPENSOCKETFUNCTION, open_socket)
        # Called when the connection is established, right before the send.
        curl.setopt(pycurl.PREREQFUNCTION, self._may_send)

    def _may_send(self, *addresses: typing.Any) -> int:
        now = clock.monotonic_seconds()
        if not self.authority.may_send(self.tenure, now):
            return int(pycurl.PREREQFUNC_ABORT)
        self.sent = True
        return int(pycurl.PREREQFUNC_OK)


def disable_resending(curl: typing.Any) -> None:
    """Keep curl from sending a request twice by itself.

    libcurl may resend a request on a reused connection, so each request
    opens a new one, without a proxy.
    """
    curl.setopt(pycurl.FRESH_CONNECT, 1)
    curl.setopt(pycurl.FORBID_REUSE, 1)
    curl.setopt(pycurl.PROXY, '')
    curl.setopt(pycurl.NOPROXY, '*')
    curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)


def open_socket(purpose: int, address: typing.Any) -> socket.socket:
    """Open a socket that drops undelivered bytes before the send timeout."""
    family, kind, protocol, _ = address
    opened = socket.socket(family, kind, protocol)
    opened.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        int(timing.TCP_USER_TIMEOUT_SECONDS * MILLISECONDS_PER_SECOND),
    )
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
    return opened
