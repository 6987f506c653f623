"""Stand-in for a replica that some requests crash."""

import asyncio
import enum
import time

from tornado import iostream, web

from standins import fleet

PROMPT_PARTS_HEADER = 'Cranberryrill-Prompt-Prefix'
# From the first event of a fatal request until the replica ends.
CRASH_DELAY_SECONDS = 0.05


class CrashPoint(enum.Enum):
    """What a replica has sent of a plain response when it crashes."""

    nothing = b''
    status_line = b'HTTP/1.1 200 OK\r\n'
    part_of_the_head = b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\nServ'
    # Without id and signature.
    foreign_response = b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort'
    part_of_the_body = (
        b'HTTP/1.1 200 OK\r\nCranberryrill-Replica-Signature: s\r\n'
        b'Content-Length: 9\r\n\r\nshort'
    )


class CrashingReplica(fleet.Replica):
    """Replica that ends when it begins to run a fatal request.

    A request is fatal if it has the fatal prompt part before its last one, or
    the fatal path. The replica is back after `restart_seconds`, at the same
    port and under another name.
    """

    def __init__(
        self,
        name: str,
        service: str,
        control_addresses: list[str],
        restart_seconds: float,
    ) -> None:
        super().__init__(name, service, control_addresses)
        self.base_name = name
        self.restart_seconds = restart_seconds
        self.fatal_part = ''
        self.fatal_path = ''
        self.crash_point = CrashPoint.nothing
        self.stream_handler = CrashingStreamHandler
        self.plain_handler = CrashingPlainHandler
        self.is_down = False
        self.open_handlers: set[ClosableHandler] = set()
        # Unix times at which this replica ended.
        self.crashed_at: list[float] = []

    def is_fatal(self, handler: web.RequestHandler) -> bool:
        """Return whether the request of a handler is fatal."""
        request = handler.request
        if self.fatal_path and request.path == self.fatal_path:
            return True
        prompt_parts = request.headers.get(PROMPT_PARTS_HEADER, '')
        ids = [entry.partition(':')[0] for entry in prompt_parts.split(',')]
        return bool(self.fatal_part) and self.fatal_part in ids[:-1]

    async def send_heartbeat(self) -> bool:
        """Send a heartbeat unless the replica is down."""
        return not self.is_down and await super().send_heartbeat()

    def crash(self) -> None:
        """Close all connections, and start again later."""
        if self.is_down:
            return
        self.is_down = True
        self.crashed_at.append(time.time())
        self.stop()
        for handler in list(self.open_handlers):
            handler.close_connection()
        asyncio.get_running_loop().call_later(
            self.restart_seconds, self._restart
        )

    def _restart(self) -> None:
        self.name = f'{self.base_name}-{len(self.crashed_at)}'
        self.started_unix_ms = int(time.time() * fleet.MS_PER_SECOND)
        self.heartbeat_sequence = 0
        self.is_down = False
        self.start()


class ClosableHandler(web.RequestHandler):
    """Handler whose connection ends with its replica."""

    replica: CrashingReplica

    def close_connection(self) -> None:
        """Close the connection of the request at once."""
        connection = self.request.connection
        assert connection is not None
        connection.stream.close()  # type: ignore[attr-defined]

    async def run_unless_down(self) -> None:
        """Serve the request unless it arrived as the replica ended."""
        if self.replica.is_down:
            self.close_connection()
            return
        self.replica.open_handlers.add(self)
        try:
            await self.crash_or_respond()
        except iostream.StreamClosedError:
            # The replica crashed, or the client left.
            return
        finally:
            self.replica.open_handlers.discard(self)

    async def crash_or_respond(self) -> None:
        """Serve the request, which crashes the replica if it is fatal."""
        raise NotImplementedError


class CrashingStreamHandler(ClosableHandler, fleet.StreamHandler):
    """Serve event streams until a fatal request arrives."""

    replica: CrashingReplica

    async def post(self) -> None:
        """Send events, or crash after the first one."""
        await self.run_unless_down()

    async def crash_or_respond(self) -> None:
        """Send all events, or the first one and crash."""
        if not self.replica.is_fatal(self):
            await self.send_events()
            return
        if not self.replica.accept_request(self):
            return
        self.set_header('Content-Type', 'text/event-stream')
        self.write('id: 1\ndata: piece 1\n\n')
        await self.flush()
        await asyncio.sleep(CRASH_DELAY_SECONDS)
        self.replica.crash()


class CrashingPlainHandler(ClosableHandler, fleet.PlainHandler):
    """Serve plain requests until a fatal one arrives."""

    replica: CrashingReplica

    async def prepare(self) -> None:
        """Respond, or crash at the replica's crash point."""
        await self.run_unless_down()

    async def crash_or_respond(self) -> None:
        """Send the whole response, or a part of it and crash."""
        if not self.replica.is_fatal(self):
            await fleet.PlainHandler.prepare(self)
            return
        if not self.replica.accept_request(self):
            self.finish()
            return
        await asyncio.sleep(CRASH_DELAY_SECONDS)
        connection = self.request.connection
        assert connection is not None
        sent = self.replica.crash_point.value
        if sent:
            await connection.stream.write(sent)  # type: ignore[attr-defined]
        self.replica.crash()
