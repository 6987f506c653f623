"""Stand-ins for the users' platform: replicas and a usage report server.

They record the messages that they receive, so that tests can check the system
from outside. `send_request` also sends the operator's requests.
"""

import asyncio
import collections
import dataclasses
import http
import json
import time

from tornado import httpclient, httpserver, testing, web

EVENT_INTERVAL_SECONDS = 0.01
HEARTBEAT_INTERVAL_SECONDS = 0.4
REQUEST_TIMEOUT_SECONDS = 1.0
MS_PER_SECOND = 1000
MISDIRECTED_REQUEST_STATUS = 421
# Clients of the control group follow at most two redirects.
MAX_REDIRECTS = 2
SIGNATURE_HEADER = 'Cranberryrill-Replica-Signature'
ATTEMPT_HEADER = 'Cranberryrill-Attempt-Id'
EXPECTED_REPLICA_HEADER = 'Cranberryrill-Expect-Replica'
LIMIT_HEADER = 'Server-Limit'
LEAVING_HEADER = 'Server-Leaving'
NOT_EXECUTED_HEADER = 'Cranberryrill-Not-Executed'
ORGANISATION_HEADER = 'Cranberryrill-Tenant'


@dataclasses.dataclass(frozen=True)
class HandledRequest:
    """One request that a replica started to execute."""

    attempt_id: str
    organisation: str
    path: str
    unix_seconds: float


class Replica:
    """HTTP server that registers with the control group as a replica.

    It sends each heartbeat to the control members in turn until one accepts.
    """

    def __init__(
        self, name: str, service: str, control_addresses: list[str]
    ) -> None:
        self.name = name
        self.service = service
        self.control_addresses = control_addresses
        self.port = 0
        self.state = 'ready'
        self.started_unix_ms = int(time.time() * MS_PER_SECOND)
        self.heartbeat_sequence = 0
        self.handled_requests: list[HandledRequest] = []
        self.received_keys: list[str] = []
        self.data_centre = 'z1'
        self.event_count = 4
        self.work_seconds = 0.02
        # Value of the limit header; no header is sent for None.
        self.limit: str | None = None
        # Unix time until which it is cold.
        self.cold_until = 0.0
        # Whether all responses say that it leaves.
        self.says_leaving = False
        # Seconds for which it turns requests away, as the header names them;
        # None to take all.
        self.pause: str | None = None
        # Times at which requests arrived, also those that were turned away.
        self.arrived_at: list[float] = []
        self.stream_handler: type[web.RequestHandler] = StreamHandler
        self.plain_handler: type[web.RequestHandler] = PlainHandler
        self.server: httpserver.HTTPServer | None = None

    def start(self) -> None:
        """Listen on the port of an earlier start, or else on a free one."""
        handler_arguments = {'replica': self}
        application = web.Application(
            [
                ('/stream/.*', self.stream_handler, handler_arguments),
                ('/.*', self.plain_handler, handler_arguments),
            ],
        )
        self.server = httpserver.HTTPServer(application)
        if self.port:
            self.server.listen(self.port, '127.0.0.1')
            return
        listener, port = testing.bind_unused_port()
        self.port = port
        self.server.add_socket(listener)

    def stop(self) -> None:
        """Accept no more connections."""
        if self.server is not None:
            self.server.stop()

    async def run_heartbeats(self) -> None:
        """Send heartbeats at a fixed interval until cancelled."""
        while True:
            await self.send_heartbeat()
            await asyncio.sleep(HEARTBEAT_INTERVAL_SECONDS)

    async def send_heartbeat(self) -> bool:
        """Send one heartbeat; return whether a member acknowledged it."""
        self.heartbeat_sequence += 1
        body = json.dumps(
            {
                'service': self.service,
                'address': f'127.0.0.1:{self.port}',
                'zone': self.data_centre,
                'version': 'v1',
                'slots': 8,
                'state': self.state,
                'coldRemainingMs': self.cold_remaining_ms(),
                'born': self.started_unix_ms,
                'sequence': self.heartbeat_sequence,
            },
        )
        for address in self.control_addresses:
            url = f'http://{address}/api/replicas/{self.name}'
            if await send_request(url, 'PUT', body) == 200:
                return True
        return False

    def cold_remaining_ms(self) -> int:
        """Return the rest of its cold time in milliseconds."""
        return max(int((self.cold_until - time.time()) * MS_PER_SECOND), 0)

    def accept_request(self, handler: web.RequestHandler) -> bool:
        """Record a request; return whether it is executed.

        One that names another replica gets status 421, one that comes during a
        pause 503. An Authorization
        header, which must not reach a replica, is recorded in either case.
        """
        headers = handler.request.headers
        key = headers.get('Authorization')
        if key is not None:
            self.received_keys.append(key)
        handler.set_header(ATTEMPT_HEADER, headers.get(ATTEMPT_HEADER, ''))
        self.arrived_at.append(time.time())
        if headers.get(EXPECTED_REPLICA_HEADER) != self.name:
            handler.set_status(MISDIRECTED_REQUEST_STATUS)
            return False
        if self.says_leaving:
            handler.set_header(LEAVING_HEADER, '1')
        if self.pause is not None:
            handler.set_status(http.HTTPStatus.SERVICE_UNAVAILABLE)
            handler.set_header('Retry-After', self.pause)
            handler.set_header(NOT_EXECUTED_HEADER, '1')
            return False
        self.handled_requests.append(
            HandledRequest(
                headers.get(ATTEMPT_HEADER, ''),
                headers.get(ORGANISATION_HEADER, ''),
                handler.request.path,
                time.time(),
            ),
        )
        if self.limit is not None:
            handler.set_header(LIMIT_HEADER, self.limit)
        handler.set_header(SIGNATURE_HEADER, f'signed-{self.name}')
        return True


