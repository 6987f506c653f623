"""Carry one request to one upstream and take its answer as it arrives.

Each exchange has a connection of its own. libcurl repeats a request by itself
when a kept connection turns out to be closed, and what an upstream sends
behind an answer can't be taken for the next one.
"""

import asyncio
import dataclasses
import typing

import pycurl

from cranberryrill.forwarding import curl_multi

OPENED = 'HTTP/'
LEAST_FINAL_STATUS = 200
# What waits for the caller before curl is asked to pause.
MAX_UNREAD_BYTES = 1024 * 1024
# A connection that is not accepted by then is tried elsewhere: many round
# trips between data centres, less than a lost packet takes to be sent again.
CONNECT_TIMEOUT_MS = 350
# An upstream whose VM no longer answers is noticed by these probes.
KEEPALIVE_SECONDS = 1
# These are the ways in which curl fails to connect; what they mean also
# depends on whether it had begun to send.
NO_CONNECTION = frozenset(
    (pycurl.E_COULDNT_CONNECT, pycurl.E_OPERATION_TIMEDOUT)
)


@dataclasses.dataclass(frozen=True)
class OutgoingRequest:
    """Hold a request as it goes to one upstream."""

    host: str
    port: int
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclasses.dataclass(frozen=True)
class Complete:
    """The answer is whole, by its own framing."""


@dataclasses.dataclass(frozen=True)
class Unsent:
    """No connection came about, so the upstream has seen nothing."""

    cause: str


@dataclasses.dataclass(frozen=True)
class Interrupted:
    """The exchange broke off; the upstream may have run the request."""

    cause: str


Ending = Complete | Unsent | Interrupted


class Exchange:
    """Hold what has arrived of an answer, and how it ended.

    `changed` is set with each change.
    """

    def __init__(
        self, call: OutgoingRequest, driver: curl_multi.Driver
    ) -> None:
        self.call = call
        self.driver = driver
        self.status = 0
        self.headers: list[tuple[str, str]] = []
        self.has_head = False
        self.content = bytearray()
        self.received_bytes = 0
        self.ending: Ending | None = None
        self.changed = asyncio.Event()
        self.curl: typing.Any = None
        self.paused = False

    def start(self) -> None:
        """Send the request."""
        self.curl = self._make_curl()
        self.driver.start(self.curl, self._ended)

    def stop(self) -> None:
        """Break the exchange off and close its connection at once."""
        if self.ending is None:
            self.ending = Interrupted('stopped here')
            self.driver.stop(self.curl)

    def first_header(self, name: str) -> str | None:
        """Return the answer's first header under a lower-case name."""
        for known, content in self.headers:
            if known.lower() == name:
                return content
        return None

    def read_content(self) -> bytes:
        """Return what has arrived of the body since the last call."""
        taken = bytes(self.content)
        self.content.clear()
        if self.paused and self.ending is None:
            self.paused = False
            self.curl.pause(pycurl.PAUSE_CONT)
        return taken

    async def wait(self, seconds: float) -> bool:
        """Wait for a change; say whether one came in time."""
        if self.changed.is_set():
            self.changed.clear()
            return True
        if seconds <= 0:
            return False
        try:
            async with asyncio.timeout(seconds):
                await self.changed.wait()
        except TimeoutError:
            return False
        self.changed.clear()
        return True

    def _make_curl(self) -> typing.Any:
        call = self.call
        curl = pycurl.Curl()
        curl.setopt(pycurl.URL, f'http://{call.host}:{call.port}/')
        curl.setopt(pycurl.REQUEST_TARGET, call.target.encode('latin-1'))
        curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        curl.setopt(pycurl.FRESH_CONNECT, 1)
        curl.setopt(pycurl.FORBID_REUSE, 1)
        curl.setopt(pycurl.FOLLOWLOCATION, 0)
        curl.setopt(pycurl.PROXY, '')
        curl.setopt(pycurl.NOPROXY, '*')
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.TCP_NODELAY, 1)
        curl.setopt(pycurl.TCP_KEEPALIVE, 1)
        curl.setopt(pycurl.TCP_KEEPIDLE, KEEPALIVE_SECONDS)
        curl.setopt(pycurl.TCP_KEEPINTVL, KEEPALIVE_SECONDS)
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS)
        curl.setopt(pycurl.HEADERFUNCTION, self._take_header)
        curl.setopt(pycurl.WRITEFUNCTION, self._take_content)
        curl.setopt(pycurl.HTTPHEADER, self._header_lines())
        self._set_method(curl)
        return curl

    def _set_method(self, curl: typing.Any) -> None:
        call = self.call
        if call.body or call.method in {'POST', 'PUT', 'PATCH'}:
            curl.setopt(pycurl.POST, 1)
            curl.setopt(pycurl.POSTFIELDS, call.body)
        elif call.method == 'HEAD':
            curl.setopt(pycurl.NOBODY, 1)
        curl.setopt(pycurl.CUSTOMREQUEST, call.method)

    def _header_lines(self) -> list[bytes]:
        lines = [
            f'{name}: {content}' if content else f'{name};'
            for name, content in self.call.headers
        ]
        named = {name.lower() for name, _ in self.call.headers}
        # What curl adds by itself is not the caller's.
        lines.extend(
            f'{name}:'
            for name in ('Accept', 'Content-Type', 'Expect', 'User-Agent')
            if name.lower() not in named
        )
        return [line.encode('latin-1') for line in lines]

    def _take_header(self, line: bytes) -> None:
        if self.has_head:
            # Trailers behind the body say nothing that is passed on.
            return
        text = line.decode('latin-1').rstrip('\r\n')
        if text.startswith(OPENED) and not self.headers:
            self.status = _status_of(text)
        elif text:
            name, _, content = text.partition(':')
            self.headers.append((name.strip(), content.strip()))
        elif self.status < LEAST_FINAL_STATUS:
            # An interim answer; the one that counts follows.
            self.headers = []
        else:
            self.has_head = True
            self.changed.set()

    def _take_content(self, content: bytes) -> int | None:
        if len(self.content) > MAX_UNREAD_BYTES:
            self.paused = True
            return int(pycurl.WRITEFUNC_PAUSE)
        self.content += content
        self.received_bytes += len(content)
        self.changed.set()
        return None

    def _ended(self, number: int, text: str, sent_bytes: int) -> None:
        if number == pycurl.E_OK and self.has_head:
            self.ending = Complete()
        elif number in NO_CONNECTION and not sent_bytes:
            self.ending = Unsent(text)
        else:
            self.ending = Interrupted(text or 'the answer had no head')
        self.changed.set()


def _status_of(line: str) -> int:
    parts = line.split(' ', 2)
    number = parts[1] if len(parts) > 1 else ''
    return int(number) if number.isascii() and number.isdigit() else 0
