"""Options of curl for requests to the upstream of an agent."""

import typing

import pycurl

KEEPALIVE_SECONDS = 1


def send_once(curl: typing.Any) -> None:
    """Configure curl so that it never resends a request by itself.

    libcurl resends a request whose reused connection was closed without
    an answer, so each request has a connection of its own.
    """
    curl.setopt(pycurl.FRESH_CONNECT, 1)
    curl.setopt(pycurl.FORBID_REUSE, 1)
    curl.setopt(pycurl.FOLLOWLOCATION, 0)
    curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
    curl.setopt(pycurl.PROXY, '')
    curl.setopt(pycurl.NOPROXY, '*')
    # The route was chosen by the path before any normalisation.
    curl.setopt(pycurl.PATH_AS_IS, 1)
    curl.setopt(pycurl.TCP_KEEPALIVE, 1)
    curl.setopt(pycurl.TCP_KEEPIDLE, KEEPALIVE_SECONDS)
    curl.setopt(pycurl.TCP_KEEPINTVL, KEEPALIVE_SECONDS)
