"""HTTP requests to a system under test, free ports and polling."""

import dataclasses
import fcntl
import functools
import json
import os
import pathlib
import random
import socket
import tempfile
import time
import typing
from collections import abc
from urllib import error as url_error
from urllib import request as url_request

from bench import processes

POLL_SECONDS = 0.05
START_SECONDS = 30.0
REQUEST_SECONDS = 30.0
HOST = '127.0.0.1'
# Below the ports of outgoing connections and of fleets.
PORT_RANGE = (10_000, 20_000)


class WaitTimeout(Exception):
    """A condition did not hold in time; the message describes it."""


class NoFreePort(Exception):
    """Every port of the range is reserved or in use."""


def free_port() -> int:
    """Return a port that no process listens on and none else is given.

    It is below the kernel's range for outgoing connections: one of those could
    otherwise take the port before the intended process has started. It stays
    reserved until this process ends. Raise `NoFreePort` if there is none.
    """
    ports = list(range(*PORT_RANGE))
    random.SystemRandom().shuffle(ports)
    for port in ports:
        if _is_unused(port) and _reservations().reserve(port):
            return port
    raise NoFreePort(f'none of {len(ports)} ports is free')


class PortReservations:
    """Ports of this process, reserved against all processes of its user.

    A reservation is a lock on one byte of a common file. The system releases it
    when the process ends, however it ends.
    """

    def __init__(self, path: pathlib.Path) -> None:
        # Closing any descriptor of the file would release all locks.
        self.descriptor = os.open(path, os.O_RDWR | os.O_CREAT)
        self.reserved: set[int] = set()

    def reserve(self, port: int) -> bool:
        """Reserve a port; return False if it is reserved already."""
        if port in self.reserved:
            return False
        try:
            fcntl.lockf(self.descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
        except OSError:
            return False
        self.reserved.add(port)
        return True


@functools.cache
def _reservations() -> PortReservations:
    name = f'cranberryrill-ports-{os.getuid()}'
    return PortReservations(pathlib.Path(tempfile.gettempdir()) / name)


def _is_unused(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True


def wait_until(
    condition: abc.Callable[[], typing.Any],
    description: str,
    seconds: float = START_SECONDS,
) -> typing.Any:
    """Poll until `condition` returns a true value, and return that value.

    Raise `WaitTimeout` with the description, and the last lines of the
    processes that have ended, after `seconds`.
    """
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(POLL_SECONDS)
    raise WaitTimeout('\n'.join((description, *processes.ended_reports())))


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
