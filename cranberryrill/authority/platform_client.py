"""Send one message to the platform, once, inside the lease."""

import dataclasses
import logging
import socket
import struct
import typing

import pycurl
import result
from tornado import curl_httpclient, httpclient

from cranberryrill import clock
from cranberryrill.authority import holder, timing

LOGGER = logging.getLogger(__name__)
MILLISECONDS_PER_SECOND = 1000
MAX_CONNECTIONS = 8
# Closing drops what the kernel has not delivered yet.
LINGER_ZERO = struct.pack('ii', 1, 0)
KEY_HEADER = 'Idempotency-Key'
SENDER_HEADER = 'X-Sender'
FENCING_HEADER = 'X-Fencing'


@dataclasses.dataclass(frozen=True)
class HeaderNames:
    """Name the headers that say who sends a message, and under which right."""

    sender: str = SENDER_HEADER
    fencing: str = FENCING_HEADER
    # Empty where the receiver knows repeats by their content.
    key: str = KEY_HEADER


DEFAULT_HEADER_NAMES = HeaderNames()


@dataclasses.dataclass(frozen=True)
class Message:
    """Hold what the platform is told, with a key that never changes."""

    path: str
    key: str
    body: bytes


@dataclasses.dataclass(frozen=True)
class NotInCharge:
    """The lease does not cover the sending; nothing was sent."""


@dataclasses.dataclass(frozen=True)
class NoAnswer:
    """The platform may or may not have received the message."""

    cause: str


SendFailure = NotInCharge | NoAnswer
SendResult = result.Result[int, SendFailure]


class PlatformClient:
    """Speak to the platform on behalf of the holder of authority."""

    def __init__(
        self,
        base_url: str,
        name: str,
        authority: holder.Authority,
        named: HeaderNames = DEFAULT_HEADER_NAMES,
    ) -> None:
        self.header_names = named
        self.base_url = base_url
        self.name = name
        self.authority = authority
        self.client = curl_httpclient.CurlAsyncHTTPClient(
            max_clients=MAX_CONNECTIONS,
            force_instance=True,
        )

    async def send(self, message: Message, tenure: holder.Tenure) -> SendResult:
        """Send a message and return the platform's HTTP status."""
        transfer = LeaseGuard(self.authority, tenure)
        request = httpclient.HTTPRequest(
            self.base_url + message.path,
            method='POST',
            body=message.body,
            headers=self._headers(message, tenure),
            connect_timeout=timing.SEND_TIMEOUT_SECONDS,
            request_timeout=timing.SEND_TIMEOUT_SECONDS,
            follow_redirects=False,
            decompress_response=False,
            prepare_curl_callback=transfer.prepare,
        )
        try:
            answer = await self.client.fetch(request, raise_error=False)
        except (httpclient.HTTPError, OSError) as error:
            if not transfer.sent:
                return result.Err(NotInCharge())
            return result.Err(NoAnswer(str(error)))
        return result.Ok(answer.code)

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
    """Guard one exchange by the lease."""

    def __init__(
        self,
        authority: holder.Authority,
        tenure: holder.Tenure,
    ) -> None:
        self.authority = authority
        self.tenure = tenure
        self.sent = False

    def prepare(self, curl: typing.Any) -> None:
        """Set curl up so that it sends at most once, under the lease."""
        disable_resending(curl)
        curl.setopt(pycurl.OPENSOCKETFUNCTION, open_socket)
        # Called when the connection stands, in the line before the send.
        curl.setopt(pycurl.PREREQFUNCTION, self._may_send)

    def _may_send(self, *addresses: typing.Any) -> int:
        now = clock.monotonic_seconds()
        if not self.authority.may_send(self.tenure, now):
            return int(pycurl.PREREQFUNC_ABORT)
        self.sent = True
        return int(pycurl.PREREQFUNC_OK)


def disable_resending(curl: typing.Any) -> None:
    """Set curl up so that it never sends a request twice by itself."""
    curl.setopt(pycurl.FRESH_CONNECT, 1)
    curl.setopt(pycurl.FORBID_REUSE, 1)
    curl.setopt(pycurl.PROXY, '')
    curl.setopt(pycurl.NOPROXY, '*')
    curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)


def open_socket(purpose: int, address: typing.Any) -> socket.socket:
    """Open a socket whose undelivered bytes do not outlive the deadline."""
    family, kind, protocol, _ = address
    opened = socket.socket(family, kind, protocol)
    opened.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        int(timing.TCP_USER_TIMEOUT_SECONDS * MILLISECONDS_PER_SECOND),
    )
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
    return opened
