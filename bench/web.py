"""Send requests and wait for conditions, from outside the system."""

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
# Below those of outgoing connections and of fleets.
PORT_RANGE = (10_000, 20_000)


class WaitTimeout(Exception):
    """Something awaited did not come true before its deadline."""


def free_port() -> int:
    """Return a port that nobody listens at.

    It lies below those that the kernel gives to outgoing connections, which
    could take it before the process that it is for has started.
    """
    while True:
        port = random.SystemRandom().randrange(*PORT_RANGE)
        with socket.socket() as bound:
            try:
                bound.bind((HOST, port))
            except OSError:
                continue
        return port


def wait_until(
    condition: abc.Callable[[], typing.Any],
    description: str,
    seconds: float = START_SECONDS,
) -> typing.Any:
    """Poll until `holds` returns something true, and return that."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        found = condition()
        if found:
            return found
        time.sleep(POLL_SECONDS)
    raise WaitTimeout(description)


@dataclasses.dataclass(frozen=True)
class Reply:
    """Hold an HTTP answer."""

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
    """Send one HTTP request; connection errors are raised."""
    encoded = body if isinstance(body, bytes) else None
    if body is not None and encoded is None:
        encoded = json.dumps(body).encode()
    sent = {'Content-Type': 'application/json', **(headers or {})}
    if key:
        sent['Authorization'] = f'Bearer {key}'
    asked = url_request.Request(
        url,
        data=encoded,
        headers=sent,
        method=method,
    )
    opener = url_request.build_opener(url_request.ProxyHandler({}))
    try:
        with opener.open(asked, timeout=seconds) as answer:
            return Reply(answer.status, dict(answer.headers), answer.read())
    except url_error.HTTPError as error:
        return Reply(error.code, dict(error.headers), error.read())