class PlainHandler(web.RequestHandler):
    """Serve requests with a short text, as a plain service does."""

    def initialize(self, replica: Replica) -> None:
        """Bind the handler to its replica."""
        self.replica = replica

    async def prepare(self) -> None:
        """Answer a request of any method after the replica's work time."""
        if not self.replica.accept_request(self):
            self.finish()
            return
        await asyncio.sleep(self.replica.work_seconds)
        self.finish(f'done by {self.replica.name}')


class StreamHandler(web.RequestHandler):
    """Serve event streams, as a model engine does."""

    def initialize(self, replica: Replica) -> None:
        """Bind the handler to its replica."""
        self.replica = replica

    async def post(self) -> None:
        """Respond with numbered events."""
        await self.send_events()

    async def send_events(self) -> None:
        """Send the events after `Last-Event-Id`."""
        if not self.replica.accept_request(self):
            return
        self.set_header('Content-Type', 'text/event-stream')
        first = int(self.request.headers.get('Last-Event-Id', '0')) + 1
        for number in range(first, self.replica.event_count + 1):
            self.write(f'id: {number}\ndata: piece {number}\n\n')
            await self.flush()
            await asyncio.sleep(EVENT_INTERVAL_SECONDS)


@dataclasses.dataclass(frozen=True)
class UsageReport:
    """One usage report with the duty holder that sent it."""

    holder: str
    fencing: int
    counts: dict[str, int]


class UsageReportServer:
    """HTTP server that records usage reports by window index."""

    def __init__(self) -> None:
        self.received: collections.defaultdict[int, list[UsageReport]] = (
            collections.defaultdict(list)
        )
        self.port = 0
        self.server: httpserver.HTTPServer | None = None

    def start(self) -> None:
        """Listen on a free port."""
        application = web.Application(
            [('/usage', UsageHandler, {'reports': self})],
        )
        listener, port = testing.bind_unused_port()
        self.port = port
        self.server = httpserver.HTTPServer(application)
        self.server.add_socket(listener)


class UsageHandler(web.RequestHandler):
    """Receive usage reports."""

    def initialize(self, reports: UsageReportServer) -> None:
        """Bind the handler to the recorded reports."""
        self.reports = reports

    def post(self) -> None:
        """Record a report under its window index."""
        body = json.loads(self.request.body)
        holder = self.request.headers['Cranberryrill-Duty-Holder']
        fencing = int(self.request.headers['Cranberryrill-Fencing-Token'])
        self.reports.received[body['windowIndex']].append(
            UsageReport(holder, fencing, body['counts']),
        )


async def send_request(url: str, method: str, body: str | None = None) -> int:
    """Send a request once and return the status; 0 without a response."""
    client = httpclient.AsyncHTTPClient()
    request = httpclient.HTTPRequest(
        url,
        method=method,
        body=body,
        request_timeout=REQUEST_TIMEOUT_SECONDS,
        max_redirects=MAX_REDIRECTS,
    )
    try:
        response = await client.fetch(request, raise_error=False)
    except (httpclient.HTTPError, OSError):
        return 0
    return response.code
