"""Stand in for the users' platform: replicas, an operator, a report taker.

Each keeps a ledger of what it saw, which judges the system from outside.
"""

import asyncio
import collections
import dataclasses
import json
import time

from tornado import httpclient, httpserver, testing, web

EVENT_INTERVAL_SECONDS = 0.01
HEARTBEAT_INTERVAL_SECONDS = 0.4
REQUEST_TIMEOUT_SECONDS = 1.0
MILLISECONDS_PER_SECOND = 1000
MISDIRECTED_REQUEST_STATUS = 421
# Callers of control follow a redirection twice.
MAX_REDIRECTS = 2
SIGNATURE_HEADER = 'Cranberryrill-Replica-Signature'
ATTEMPT_HEADER = 'Cranberryrill-Attempt-Id'
EXPECTED_REPLICA_HEADER = 'Cranberryrill-Expect-Replica'
ORGANISATION_HEADER = 'Cranberryrill-Tenant'


@dataclasses.dataclass(frozen=True)
class HandledRequest:
    """Say that a replica began to work on a request."""

    attempt_id: str
    organisation: str
    path: str
    unix_seconds: float


class Replica:
    """Answer requests and register at whichever member takes it."""

    def __init__(self, name: str, service: str, control: list[str]) -> None:
        self.name = name
        self.service = service
        self.control = control
        self.port = 0
        self.state = 'ready'
        self.born = int(time.time() * MILLISECONDS_PER_SECOND)
        self.sequence = 0
        self.handled_requests: list[HandledRequest] = []
        self.keys_seen: list[str] = []
        self.events = 4
        self.work_seconds = 0.02
        self.server: httpserver.HTTPServer | None = None

    def start(self) -> None:
        """Listen on a port that is free."""
        shared = {'replica': self}
        application = web.Application(
            [
                ('/stream/.*', StreamHandler, shared),
                ('/.*', PlainHandler, shared),
            ],
        )
        listening, port = testing.bind_unused_port()
        self.port = port
        self.server = httpserver.HTTPServer(application)
        self.server.add_socket(listening)

    def stop(self) -> None:
        """Take no more connections."""
        if self.server is not None:
            self.server.stop()

    async def run_heartbeats(self) -> None:
        """Register again and again."""
        while True:
            await self.send_heartbeat()
            await asyncio.sleep(HEARTBEAT_INTERVAL_SECONDS)

    async def send_heartbeat(self) -> bool:
        """Send one heartbeat; say whether it was acknowledged."""
        self.sequence += 1
        body = json.dumps(
            {
                'service': self.service,
                'address': f'127.0.0.1:{self.port}',
                'zone': 'z1',
                'version': 'v1',
                'slots': 8,
                'state': self.state,
                'coldRemainingMs': 0,
                'born': self.born,
                'sequence': self.sequence,
            },
        )
        for address in self.control:
            url = f'http://{address}/api/replicas/{self.name}'
            if await send_request(url, 'PUT', body) == 200:
                return True
        return False

    def accept_request(self, handler: web.RequestHandler) -> bool:
        """Note a request; say whether it is for this replica."""
        headers = handler.request.headers
        key = headers.get('Authorization')
        if key is not None:
            self.keys_seen.append(key)
        if headers.get(EXPECTED_REPLICA_HEADER) != self.name:
            handler.set_status(MISDIRECTED_REQUEST_STATUS)
            return False
        self.handled_requests.append(
            HandledRequest(
                headers.get(ATTEMPT_HEADER, ''),
                headers.get(ORGANISATION_HEADER, ''),
                handler.request.path,
                time.time(),
            ),
        )
        handler.set_header(ATTEMPT_HEADER, headers.get(ATTEMPT_HEADER, ''))
        handler.set_header(SIGNATURE_HEADER, f'signed-{self.name}')
        return True


class PlainHandler(web.RequestHandler):
    """Answer as a plain service does."""

    def initialize(self, replica: Replica) -> None:
        """Take who answers."""
        self.replica = replica

    async def prepare(self) -> None:
        """Run whatever was asked."""
        if not self.replica.accept_request(self):
            self.finish()
            return
        await asyncio.sleep(self.replica.work_seconds)
        self.finish(f'done by {self.replica.name}')


class StreamHandler(web.RequestHandler):
    """Answer as a model engine does."""

    def initialize(self, replica: Replica) -> None:
        """Take who answers."""
        self.replica = replica

    async def post(self) -> None:
        """Send a series of events."""
        if not self.replica.accept_request(self):
            return
        self.set_header('Content-Type', 'text/event-stream')
        first = int(self.request.headers.get('Last-Event-Id', '0')) + 1
        for number in range(first, self.replica.events + 1):
            self.write(f'id: {number}\ndata: piece {number}\n\n')
            await self.flush()
            await asyncio.sleep(EVENT_INTERVAL_SECONDS)


@dataclasses.dataclass(frozen=True)
class UsageReport:
    """Hold one usage report and who sent it."""

    holder: str
    fencing: int
    counts: dict[str, int]


class UsageReportServer:
    """Take usage reports and remember each, with its sender."""

    def __init__(self) -> None:
        self.received: collections.defaultdict[int, list[UsageReport]] = (
            collections.defaultdict(list)
        )
        self.port = 0
        self.server: httpserver.HTTPServer | None = None

    def start(self) -> None:
        """Listen on a port that is free."""
        application = web.Application(
            [('/usage', UsageHandler, {'reports': self})],
        )
        listening, port = testing.bind_unused_port()
        self.port = port
        self.server = httpserver.HTTPServer(application)
        self.server.add_socket(listening)


class UsageHandler(web.RequestHandler):
    """Take one report."""

    def initialize(self, reports: UsageReportServer) -> None:
        """Take the ledger."""
        self.reports = reports

    def post(self) -> None:
        """Remember who reported what."""
        body = json.loads(self.request.body)
        holder = self.request.headers['Cranberryrill-Duty-Holder']
        fencing = int(self.request.headers['Cranberryrill-Fencing-Token'])
        self.reports.received[body['windowIndex']].append(
            UsageReport(holder, fencing, body['counts']),
        )


async def send_request(url: str, method: str, body: str | None = None) -> int:
    """Call once and return the status; 0 without an answer."""
    client = httpclient.AsyncHTTPClient()
    request = httpclient.HTTPRequest(
        url,
        method=method,
        body=body,
        request_timeout=REQUEST_TIMEOUT_SECONDS,
        max_redirects=MAX_REDIRECTS,
    )
    try:
        answer = await client.fetch(request, raise_error=False)
    except (httpclient.HTTPError, OSError):
        return 0
    return answer.code
