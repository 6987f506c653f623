"""HTTP requests to a system under test, free ports and polling."""

import dataclasses
import json
import random
import socket
import time
import typing
from collections import abc
from urllib import error as url_error
from urllib import request as url_request

POLL_SECONDS = 0.05
START_SECONDS = 30.0
REQUEST_SECONDS = 30.0
HOST = '127.0.0.1'
# Below the ports of outgoing connections and of fleets.
PORT_RANGE = (10_000, 20_000)


class WaitTimeout(Exception):
    """A condition did not hold in time; the message describes it."""


def free_port() -> int:
    """Return a port that no process listens on.

    It is below the kernel's range for outgoing connections: one of those could
    otherwise take the port before the intended process has started.
    """
    while True:
        port = random.SystemRandom().randrange(*PORT_RANGE)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        return port


def wait_until(
    condition: abc.Callable[[], typing.Any],
    description: str,
    seconds: float = START_SECONDS,
) -> typing.Any:
    """Poll until `condition` returns a true value, and return that value.

    Raise `WaitTimeout` with the description after `seconds`.
    """
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(POLL_SECONDS)
    raise WaitTimeout(description)


@dataclasses.dataclass(frozen=True)
class Reply:
    """Status, headers and body of an HTTP response."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> typing.Any:
        """Return the body as JSON."""
        return json.loads(self.body)


def request(
    url: str,
    method: str = 'GET',
    body: typing.Any = None,
    key: str = '',
    headers: dict[str, str] | None = None,
    seconds: float = REQUEST_SECONDS,
) -> Reply:
    """Send one HTTP request and return the response, whatever its status.

    `body` is sent as it is if it is bytes, else encoded as JSON; `key` is sent
    as a bearer token. Connection errors are raised as `OSError`.
    """
    encoded = body if isinstance(body, bytes) else None
    if body is not None and encoded is None:
        encoded = json.dumps(body).encode()
    all_headers = {'Content-Type': 'application/json', **(headers or {})}
    if key:
        all_headers['Authorization'] = f'Bearer {key}'
    http_request = url_request.Request(
        url,
        data=encoded,
        headers=all_headers,
        method=method,
    )
    opener = url_request.build_opener(url_request.ProxyHandler({}))
    try:
        with opener.open(http_request, timeout=seconds) as response:
            return Reply(
                response.status, dict(response.headers), response.read()
            )
    except url_error.HTTPError as error:
        return Reply(error.code, dict(error.headers), error.read())
