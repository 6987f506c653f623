"""A request to one upstream, and the curl handle that sends it.

Each request opens its own connection. On a reused connection that turns out
to be closed, libcurl would repeat the request by itself, and bytes that an
upstream sends after a response could be read as the next response.
"""

import dataclasses
import typing

import pycurl

# A connection that is not accepted in this time is abandoned and another
# upstream is tried. The limit allows many round trips between data centres, but
# is shorter than the retransmission timeout of a lost packet.
CONNECT_TIMEOUT_MS = 350
# TCP keep-alive probes detect an upstream whose VM no longer responds.
KEEPALIVE_SECONDS = 1


@dataclasses.dataclass(frozen=True)
class OutgoingRequest:
    """HTTP request as it is sent to one upstream."""

    host: str
    port: int
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


def make_curl(request: OutgoingRequest) -> typing.Any:
    """Return a handle that sends the request once, and repeats nothing.

    Raises `pycurl.error` or `ValueError` if curl doesn't take the request.
    """
    curl = pycurl.Curl()
    curl.setopt(pycurl.URL, f'http://{request.host}:{request.port}/')
    curl.setopt(pycurl.REQUEST_TARGET, request.target.encode('latin-1'))
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
    curl.setopt(pycurl.HTTPHEADER, _header_lines(request))
    _set_method(curl, request)
    return curl


def _set_method(curl: typing.Any, request: OutgoingRequest) -> None:
    if request.body or request.method in {'POST', 'PUT', 'PATCH'}:
        curl.setopt(pycurl.POST, 1)
        curl.setopt(pycurl.POSTFIELDS, request.body)
    elif request.method == 'HEAD':
        curl.setopt(pycurl.NOBODY, 1)
    curl.setopt(pycurl.CUSTOMREQUEST, request.method)


def _header_lines(request: OutgoingRequest) -> list[bytes]:
    lines = [
        f'{name}: {content}' if content else f'{name};'
        for name, content in request.headers
    ]
    listed = {name.lower() for name, _ in request.headers}
    # Suppress the headers that curl would add by itself.
    lines.extend(
        f'{name}:'
        for name in ('Accept', 'Content-Type', 'Expect', 'User-Agent')
        if name.lower() not in listed
    )
    return [line.encode('latin-1') for line in lines]
